//! What the platform's store holds, from keepers, while the store does not
//! answer this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::ask::KeeperMessage;
use limpetferry_lib::ask::Question;
use limpetferry_lib::ask::Reply;
use limpetferry_lib::ask::Ticket;

use crate::peer;
use crate::peer::Hello;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::timeout::within;

/// Time between questions while the store is away: what is accepted has to be
/// in force within seconds, and an answer without news is a few bytes.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// Wait for a keeper's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(200);
/// Wait for the answer of a keeper to which there is no link yet.
const SEED_WAIT: Duration = Duration::from_millis(300);

/// Asks keepers for as long as the process runs.
pub async fn follow(
    site: Arc<Site>,
    replicas: Arc<Replicas>,
    hello: Hello,
    seeds: Vec<SocketAddr>,
) {
    loop {
        if site.is_away() {
            if site.known().keepers.keepers.is_empty() {
                ask_seeds(&site, &hello, &seeds).await;
            } else {
                ask_keepers(&site, &replicas).await;
            }
        }
        smol::Timer::after(ASK_EVERY).await;
    }
}

async fn ask_keepers(site: &Site, replicas: &Replicas) {
    let keepers = site.known().keepers.clone();
    let after = site.known().revision;
    let (sender, heard) = async_channel::unbounded();
    for keeper in &keepers.keepers {
        replicas.ask(&keeper.node, Question::Snapshot { after }, &sender);
    }
    drop(sender);
    while let Some(Ok(heard)) = within(ANSWER_WAIT, heard.recv()).await {
        if let Some(Reply::Snapshot(snapshot)) = heard.reply {
            site.take_snapshot(snapshot, &heard.node);
        }
    }
}

/// Asks all seeds at once and takes the first answer: some of them may be down
/// just when everything starts.
async fn ask_seeds(site: &Site, hello: &Hello, seeds: &[SocketAddr]) {
    let (sender, answers) = async_channel::unbounded();
    let asking: Vec<smol::Task<()>> = seeds
        .iter()
        .map(|seed| {
            let (seed, hello, sender) = (seed.to_string(), hello.clone(), sender.clone());
            smol::spawn(async move {
                if let Some(Reply::Snapshot(snapshot)) = ask_seed(&seed, &hello).await {
                    // The first answer is enough.
                    let _ = sender.send((seed, snapshot)).await;
                }
            })
        })
        .collect();
    drop(sender);
    if let Some(Ok((seed, snapshot))) = within(SEED_WAIT, answers.recv()).await {
        site.take_snapshot(snapshot, &seed);
    }
    drop(asking);
}

async fn ask_seed(address: &str, hello: &Hello) -> Option<Reply> {
    let link = peer::dial(address, hello).await.ok()?;
    let (outgoing, questions) = async_channel::bounded(1);
    let (incoming, answers) = async_channel::bounded(1);
    let question = Question::Snapshot { after: 0 };
    outgoing
        .send(KeeperMessage::Ask(Ticket(0), question))
        .await
        .ok()?;
    let running = async {
        link.run(questions, &incoming, |message: KeeperMessage| message)
            .await;
        None
    };
    let answer = async {
        match answers.recv().await {
            Ok(KeeperMessage::Tell(_, reply)) => Some(reply),
            _ => None,
        }
    };
    futures_lite::future::or(answer, running).await
}
