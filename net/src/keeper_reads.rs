//! Histories and copies that a keeper reads and sends.
//!
//! What is in memory is answered at once. The rest is read by a thread of its own, one
//! answer after the other. Memory for an answer is reserved before it is read, and
//! until the link has taken it.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::allowance::ProcessStart;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::RequestId;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::ChainEntry;
use limpetferry_lib::ledger::ChainLink;
use limpetferry_lib::ledger::Presence;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::ledger::RecordEntry;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::ledger::TurnOrigin;
use limpetferry_lib::place::Place;
use limpetferry_lib::stream_origin::Continuation;
use limpetferry_lib::stream_origin::OriginView;
use limpetferry_lib::text::NoDisk;
use limpetferry_lib::text::TextError;
use limpetferry_lib::text::TextSource;
use limpetferry_lib::turn_admission::ReplicaView;

use crate::disk::Job;
use crate::disk::Listener;
use crate::essential;
use crate::held::Hold;
use crate::keeper_node::Keeper;
use crate::keeper_state::SharedState;
use crate::log;
use crate::replies::ReplyBudget;
use crate::replies::ReplySender;
use crate::segments::SegmentTexts;

/// Bytes of texts in one answer to a keeper that catches up.
const PULL_BYTES: usize = 512 << 10;
/// How often a read is tried whose records were moved by a compaction meanwhile.
const MAX_READS: usize = 4;

type Deliver<T> = Box<dyn FnOnce(Result<T, TextError>) + Send>;

/// What the thread is asked to read.
enum ReadJob {
    /// A turn and its predecessors.
    Chain {
        turn: Arc<str>,
        deliver: Deliver<Vec<ChainLink>>,
    },
    /// Records of turns.
    Records {
        page: CopyPage,
        deliver: Deliver<Vec<StoredRecord>>,
    },
}

/// Hands reads to the thread.
pub struct Reads {
    jobs: async_channel::Sender<ReadJob>,
    budget: ReplyBudget,
}

impl Reads {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(
        node: &str,
        folder: PathBuf,
        state: SharedState,
        budget: ReplyBudget,
    ) -> std::io::Result<Self> {
        let (jobs, queue) = async_channel::unbounded();
        let reader = Reader {
            node: node.to_owned(),
            folder,
            state,
        };
        std::thread::Builder::new()
            .name("reads".to_owned())
            .spawn(move || {
                let node = reader.node.clone();
                essential::run_thread(&node, "reads", || {
                    while let Ok(job) = queue.recv_blocking() {
                        reader.read(job);
                    }
                });
            })?;
        Ok(Self { jobs, budget })
    }

    /// Returns the bound on what is read and sent.
    pub fn budget(&self) -> &ReplyBudget {
        &self.budget
    }

    fn send(&self, job: ReadJob) {
        // The thread ends only with the process.
        let _ = self.jobs.try_send(job);
    }
}

struct Reader {
    node: String,
    folder: PathBuf,
    state: SharedState,
}

impl Reader {
    fn read(&self, job: ReadJob) {
        match job {
            ReadJob::Chain { turn, deliver } => {
                let look_up = || self.state.lock().chain(&turn);
                deliver(self.read_all(look_up, ChainEntry::read));
            }
            ReadJob::Records { page, deliver } => {
                let look_up = || {
                    let state = self.state.lock();
                    let parts = page.parts.iter();
                    let each = parts.flat_map(|part| state.entries(&part.program, &part.turns));
                    each.collect::<Vec<RecordEntry>>()
                };
                deliver(self.read_all(look_up, RecordEntry::read));
            }
        }
    }

    /// Looks entries up and reads each of them, again if a compaction moved one.
    fn read_all<E, T>(
        &self,
        look_up: impl Fn() -> Vec<E>,
        read: impl Fn(E, &mut dyn TextSource) -> Result<T, TextError>,
    ) -> Result<Vec<T>, TextError> {
        let mut tries = 0;
        loop {
            let mut texts = SegmentTexts::new(&self.folder);
            let entries = look_up().into_iter();
            let done: Result<Vec<T>, TextError> =
                entries.map(|entry| read(entry, &mut texts)).collect();
            tries += 1;
            match done {
                Err(TextError::Moved(_)) if tries < MAX_READS => {}
                Err(error) => {
                    let note = LogEvent::new("text_unreadable").with("why", &error);
                    log::note(&self.node, &note);
                    return Err(error);
                }
                done => return done,
            }
        }
    }
}

/// Turns of one program that are copied to another keeper.
struct CopyPart {
    program: Arc<str>,
    turns: Vec<Arc<str>>,
}

/// What is copied to another keeper in one answer.
pub(crate) struct CopyPage {
    parts: Vec<CopyPart>,
    /// Bytes of their texts.
    bytes: usize,
    /// The last turn of the last part, if turns of its program are left.
    last: Option<Arc<str>>,
}

impl CopyPage {
    /// Returns the number of programs of which nothing is left.
    fn whole_programs(&self) -> usize {
        self.parts.len() - usize::from(self.last.is_some())
    }
}

/// For whom a turn is reserved, and for how long at most.
#[derive(Clone, Copy)]
pub(crate) struct ReservedFor<'a> {
    pub(crate) process: &'a ProcessStart,
    pub(crate) longest: Duration,
}

/// The answer to a keeper's first question about a turn, without the history.
pub(crate) struct NotedAnswer {
    view: ReplicaView,
    places: Vec<Place>,
    origin: OriginView,
    /// The turn from which it continues, if its history was asked for.
    previous: Option<Arc<str>>,
    /// Whether the turn was reserved until now.
    held: bool,
}

impl NotedAnswer {
    fn into_noted(self, chain: Vec<ChainLink>) -> KeeperReply {
        KeeperReply::Noted {
            reserved: self.view.reserved_turns(),
            view: self.view,
            chain,
            places: self.places,
            origin: self.origin,
            held: self.held,
        }
    }

    fn into_reserved(self, chain: Vec<ChainLink>) -> KeeperReply {
        KeeperReply::Reserved {
            reserved: self.view.reserved_turns(),
            view: self.view,
            chain,
            places: self.places,
            origin: self.origin,
        }
    }
}

impl Keeper {
    /// Answers what is known of a turn's program.
    pub(crate) fn noted(
        &self,
        begin: &Begin,
        chain: bool,
        continuation: &Continuation,
    ) -> NotedAnswer {
        let (program, turn, previous) = (&begin.program, &begin.turn, begin.previous.as_deref());
        let view = self.view(program, turn, previous);
        let mut state = self.state();
        if let Some(previous) = previous {
            state.ledger.renew_retention(self.clock.now(), previous);
        }
        NotedAnswer {
            view,
            places: state.ledger.places(program).to_vec(),
            origin: state.ledger.origin(program, turn, continuation),
            previous: begin.previous.clone().filter(|_| chain),
            held: state.reservations.holds(self.clock.now(), program, turn),
        }
    }

    /// Reserves a turn, and answers with its history.
    pub(crate) fn reserve_turn(
        &self,
        answer: NotedAnswer,
        begin: &Begin,
        owner: ReservedFor<'_>,
        ticket: RequestId,
        sender: &ReplySender,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        if !state.ledger.has_start(&begin.turn) {
            let reservations = &mut state.reservations;
            reservations.reserve(now, begin, owner.process, owner.longest);
        }
        drop(state);
        let (entries, budget) = self.wanted_chain(&answer);
        let Some(budget) = budget else {
            sender.send(ticket, answer.into_reserved(Vec::new()));
            return;
        };
        if let Some(links) = read_in_memory(&entries) {
            sender.send_reserved(ticket, answer.into_reserved(links), Some(budget));
            return;
        }
        let turn = answer.previous.clone().unwrap_or_default();
        let sender = sender.clone();
        let deliver = move |links: Result<Vec<ChainLink>, TextError>| {
            let reply = answer.into_reserved(links.unwrap_or_default());
            sender.send_reserved(ticket, reply, Some(budget));
        };
        self.reads.send(ReadJob::Chain {
            turn,
            deliver: Box::new(deliver),
        });
    }

    /// Returns the chain that an answer is to have, and the memory to send it; no memory
    /// if none was asked for or there is too little. The asker then gets it by a question
    /// of its own.
    fn wanted_chain(&self, answer: &NotedAnswer) -> (Vec<ChainEntry>, Option<Hold>) {
        let previous = answer.previous.as_deref();
        let entries = previous.map(|turn| self.state().chain(turn));
        let entries = entries.unwrap_or_default();
        let budget = self
            .reserve_memory(&entries)
            .filter(|_| !entries.is_empty());
        (entries, budget)
    }

    /// Records the start of a turn, and answers with its history. The answer goes before
    /// the sync, which hides behind the engine's reading of the prompt.
    pub(crate) fn note_turn(
        &self,
        answer: NotedAnswer,
        record: StoredRecord,
        ticket: RequestId,
        sender: &ReplySender,
    ) {
        let listener = Listener::Peer(sender.clone(), ticket);
        let previous = answer.previous.clone();
        let (entries, budget) = self.wanted_chain(&answer);
        let Some(budget) = budget else {
            sender.send(ticket, answer.into_noted(Vec::new()));
            return self.keep(vec![record], Some(listener));
        };
        if let Some(links) = read_in_memory(&entries) {
            sender.send_reserved(ticket, answer.into_noted(links), Some(budget));
            return self.keep(vec![record], Some(listener));
        }
        self.keep(vec![record], None);
        let (sender, disk) = (sender.clone(), self.disk.clone());
        let deliver = move |links: Result<Vec<ChainLink>, TextError>| {
            let reply = answer.into_noted(links.unwrap_or_default());
            sender.send_reserved(ticket, reply, Some(budget));
            // The record was handed over before; the asker expects this answer second.
            disk.send(Job::Keep {
                records: Vec::new(),
                tell: Some(listener),
            });
        };
        self.reads.send(ReadJob::Chain {
            turn: previous.unwrap_or_default(),
            deliver: Box::new(deliver),
        });
    }

    /// Answers with a turn and its predecessors.
    pub(crate) fn answer_chain(&self, turn: &Arc<str>, ticket: RequestId, sender: &ReplySender) {
        let mut state = self.state();
        state.ledger.renew_retention(self.clock.now(), turn);
        let presence = state.presence(turn);
        let entries = state.chain(turn);
        drop(state);
        let reply = move |links| KeeperReply::Chain { presence, links };
        let Some(reservation) = self.reserve_memory(&entries) else {
            let why = "too many histories are read at once; ask again".to_owned();
            sender.send(ticket, KeeperReply::Failed(why));
            return;
        };
        if let Some(links) = read_in_memory(&entries) {
            sender.send_reserved(ticket, reply(links), Some(reservation));
            return;
        }
        let sender = sender.clone();
        let deliver = move |links: Result<Vec<ChainLink>, TextError>| {
            let reply = links.map_or_else(|error| KeeperReply::Failed(error.to_string()), reply);
            sender.send_reserved(ticket, reply, Some(reservation));
        };
        self.reads.send(ReadJob::Chain {
            turn: turn.clone(),
            deliver: Box::new(deliver),
        });
    }

    /// Selects what of some programs is copied in one answer: up to a bound of bytes, and
    /// whole programs if the asker takes no part of one.
    pub(crate) fn copy_page(
        &self,
        programs: &[Arc<str>],
        after: Option<&str>,
        partial: bool,
    ) -> CopyPage {
        let state = self.state();
        let mut page = CopyPage {
            parts: Vec::new(),
            bytes: 0,
            last: None,
        };
        for (number, program) in programs.iter().enumerate() {
            if page.bytes > PULL_BYTES {
                break;
            }
            let after = after.filter(|_| number == 0);
            let mut turns = state.ledger.turns_after(program, after);
            let mut count = 0;
            for turn in &turns {
                if partial && page.bytes > PULL_BYTES {
                    break;
                }
                page.bytes += state.ledger.text_size(turn);
                count += 1;
            }
            if count < turns.len() {
                turns.truncate(count);
                page.last = turns.last().cloned();
            }
            let program = program.clone();
            page.parts.push(CopyPart { program, turns });
        }
        page
    }

    /// Answers with records for a keeper that catches up.
    pub(crate) fn answer_records(&self, page: CopyPage, ticket: RequestId, sender: &ReplySender) {
        let Some(reservation) = self.reads.budget().reserve(page.bytes) else {
            let why = "too many copies are read at once; ask again".to_owned();
            sender.send(ticket, KeeperReply::Failed(why));
            return;
        };
        let (count, last) = (page.whole_programs(), page.last.clone());
        let sender = sender.clone();
        let deliver = move |records: Result<Vec<StoredRecord>, TextError>| {
            let reply = records.map_or_else(
                |error| KeeperReply::Failed(error.to_string()),
                |records| copies(records, count, last),
            );
            sender.send_reserved(ticket, reply, Some(reservation));
        };
        self.reads.send(ReadJob::Records {
            page,
            deliver: Box::new(deliver),
        });
    }

    pub(crate) fn view(&self, program: &str, turn: &str, previous: Option<&str>) -> ReplicaView {
        let state = self.state();
        let mut shares = state.ledger.usage(program, turn);
        shares.extend(state.reservations.usage(self.clock.now(), program, turn));
        ReplicaView {
            whole: state.whole,
            shares,
            previous: previous.map_or(Presence::Never, |turn| state.presence(turn)),
        }
    }

    fn reserve_memory(&self, entries: &[ChainEntry]) -> Option<Hold> {
        let bytes = entries.iter().map(ChainEntry::size).sum();
        let reservation = self.reads.budget().reserve(bytes);
        if reservation.is_none() && !self.reads.budget().could_hold(bytes) {
            let note = LogEvent::new("history_too_long").with("bytes", bytes);
            self.note(note.with("remedy", "raise memory_mb"));
        }
        reservation
    }
}

/// Returns the turns of a chain if all their texts are in memory.
fn read_in_memory(entries: &[ChainEntry]) -> Option<Vec<ChainLink>> {
    if entries.iter().any(ChainEntry::is_on_disk) {
        return None;
    }
    let links = entries.iter().cloned().map(|entry| entry.read(&mut NoDisk));
    links.collect::<Result<Vec<ChainLink>, TextError>>().ok()
}

/// Makes the answer with the records of `programs` programs, and of the one that follows
/// up to the turn `last`.
fn copies(stored: Vec<StoredRecord>, programs: usize, last: Option<Arc<str>>) -> KeeperReply {
    let mut records = Vec::with_capacity(stored.len());
    let mut origins = Vec::new();
    for StoredRecord { record, origin } in stored {
        if let (Record::Begin(begin), Some(recorded)) = (&record, origin) {
            let turn = begin.turn.clone();
            origins.push(TurnOrigin { turn, recorded });
        }
        records.push(record);
    }
    KeeperReply::Records {
        records,
        programs,
        origins,
        last,
    }
}
