//! Turns as a gateway opens and ends them at the keepers of their programs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use limpetferry_lib::chain_cache::ChainCache;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::ChainLink;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Presence;
use limpetferry_lib::ledger::TurnUsage;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::place::Place;
use limpetferry_lib::stream_origin::Continuation;
use limpetferry_lib::stream_origin::RecordedOrigin;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_lib::time::Time;
use limpetferry_lib::turn_admission::NextAction;
use limpetferry_lib::turn_admission::ReplicaEvent;
use limpetferry_lib::turn_admission::TurnAdmission;

use crate::clock::Clock;
use crate::replicas::Heard;
use crate::replicas::HeardSender;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::timeout::within;

/// How long a majority of a turn's keepers may be silent before all are asked,
/// and those that are back: several times a sync of 2 to 5 ms and the way. A
/// third fewer questions, answers and bytes on disk than if all were asked at
/// once, where one keeper may be lost.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(30);
/// Longest wait for keepers before a turn is refused: longer than a slow disk
/// or a link that is dialled anew, and short against a program's time, so that
/// its caller may come back.
const OPEN_WAIT: Duration = Duration::from_millis(300);
/// How long a keeper without a link counts as within reach: a link is dialled
/// anew within it if the keeper is there.
const REACH_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for the first event of a turn that runs to become durable.
const DURABLE_WAIT: Duration = Duration::from_millis(1_000);
/// How long a turn may still be recorded after its caller's time is over: several round
/// trips to keepers.
const RESERVATION_MARGIN: Duration = Duration::from_millis(500);
/// How often the end of a turn is sent to its keepers, each time until they have not
/// answered for some seconds.
const MAX_END_TRIES: usize = 4;

/// Says why a turn cannot begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRefusal {
    /// The program's budget does not hold it.
    Spent,
    /// There is no turn that it could continue from.
    NoPrevious,
    /// Too few keepers answer to be certain.
    Unavailable,
    /// Too few keepers are within this process's reach; others may do better.
    Elsewhere,
    /// Too few keepers have room; when they may have it again.
    Full(Duration),
    /// The program's budget holds it only if other turns end without having reached a
    /// server.
    Reserved,
}

/// A turn that cannot begin.
#[derive(Clone, Debug)]
pub struct NotOpened {
    /// Why not.
    pub refusal: TurnRefusal,
    /// What the keepers have recorded of the program's other turns.
    pub usage: Vec<TurnUsage>,
    /// Whether a keeper may have reserved or recorded the turn.
    pub noted: bool,
}

impl From<TurnRefusal> for NotOpened {
    fn from(refusal: TurnRefusal) -> Self {
        Self {
            refusal,
            usage: Vec::new(),
            noted: false,
        }
    }
}

/// What keepers are asked to do with a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Storage {
    /// Reserve it, until this time at most. Keepers of builds that cannot do so record
    /// it.
    Reserve(Time),
    /// Record it.
    Record,
}

/// Opens turns.
pub struct Turns {
    pub(crate) site: Arc<Site>,
    pub(crate) replicas: Arc<Replicas>,
    pub(crate) faults: usize,
    pub(crate) clock: Clock,
    chains: Mutex<ChainCache>,
}

/// A turn as its keepers record it.
#[derive(Clone)]
pub struct TurnNote {
    /// Its start.
    pub begin: Begin,
    /// Origin of its stream, if that is recorded.
    pub origin: Option<RecordedOrigin>,
    /// The stream that it continues.
    pub continuation: Continuation,
}

/// The note of a turn whose end is not recorded. Dropped, it has the reservation released
/// of a turn that never ran, or its end recorded, so that a caller who leaves leaves no
/// turn open.
struct Unended {
    turns: Arc<Turns>,
    /// `None` once somebody else records the end.
    note: Option<TurnNote>,
    /// Whether a keeper was asked to record the turn.
    recorded: bool,
}

impl Unended {
    fn new(turns: &Arc<Turns>, note: TurnNote) -> Self {
        Self {
            turns: turns.clone(),
            note: Some(note),
            recorded: false,
        }
    }

    /// Returns the note, whose end the caller records.
    fn take(&mut self) -> Option<TurnNote> {
        self.note.take()
    }
}

impl Drop for Unended {
    fn drop(&mut self) {
        if let Some(note) = self.note.take() {
            self.turns.release(&note.begin);
            if self.recorded {
                self.turns.withdraw(note);
            }
        }
    }
}

/// A turn that may run. Once a server has taken it, it is recorded by
/// [`OpenTurn::record`], and then ended by [`OpenTurn::end`]; dropped before, it counts as
/// one that never ran.
pub struct OpenTurn {
    turns: Arc<Turns>,
    note: TurnNote,
    unended: Unended,
    round: Round,
    /// The round in which a later origin is recorded.
    rerecorded: Option<Round>,
    /// Origin of the stream that it continues, if the keepers know it.
    pub origin: Option<StreamOrigin>,
    /// What a server is to receive: the history, then the new input.
    pub prompt: Bytes,
    /// Where the program's prompts are kept.
    pub places: Vec<Place>,
}

/// The questions about one turn, by one list of keepers.
struct Round {
    membership: Arc<Membership>,
    opening: TurnAdmission,
    storage: Storage,
    sender: HeardSender,
    heard: async_channel::Receiver<Heard>,
    /// Keepers that were asked and whose link has not ended since.
    asked: HashSet<usize>,
    /// Those of them that reserved or recorded the turn.
    noted: HashSet<usize>,
    /// Those of them that recorded it.
    recorded: HashSet<usize>,
    /// Whether one was asked to record it.
    asked_to_record: bool,
    /// Those of them that could not answer; they are asked again after a pause.
    failed: HashSet<usize>,
    /// Whether the link to one that was asked has ended.
    has_lost: bool,
    /// Where the program's prompts are kept.
    places: Vec<Place>,
    /// Those that were asked and have no room, and when they may have it again.
    full: HashMap<usize, Duration>,
    looking: bool,
    /// Whether more replicas are asked than a majority.
    wide: bool,
}

impl Round {
    fn place(&self, node: &str) -> Option<usize> {
        self.membership.place(node)
    }

    /// Returns whether a majority was asked that may still answer with what is wanted.
    fn is_asked(&self) -> bool {
        let is_open = |at| !self.full.contains_key(&at) && !self.failed.contains(&at);
        let open = |at| self.asked.contains(&at) && is_open(at);
        self.opening.replicas().majority(open)
    }

    /// Returns whether a replica may have reserved or recorded the turn.
    fn may_be_noted(&self) -> bool {
        self.asked.iter().any(|at| !self.full.contains_key(at)) || self.has_lost
    }

    /// Has the replicas asked to record the turn, those that reserved it first.
    fn start_recording(&mut self) {
        self.storage = Storage::Record;
        self.asked.clear();
        self.failed.clear();
        self.full.clear();
        self.wide = false;
    }

    /// Takes a replica for one that has not noted the turn.
    fn forget(&mut self, at: usize) {
        self.noted.remove(&at);
        self.recorded.remove(&at);
    }

    /// Has all replicas asked, also those that could not answer.
    fn widen(&mut self) {
        self.wide = true;
        for at in self.failed.drain() {
            self.asked.remove(&at);
        }
    }

    /// Returns when to come back, if too few replicas have room.
    fn retry_full(&self) -> Option<Duration> {
        let has_room = |at| !self.full.contains_key(&at);
        if self.opening.replicas().majority(has_room) {
            return None;
        }
        self.full.values().min().copied()
    }

    /// Returns the places of replicas that were not asked yet, those that noted the turn
    /// first.
    fn unasked(&self) -> Vec<usize> {
        let all = self.opening.replicas().keepers.iter().copied();
        let mut unasked: Vec<usize> = all.filter(|at| !self.asked.contains(at)).collect();
        unasked.sort_by_key(|at| !self.noted.contains(at));
        unasked
    }
}

impl Turns {
    /// Makes what opens turns, where `faults` keepers may be lost at once. It keeps at most
    /// `max_histories` bytes of histories.
    pub fn new(
        site: Arc<Site>,
        replicas: Arc<Replicas>,
        faults: usize,
        clock: Clock,
        max_histories: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            site,
            replicas,
            faults,
            clock,
            chains: Mutex::new(ChainCache::new(max_histories as usize)),
        })
    }

    /// Returns whether enough keepers are within reach for most programs: all
    /// but as many as may be lost at once.
    pub fn is_in_reach(&self) -> bool {
        let keepers = self.site.known().keepers.clone();
        let near = self.replicas.within_reach(REACH_WAIT);
        let far = keepers.remaining();
        let far = far.filter(|keeper| !near.contains(&keeper.node));
        far.count() <= self.faults
    }

    fn prompt(&self, begin: &Begin) -> Result<Bytes, Arc<str>> {
        let mut chains = self.chains.lock().expect("no panic while locked");
        chains.prompt(begin.previous.as_ref(), &begin.input)
    }

    /// Returns whether a turn's history has to come from a keeper.
    fn is_cold(&self, begin: &Begin) -> bool {
        let chains = self.chains.lock().expect("no panic while locked");
        let previous = begin.previous.as_ref();
        previous.is_some_and(|turn| !chains.has_chain(turn))
    }

    fn remember(&self, links: Vec<ChainLink>) {
        let mut chains = self.chains.lock().expect("no panic while locked");
        for link in links {
            chains.put(link);
        }
    }

    /// Opens a turn: reserves it at its program's replicas, and returns once the
    /// budget holds it and its history is known.
    ///
    /// # Errors
    ///
    /// Returns a [`TurnRefusal`]; the turn has not run then and will not.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held a lock.
    pub async fn open(
        self: &Arc<Self>,
        note: TurnNote,
        budget: Option<u64>,
        limit: Time,
    ) -> Result<OpenTurn, TurnRefusal> {
        let storage = Storage::Reserve(limit + RESERVATION_MARGIN);
        let limit = limit.min(self.clock.now() + OPEN_WAIT);
        let opened = self.note_turn(note, budget, limit, storage).await;
        let mut open = opened.map_err(|not_opened| not_opened.refusal)?;
        open.prompt = self.find_prompt(&open.note.begin, limit).await?;
        Ok(open)
    }

    /// Records a turn at its program's replicas, and returns once the budget holds it.
    ///
    /// # Errors
    ///
    /// Returns a [`NotOpened`]; the turn counts nothing then.
    pub async fn record(
        self: &Arc<Self>,
        note: TurnNote,
        budget: Option<u64>,
        limit: Time,
    ) -> Result<OpenTurn, NotOpened> {
        self.note_turn(note, budget, limit, Storage::Record).await
    }

    async fn note_turn(
        self: &Arc<Self>,
        note: TurnNote,
        budget: Option<u64>,
        limit: Time,
        storage: Storage,
    ) -> Result<OpenTurn, NotOpened> {
        let mut unended = Unended::new(self, note.clone());
        let recorded = &mut unended.recorded;
        match self.note(&note, budget, limit, storage, recorded).await {
            Ok(mut round) => Ok(OpenTurn {
                turns: self.clone(),
                places: std::mem::take(&mut round.places),
                origin: round.opening.origin(),
                note,
                unended,
                round,
                rerecorded: None,
                prompt: Bytes::new(),
            }),
            Err(not_opened) => {
                if !not_opened.noted {
                    unended.take();
                }
                Err(not_opened)
            }
        }
    }

    /// Asks the replicas of a program whether its budget would hold a turn, which they
    /// do not record.
    ///
    /// # Errors
    ///
    /// Returns a [`NotOpened`] if the budget does not hold it, or too few keepers
    /// answer.
    pub async fn query(&self, note: &TurnNote, budget: u64, limit: Time) -> Result<(), NotOpened> {
        let mut round = self.query_round(note, budget);
        loop {
            self.look_missing(&mut round, &note.begin);
            let left = limit.since(self.clock.now());
            if left.is_zero() {
                return Err(TurnRefusal::Unavailable.into());
            }
            let Some(Ok(heard)) = within(left.min(ASK_AGAIN), round.heard.recv()).await else {
                round.widen();
                if self.site.known().keepers.epoch > round.membership.epoch {
                    round = self.query_round(note, budget);
                }
                continue;
            };
            match self.take(&mut round, &note.begin, heard) {
                Some(NextAction::Go) => return Ok(()),
                Some(NextAction::Spent) => {
                    return Err(NotOpened {
                        refusal: TurnRefusal::Spent,
                        usage: round.opening.usage(),
                        noted: false,
                    });
                }
                Some(NextAction::Reserved) => return Err(TurnRefusal::Reserved.into()),
                Some(NextAction::Ask | NextAction::Wait) => {}
                None => round = self.query_round(note, budget),
            }
        }
    }

    fn query_round(&self, note: &TurnNote, budget: u64) -> Round {
        let mut round = self.round(note, Some(budget), Storage::Record);
        let replicas = round.opening.replicas().clone();
        round.opening = TurnAdmission::query(replicas, budget, note.begin.most);
        round
    }

    /// Has a majority of the replicas return their view, or all once that took long.
    fn look_missing(&self, round: &mut Round, begin: &Begin) {
        for at in round.unasked() {
            if !round.wide && round.is_asked() {
                return;
            }
            let question = KeeperRequest::Look {
                program: begin.program.clone(),
                turn: begin.turn.clone(),
            };
            let node = &round.membership.keepers[at].node;
            if self.replicas.ask(node, question, &round.sender) {
                round.asked.insert(at);
            }
        }
    }

    /// Returns whether all keepers but those that may be lost have reported the
    /// requests that ended servers, by the names of those that have. Keepers of
    /// builds that report none are not waited for.
    pub fn has_reports(&self, reported: &HashSet<Arc<str>>) -> bool {
        let keepers = self.site.known().keepers.clone();
        let missing = keepers.remaining();
        let missing = missing.filter(|keeper| {
            !reported.contains(&keeper.node) && !self.replicas.reports_no_ends(&keeper.node)
        });
        keepers.open && missing.count() <= self.faults
    }

    /// Has replicas note a turn; `recorded` is set once one was asked to record it.
    async fn note(
        &self,
        note: &TurnNote,
        budget: Option<u64>,
        limit: Time,
        storage: Storage,
        recorded: &mut bool,
    ) -> Result<Round, NotOpened> {
        let mut round = self.round(note, budget, storage);
        let near = self.replicas.within_reach(REACH_WAIT);
        let reached = |at: usize| near.contains(&round.membership.keepers[at].node);
        if !round.opening.replicas().majority(reached) {
            return Err(TurnRefusal::Elsewhere.into());
        }
        let mut noted = false;
        loop {
            let refuse = |round: &Round, refusal, usage| NotOpened {
                refusal,
                usage,
                noted: noted || round.may_be_noted(),
            };
            if let Some(retry) = round.retry_full() {
                return Err(refuse(&round, TurnRefusal::Full(retry), Vec::new()));
            }
            self.ask_missing(&mut round, note);
            *recorded |= round.asked_to_record;
            let left = limit.since(self.clock.now());
            if left.is_zero() {
                return Err(refuse(&round, TurnRefusal::Unavailable, Vec::new()));
            }
            let Some(Ok(heard)) = within(left.min(ASK_AGAIN), round.heard.recv()).await else {
                round.widen();
                if self.site.known().keepers.epoch > round.membership.epoch {
                    noted |= round.may_be_noted();
                    round = self.round(note, budget, storage);
                }
                continue;
            };
            match self.take(&mut round, &note.begin, heard) {
                Some(NextAction::Go) => return Ok(round),
                Some(NextAction::Spent) => {
                    let usage = round.opening.usage();
                    return Err(refuse(&round, TurnRefusal::Spent, usage));
                }
                Some(NextAction::Reserved) => {
                    return Err(refuse(&round, TurnRefusal::Reserved, Vec::new()));
                }
                Some(NextAction::Ask) => self.look_all(&mut round, &note.begin),
                Some(NextAction::Wait) => {}
                None => {
                    noted |= round.may_be_noted();
                    round = self.round(note, budget, storage);
                }
            }
        }
    }

    fn round(&self, note: &TurnNote, budget: Option<u64>, storage: Storage) -> Round {
        let begin = &note.begin;
        let membership = self.site.known().keepers.clone();
        let replicas = membership.replicas(&begin.program, self.faults);
        let opening = TurnAdmission::new(replicas, budget, begin.most);
        let (sender, heard) = async_channel::unbounded();
        Round {
            membership,
            opening: opening
                .with_continuation(note.continuation.clone())
                .with_first(begin.previous.is_none()),
            storage,
            sender,
            heard,
            asked: HashSet::new(),
            noted: HashSet::new(),
            recorded: HashSet::new(),
            asked_to_record: false,
            failed: HashSet::new(),
            has_lost: false,
            places: Vec::new(),
            full: HashMap::new(),
            looking: false,
            wide: false,
        }
    }

    /// Asks a majority of the replicas, or all once that took long: those that
    /// were not asked, or whose link ended since.
    fn ask_missing(&self, round: &mut Round, note: &TurnNote) {
        let mut chain = round.asked.is_empty() && self.is_cold(&note.begin);
        for at in round.unasked() {
            if !round.wide && round.is_asked() {
                return;
            }
            let node = &round.membership.keepers[at].node;
            let question = self.question(round, note, node, chain);
            let records = matches!(question, KeeperRequest::Note { .. });
            if self.replicas.ask(node, question, &round.sender) {
                round.asked.insert(at);
                round.asked_to_record |= records;
                chain = false;
            }
        }
    }

    /// Returns what a keeper is asked about a turn.
    fn question(&self, round: &Round, note: &TurnNote, node: &str, chain: bool) -> KeeperRequest {
        let epoch = round.membership.epoch;
        let continuation = note.continuation.clone();
        match round.storage {
            Storage::Reserve(until) if self.replicas.reserves_turns(node) => {
                let longest = until.since(self.clock.now());
                KeeperRequest::Reserve {
                    begin: Begin {
                        input: Bytes::new(),
                        ..note.begin.clone()
                    },
                    chain,
                    epoch,
                    continuation,
                    longest_ms: longest.as_millis() as u64,
                }
            }
            Storage::Reserve(_) | Storage::Record => KeeperRequest::Note {
                begin: note.begin.clone(),
                chain,
                epoch,
                origin: note.origin.clone(),
                continuation,
            },
        }
    }

    fn look(&self, round: &Round, begin: &Begin, places: &[usize]) {
        for &at in places {
            let question = KeeperRequest::Look {
                program: begin.program.clone(),
                turn: begin.turn.clone(),
            };
            let node = &round.membership.keepers[at].node;
            // A keeper without a link was or will be heard of as lost.
            self.replicas.ask(node, question, &round.sender);
        }
    }

    fn look_all(&self, round: &mut Round, begin: &Begin) {
        round.looking = true;
        let places: Vec<usize> = round.noted.iter().copied().collect();
        self.look(round, begin, &places);
    }

    /// Takes an answer; `None` if the list of keepers is an old one.
    fn take(&self, round: &mut Round, begin: &Begin, heard: Heard) -> Option<NextAction> {
        let Some(at) = round.place(&heard.node) else {
            return Some(NextAction::Wait);
        };
        let step = match heard.reply {
            Some(KeeperReply::Noted {
                view,
                chain,
                places,
                origin,
                held,
                reserved,
            }) => {
                // Recorded again, it was counted all the time.
                let recorded_before = !round.recorded.insert(at);
                let counted = held || recorded_before;
                round.noted.insert(at);
                round.places.extend(places);
                self.remember(chain);
                if counted && round.opening.has_answered(at) {
                    ReplicaEvent::Held
                } else {
                    if round.looking {
                        // It noted the turn after the others were asked to look.
                        self.look(round, begin, &[at]);
                    }
                    ReplicaEvent::Noted(view.with_reserved(&reserved), origin)
                }
            }
            Some(KeeperReply::Reserved {
                view,
                chain,
                places,
                origin,
                reserved,
            }) => {
                round.noted.insert(at);
                round.places.extend(places);
                self.remember(chain);
                if round.looking {
                    self.look(round, begin, &[at]);
                }
                ReplicaEvent::Noted(view.with_reserved(&reserved), origin)
            }
            Some(KeeperReply::Seen(view, reserved)) => {
                ReplicaEvent::Seen(view.with_reserved(&reserved))
            }
            Some(KeeperReply::Synced) => ReplicaEvent::Synced,
            Some(KeeperReply::Stale(membership)) => {
                self.site.take_keepers(membership, 0);
                return None;
            }
            Some(
                KeeperReply::Chain { .. }
                | KeeperReply::Digests { .. }
                | KeeperReply::Records { .. }
                | KeeperReply::Snapshot { .. }
                | KeeperReply::Changes { .. }
                | KeeperReply::Taken
                | KeeperReply::Spent(_)
                | KeeperReply::Loads(_)
                | KeeperReply::Ends(_)
                | KeeperReply::Active { .. },
            ) => return Some(NextAction::Wait),
            Some(KeeperReply::Full { retry_ms }) => {
                round.full.insert(at, Duration::from_millis(retry_ms));
                return Some(NextAction::Wait);
            }
            Some(KeeperReply::Failed(_)) => {
                round.forget(at);
                round.failed.insert(at);
                ReplicaEvent::Lost
            }
            None => {
                round.has_lost = true;
                round.asked.remove(&at);
                round.forget(at);
                ReplicaEvent::Lost
            }
        };
        Some(round.opening.step(at, step))
    }

    /// Finds what a turn continues from: in this process, or at any keeper.
    async fn find_prompt(&self, begin: &Begin, limit: Time) -> Result<Bytes, TurnRefusal> {
        loop {
            let missing = match self.prompt(begin) {
                Ok(prompt) => return Ok(prompt),
                Err(missing) => missing,
            };
            self.fetch(&missing, limit).await?;
        }
    }

    /// Asks all keepers for a turn that may belong to another program. It does
    /// not exist if so many say so that no majority can have it.
    async fn fetch(&self, turn: &Arc<str>, limit: Time) -> Result<(), TurnRefusal> {
        let membership = self.site.known().keepers.clone();
        let (sender, heard) = async_channel::unbounded();
        let mut asked: HashSet<Arc<str>> = HashSet::new();
        let mut never: HashSet<Arc<str>> = HashSet::new();
        loop {
            for keeper in &membership.keepers {
                let question = KeeperRequest::Chain { turn: turn.clone() };
                if !asked.contains(&keeper.node)
                    && self.replicas.ask(&keeper.node, question, &sender)
                {
                    asked.insert(keeper.node.clone());
                }
            }
            let left = limit.since(self.clock.now());
            if left.is_zero() {
                return Err(TurnRefusal::Unavailable);
            }
            let Some(Ok(heard)) = within(left.min(ASK_AGAIN), heard.recv()).await else {
                continue;
            };
            match heard.reply {
                Some(KeeperReply::Chain {
                    presence: Presence::Here,
                    links,
                }) => {
                    self.remember(links);
                    return Ok(());
                }
                Some(KeeperReply::Chain {
                    presence: Presence::Never,
                    ..
                }) => {
                    never.insert(heard.node);
                }
                _ => {
                    asked.remove(&heard.node);
                    smol::Timer::after(ASK_AGAIN / 4).await;
                }
            }
            if membership.rules_out(&never, self.faults) {
                return Err(TurnRefusal::NoPrevious);
            }
        }
    }

    /// Ends the reservation of a turn that never ran. Where that is lost, its time is
    /// over soon.
    fn release(&self, begin: &Begin) {
        let membership = self.site.known().keepers.clone();
        let replicas = membership.replicas(&begin.program, self.faults);
        for at in replicas.keepers {
            let node = &membership.keepers[at].node;
            if self.replicas.reserves_turns(node) {
                let release = KeeperRequest::Release {
                    program: begin.program.clone(),
                    turn: begin.turn.clone(),
                };
                self.replicas.tell(node, release);
            }
        }
    }

    /// Ends a turn that never ran, so that it no longer counts.
    fn withdraw(self: &Arc<Self>, note: TurnNote) {
        let finish = Finish {
            turn: note.begin.turn.clone(),
            program: note.begin.program.clone(),
            output: Bytes::new(),
            used: 0,
            whole: false,
        };
        drop(self.record_end(note, finish, None, HashSet::new()));
    }

    /// Records the end of a turn in a task of its own, which a caller who leaves does
    /// not take along. The channel returns whether a majority has it on disk; if not, it
    /// is tried again.
    fn record_end(
        self: &Arc<Self>,
        note: TurnNote,
        finish: Finish,
        place: Option<Place>,
        noted: HashSet<Arc<str>>,
    ) -> async_channel::Receiver<bool> {
        let (sender, recorded) = async_channel::bounded(1);
        let this = self.clone();
        smol::spawn(async move {
            for _ in 0..MAX_END_TRIES {
                let done = this.finish(&note, finish.clone(), place, &noted).await;
                // Whoever waits for it may have left; only the first result counts.
                let _ = sender.try_send(done);
                if done {
                    break;
                }
            }
        })
        .detach();
        recorded
    }
}

impl Turns {
    /// Waits until a majority that was asked in a round has the turn on disk.
    async fn durable(
        &self,
        round: &mut Round,
        note: &TurnNote,
        limit: Time,
    ) -> Result<(), TurnRefusal> {
        while !round.opening.is_durable() {
            self.ask_missing(round, note);
            let left = limit.since(self.clock.now());
            if left.is_zero() {
                return Err(TurnRefusal::Unavailable);
            }
            let wait = within(left.min(ASK_AGAIN), round.heard.recv());
            let Some(Ok(heard)) = wait.await else {
                round.widen();
                continue;
            };
            match self.take(round, &note.begin, heard) {
                Some(NextAction::Spent) => return Err(TurnRefusal::Spent),
                Some(NextAction::Reserved) => return Err(TurnRefusal::Reserved),
                Some(NextAction::Ask) => self.look_all(round, &note.begin),
                Some(NextAction::Go | NextAction::Wait) => {}
                None => *round = self.round(note, round.opening.budget(), Storage::Record),
            }
        }
        Ok(())
    }
}

impl OpenTurn {
    /// Ends the turn without waiting until that is on disk.
    pub fn end_unwatched(mut self, used: u64, place: Option<Place>) {
        drop(self.start_end(Bytes::new(), used, false, place));
    }

    fn start_end(
        &mut self,
        output: Bytes,
        used: u64,
        whole: bool,
        place: Option<Place>,
    ) -> async_channel::Receiver<bool> {
        self.unended.take();
        let noted = self.round.recorded.iter();
        let noted = noted
            .map(|&at| self.round.membership.keepers[at].node.clone())
            .collect();
        let finish = Finish {
            turn: self.note.begin.turn.clone(),
            program: self.note.begin.program.clone(),
            output,
            used,
            whole,
        };
        let note = self.note.clone();
        self.turns.record_end(note, finish, place, noted)
    }

    /// Returns what the keepers have recorded of the program's other turns.
    pub fn usage(&self) -> Vec<TurnUsage> {
        self.round.opening.usage()
    }

    /// Has the keepers record the turn, which a server has taken, with the origin of its
    /// stream if that is recorded.
    pub fn record(&mut self, origin: Option<RecordedOrigin>) {
        self.note.origin = origin;
        self.unended.note = Some(self.note.clone());
        self.unended.recorded = true;
        let (turns, round) = (&self.turns, &mut self.round);
        // Replicas may have been lost since the turn was opened.
        while let Ok(heard) = round.heard.try_recv() {
            match turns.take(round, &self.note.begin, heard) {
                Some(NextAction::Ask) => turns.look_all(round, &self.note.begin),
                Some(_) => {}
                None => *round = turns.round(&self.note, round.opening.budget(), Storage::Record),
            }
        }
        round.start_recording();
        turns.ask_missing(round, &self.note);
    }

    /// Has the keepers record another origin of the turn's stream.
    pub fn record_origin(&mut self, origin: RecordedOrigin) {
        self.note.origin = Some(origin);
        let mut round = self.turns.round(&self.note, None, Storage::Record);
        self.turns.ask_missing(&mut round, &self.note);
        self.rerecorded = Some(round);
    }

    /// Waits until a majority that was asked has the turn on disk, with the origin
    /// that was recorded last.
    ///
    /// # Errors
    ///
    /// Returns a [`TurnRefusal`] if that does not come about in time; nothing
    /// of the turn may go to the caller then.
    pub async fn durable(&mut self) -> Result<(), TurnRefusal> {
        let limit = self.turns.clock.now() + DURABLE_WAIT;
        let turns = self.turns.clone();
        turns.durable(&mut self.round, &self.note, limit).await?;
        match &mut self.rerecorded {
            Some(round) => turns.durable(round, &self.note, limit).await,
            None => Ok(()),
        }
    }

    /// Ends the turn. Returns whether a majority has the end on disk, so that
    /// others may continue from it.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held a lock.
    pub async fn end(
        mut self,
        output: Bytes,
        used: u64,
        whole: bool,
        place: Option<Place>,
    ) -> bool {
        let done = self.start_end(output.clone(), used, whole, place);
        let done = done.recv().await.unwrap_or(false);
        if done && whole {
            self.turns.remember(vec![ChainLink {
                turn: self.note.begin.turn.clone(),
                previous: self.note.begin.previous.clone(),
                text: [&self.note.begin.input[..], &output[..]].concat().into(),
            }]);
        }
        done
    }
}
