//! The end of a turn, put on the disks of a majority of its program's replicas.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::membership::Replicas as ReplicaSet;
use limpetferry_lib::place::Place;
use limpetferry_lib::time::Time;

use crate::replicas::HeardSender;
use crate::timeout::within;
use crate::turns::ASK_AGAIN;
use crate::turns::TurnNote;
use crate::turns::Turns;

/// Longest wait for the end of a turn to be on disk.
const END_WAIT: Duration = Duration::from_millis(2_500);

/// The questions about a turn's end, by one list of keepers.
struct Ending {
    membership: Arc<Membership>,
    replicas: ReplicaSet,
    /// Places of the replicas, in the order in which they are asked.
    places: Vec<usize>,
    /// Where the turn's prompt is kept.
    place: Option<Place>,
    /// Names of those that have the beginning, as far as is known.
    noted: HashSet<Arc<str>>,
    /// Names of those that were asked.
    asked: HashSet<Arc<str>>,
    /// Names of those that have the end on disk.
    synced: HashSet<Arc<str>>,
    /// Names of those that were asked and have no room; they are asked again after a
    /// pause.
    full: HashSet<Arc<str>>,
    /// Whether more are asked than a majority.
    wide: bool,
}

impl Ending {
    fn majority(&self, names: &HashSet<Arc<str>>) -> bool {
        self.replicas
            .majority(|at| names.contains(&self.membership.keepers[at].node))
    }
}

impl Turns {
    /// Puts the end of a turn on the disks of a majority. Returns whether it
    /// is there.
    pub(crate) async fn finish(
        &self,
        note: &TurnNote,
        finish: Finish,
        place: Option<Place>,
        noted: &HashSet<Arc<str>>,
    ) -> bool {
        let limit = self.clock.now() + END_WAIT;
        let (note, finish) = without_unused_texts(note, finish);
        loop {
            let mut ending = self.ending(&note.begin, place, noted);
            match self.end_by(&mut ending, &note, &finish, limit).await {
                Some(done) => return done,
                // A keeper that acknowledged it may have lost its disk since:
                // by the new list all are asked again.
                None => continue,
            }
        }
    }

    fn ending(&self, begin: &Begin, place: Option<Place>, noted: &HashSet<Arc<str>>) -> Ending {
        let membership = self.site.known().keepers.clone();
        let replicas = membership.replicas(&begin.program, self.faults);
        let mut places = replicas.keepers.clone();
        // Those that have the beginning need only the end.
        places.sort_by_key(|&at| !noted.contains(&membership.keepers[at].node));
        Ending {
            membership,
            replicas,
            places,
            place,
            noted: noted.clone(),
            asked: HashSet::new(),
            synced: HashSet::new(),
            full: HashSet::new(),
            wide: false,
        }
    }

    /// Ends a turn by one list of keepers; `None` if the list is an old one.
    async fn end_by(
        &self,
        ending: &mut Ending,
        note: &TurnNote,
        finish: &Finish,
        limit: Time,
    ) -> Option<bool> {
        let (sender, heard) = async_channel::unbounded();
        loop {
            self.ask_end(ending, note, finish, &sender);
            if ending.majority(&ending.synced) {
                return Some(true);
            }
            let left = limit.since(self.clock.now());
            if left.is_zero() {
                return Some(false);
            }
            let Some(Ok(heard)) = within(left.min(ASK_AGAIN), heard.recv()).await else {
                ending.wide = true;
                for node in ending.full.drain() {
                    ending.asked.remove(&node);
                }
                continue;
            };
            match heard.reply {
                Some(KeeperReply::Synced) => {
                    ending.synced.insert(heard.node);
                }
                Some(KeeperReply::Stale(membership)) => {
                    self.site.take_keepers(membership, 0);
                    return None;
                }
                Some(KeeperReply::Full { .. }) => {
                    ending.full.insert(heard.node);
                }
                _ => {
                    // It may have lost the beginning.
                    ending.noted.remove(&heard.node);
                    ending.asked.remove(&heard.node);
                }
            }
        }
    }

    /// Asks a majority to put the end on disk, or all once that took long.
    fn ask_end(&self, ending: &mut Ending, note: &TurnNote, finish: &Finish, sender: &HeardSender) {
        for &at in &ending.places {
            let open = &ending.asked - &ending.full;
            if !ending.wide && ending.majority(&open) {
                return;
            }
            let node = &ending.membership.keepers[at].node;
            if ending.asked.contains(node) {
                continue;
            }
            let full = !ending.noted.contains(node);
            let question = KeeperRequest::End {
                begin: full.then(|| note.begin.clone()),
                finish: finish.clone(),
                place: ending.place,
                epoch: ending.membership.epoch,
                origin: note.origin.clone().filter(|_| full),
            };
            if self.replicas.ask(node, question, sender) {
                ending.asked.insert(node.clone());
            }
        }
    }
}

/// Leaves out the texts of a turn that did not end completely: no other turn can
/// continue from it.
fn without_unused_texts(note: &TurnNote, finish: Finish) -> (TurnNote, Finish) {
    let mut note = note.clone();
    if finish.whole {
        return (note, finish);
    }
    note.begin.input = Bytes::new();
    let output = Bytes::new();
    (note, Finish { output, ..finish })
}
