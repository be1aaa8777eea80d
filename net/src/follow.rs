//! What the platform's store holds, from keepers: they watch it for all, and
//! tell gateways and keepers that it does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::ask::KeeperMessage;
use limpetferry_lib::ask::Question;
use limpetferry_lib::ask::Reply;
use limpetferry_lib::ask::Ticket;
use limpetferry_lib::membership::Membership;

use crate::clock::Clock;
use crate::peer;
use crate::peer::Hello;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::timeout::within;

/// Pause before the next keeper is asked.
const NEXT_PAUSE: Duration = Duration::from_millis(100);
/// How long a keeper holds a question without news.
pub const HOLD: Duration = Duration::from_millis(700);
/// Wait for a keeper's answer beyond that.
const ANSWER_SPARE: Duration = Duration::from_millis(400);
/// Wait for the answer of a keeper to which there is no link yet.
const SEED_WAIT: Duration = Duration::from_millis(300);

/// Lets a gateway follow one keeper after the other for as long as it runs, so
/// that it needs no watch of its own.
pub async fn follow(
    site: Arc<Site>,
    replicas: Arc<Replicas>,
    hello: Hello,
    seeds: Vec<SocketAddr>,
    clock: Clock,
) {
    let mut turn = rand::random::<u32>() as usize;
    loop {
        if !ask_once(&site, &replicas, &hello, &seeds, turn, Some(clock)).await {
            turn = turn.wrapping_add(1);
            smol::Timer::after(NEXT_PAUSE).await;
        }
    }
}

/// Lets a keeper ask the other ones for as long as it runs, while the store
/// does not answer it. It goes on asking the store: if keepers relied on each
/// other, none would.
pub async fn follow_when_away(
    site: Arc<Site>,
    replicas: Arc<Replicas>,
    hello: Hello,
    seeds: Vec<SocketAddr>,
) {
    let mut turn = rand::random::<u32>() as usize;
    loop {
        if site.is_away() {
            ask_once(&site, &replicas, &hello, &seeds, turn, None).await;
            turn = turn.wrapping_add(1);
        }
        smol::Timer::after(NEXT_PAUSE).await;
    }
}

/// Asks one keeper, or the seeds if none is known; returns whether it hears
/// from the store. That is noted where a clock is given.
async fn ask_once(
    site: &Site,
    replicas: &Replicas,
    hello: &Hello,
    seeds: &[SocketAddr],
    turn: usize,
    clock: Option<Clock>,
) -> bool {
    let keepers = site.known().keepers.clone();
    if !keepers.keepers.is_empty() {
        return follow_one(site, replicas, &keepers, turn, clock).await;
    }
    if site.is_away() {
        ask_seeds(site, hello, seeds).await;
    }
    false
}

/// Asks a keeper for news; returns whether it hears from the store.
async fn follow_one(
    site: &Site,
    replicas: &Replicas,
    keepers: &Membership,
    turn: usize,
    clock: Option<Clock>,
) -> bool {
    let node = &keepers.keepers[turn % keepers.keepers.len()].node;
    let after = site.known().revision;
    let (sender, heard) = async_channel::unbounded();
    if !replicas.ask(node, Question::Follow { after }, &sender) {
        return false;
    }
    let heard = within(HOLD + ANSWER_SPARE, heard.recv()).await;
    match heard.and_then(|heard| heard.ok()?.reply) {
        Some(Reply::Snapshot(snapshot)) => {
            site.take_snapshot(snapshot, node);
            false
        }
        Some(Reply::Changes {
            changes,
            revision,
            away,
        }) => {
            site.take_changes(changes, revision);
            if let (false, Some(clock)) = (away, clock) {
                site.note_fed(clock.now());
            }
            !away
        }
        _ => false,
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
    let question = Question::Follow { after: 0 };
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
