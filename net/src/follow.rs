//! What the platform's store holds, from keepers: they watch it for all, and
//! tell gateways and keepers that it does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::keeper_protocol::RequestId;
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

/// Follows keepers for what the platform's store holds.
pub struct Follower {
    /// What is known.
    pub site: Arc<Site>,
    /// Links to the keepers.
    pub replicas: Arc<Replicas>,
    /// What the process says of itself.
    pub hello: Hello,
    /// Keepers that are asked while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Keepers that may be lost at once.
    pub faults: usize,
    /// The process's clock.
    pub clock: Clock,
}

impl Follower {
    /// Lets a gateway follow one keeper after the other for as long as it runs,
    /// so that it needs no watch of its own.
    pub async fn follow(self) {
        let mut turn = first_turn();
        loop {
            self.step(&mut turn, true).await;
        }
    }

    /// Lets a keeper follow those that watch the store. One that watches itself
    /// asks the others only while the store does not answer it, and goes on
    /// asking the store: if they relied on each other, none would.
    pub async fn follow_as_keeper(self) {
        let mut turn = first_turn();
        loop {
            let watches = self.watches();
            if !watches || self.site.is_away() {
                self.step(&mut turn, !watches).await;
            } else {
                smol::Timer::after(NEXT_PAUSE).await;
            }
        }
    }

    fn watches(&self) -> bool {
        let keepers = self.site.known().keepers.clone();
        let watchers = keepers.watchers(self.faults);
        let own = self.hello.node.as_str();
        watchers.is_empty() || watchers.iter().any(|keeper| &*keeper.node == own)
    }

    /// Asks one keeper, or the seeds if none is known, and goes on to the next
    /// one, at once if this one hears from the store: its watch may have fallen
    /// silent unnoticed, and then what is new is heard of from the next one, one
    /// hold later. Whether this process `relies` on what it says, so that it need
    /// not ask the store itself, is noted.
    async fn step(&self, turn: &mut usize, relies: bool) {
        let keepers = self.site.known().keepers.clone();
        let hears = match self.next(&keepers, *turn) {
            Some(node) => self.ask(&node, relies).await,
            None => {
                if self.site.is_away() {
                    ask_seeds(&self.site, &self.hello, &self.seeds).await;
                }
                false
            }
        };
        *turn = turn.wrapping_add(1);
        if !hears || !relies {
            smol::Timer::after(NEXT_PAUSE).await;
        }
    }

    /// Returns the keeper to ask: one that watches the store, or in each second
    /// turn any one while neither the store nor a keeper that hears from it
    /// answers this process.
    fn next(&self, keepers: &Membership, turn: usize) -> Option<Arc<str>> {
        let watchers = keepers.watchers(self.faults);
        let alone = self.site.is_away() && !self.site.is_fed();
        if alone && turn % 2 == 1 {
            let count = keepers.keepers.len();
            return Some(keepers.keepers.get(turn / 2 % count.max(1))?.node.clone());
        }
        let turn = if alone { turn / 2 } else { turn };
        let count = watchers.len().max(1);
        Some(watchers.get(turn % count)?.node.clone())
    }

    /// Asks a keeper for news; returns whether it hears from the store.
    async fn ask(&self, node: &str, relies: bool) -> bool {
        let known = self.site.known().revision;
        // Without news a keeper holds its answer: what is asked for once more
        // has it answer at once, and so say whether it hears from the store.
        let after = if relies && !self.site.is_fed() {
            known.saturating_sub(1)
        } else {
            known
        };
        let (sender, heard) = async_channel::unbounded();
        let question = KeeperRequest::Follow { after };
        if !self.replicas.ask(node, question, &sender) {
            return false;
        }
        let heard = within(HOLD + ANSWER_SPARE, heard.recv()).await;
        let away = match heard.and_then(|heard| heard.ok()?.reply) {
            Some(KeeperReply::Snapshot { snapshot, away }) => {
                self.site.take_snapshot(snapshot, node);
                away
            }
            Some(KeeperReply::Changes {
                changes,
                revision,
                away,
            }) => {
                let behind = !away && self.is_behind(node, revision);
                self.site.take_changes(changes, revision, node);
                away || behind
            }
            _ => true,
        };
        if relies && !away {
            self.site.note_fed(self.clock.now());
        }
        !away
    }

    /// Returns whether a keeper that says that it hears from the store knows less
    /// than this process, so that its word is no proof that nothing is new.
    fn is_behind(&self, node: &str, told: u64) -> bool {
        let known = self.site.known().revision;
        let behind = told < known;
        if behind {
            let note = LogEvent::new("keeper_behind").with("keeper", node);
            self.site.note(note.with("told", told).with("known", known));
        }
        behind
    }
}

fn first_turn() -> usize {
    rand::random::<u32>() as usize
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
                if let Some(KeeperReply::Snapshot { snapshot, .. }) = ask_seed(&seed, &hello).await
                {
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

async fn ask_seed(address: &str, hello: &Hello) -> Option<KeeperReply> {
    let link = peer::dial(address, hello).await.ok()?;
    let (outgoing, questions) = async_channel::bounded(1);
    let (incoming, answers) = async_channel::bounded(1);
    let question = KeeperRequest::Follow { after: 0 };
    outgoing
        .send(KeeperMessage::Ask(RequestId(0), question))
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
