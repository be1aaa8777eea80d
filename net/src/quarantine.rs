//! Bounds the servers that end under one request: gives the permission without which
//! nothing is sent to a server, and records the servers that ended.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::answer_log::AnswerLog;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::fingerprint::RequestFingerprint;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::left_runs::LeftRuns;
use limpetferry_lib::left_runs::WATCH_TIME;
use limpetferry_lib::load_report::ServerStart;
use limpetferry_lib::request_ends;
use limpetferry_lib::request_ends::EndNotice;
use limpetferry_lib::request_ends::EndTally;
use limpetferry_lib::request_ends::MAX_ENDS;
use limpetferry_lib::stream_origin::Continuation;
use limpetferry_lib::suspects::Standing;
use limpetferry_lib::suspects::SuspectTable;
use limpetferry_lib::suspects::SuspectView;
use limpetferry_lib::time::Time;
use prometheus::IntCounterVec;

use crate::clearance::Clearance;
use crate::clearance::RecordedRun;
use crate::clock::Clock;
use crate::lease::SentTo;
use crate::log;
use crate::replicas::Heard;
use crate::timeout::within;
use crate::turns::NotOpened;
use crate::turns::TurnNote;
use crate::turns::TurnRefusal;
use crate::turns::Turns;

/// Longest wait of a request until a process that has just started has the reports of
/// keepers.
const LOAD_WAIT: Duration = Duration::from_millis(300);
/// Time between looks whether it has them.
const LOAD_LOOK: Duration = Duration::from_millis(10);
/// Longest wait until a majority of keepers has recorded an end.
const RECORD_WAIT: Duration = Duration::from_millis(300);
/// Time between looks whether all ends are recorded.
const FLUSH_LOOK: Duration = Duration::from_millis(10);
/// Time between tries to record ends that keepers could not record.
const RECORD_AGAIN: Duration = Duration::from_millis(500);
/// Ends that wait to be recorded; more are known to this gateway alone.
const MAX_UNRECORDED: usize = 1_024;
/// Ends from which on a request does not share a server with another one that has as
/// many, so that it cannot take that one's last try.
const RESERVE_FROM: u64 = MAX_ENDS - 1;

/// Why a request may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Too many servers have ended under it.
    Refused,
    /// Runs that are under way may bring it to the bound.
    Busy,
    /// Too few keepers answer to record the run.
    Unavailable,
}

impl Withheld {
    /// Returns its name in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Busy => "busy",
            Self::Unavailable => "unavailable",
        }
    }
}

#[derive(Default)]
pub(crate) struct State {
    suspects: SuspectTable,
    answers: AnswerLog,
    pub(crate) left: LeftRuns,
    /// Servers at which requests were left, and when one was last.
    pub(crate) watched: HashMap<ServerKey, (Time, SentTo)>,
    /// Runs of suspects at each server, with the most ends of one of them.
    running: HashMap<ServerKey, Vec<u64>>,
    /// Servers that are probed soon.
    pub(crate) probing: HashSet<ServerKey>,
    /// Ends that no majority of keepers has recorded yet.
    unrecorded: Vec<(RequestFingerprint, ServerStart)>,
    /// Keepers that have reported all that they have recorded.
    reported: HashSet<Arc<str>>,
}

/// What a gateway knows and does about requests that end servers.
pub struct Quarantine {
    node: String,
    pub(crate) clock: Clock,
    pub(crate) turns: Arc<Turns>,
    state: Mutex<State>,
    loaded: AtomicBool,
    /// Probes by their result.
    pub(crate) probes: IntCounterVec,
}

impl Quarantine {
    /// Creates the part of a gateway that has received nothing yet.
    pub fn new(node: &str, clock: Clock, turns: Arc<Turns>, probes: IntCounterVec) -> Arc<Self> {
        Arc::new(Self {
            node: node.to_owned(),
            clock,
            turns,
            state: Mutex::default(),
            loaded: false.into(),
            probes,
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    pub(crate) fn note(&self, note: LogEvent) {
        log::note(&self.node, &note);
    }

    /// Returns whether a request may be sent; `request` is called only if a server
    /// has ended under any.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn standing(&self, request: impl FnOnce() -> RequestFingerprint) -> Standing {
        let state = self.state();
        if state.suspects.is_empty() {
            return Standing::Clear;
        }
        let request = request();
        let standing = state.suspects.standing(self.clock.now(), request);
        match standing {
            Standing::Suspect(_) if state.answers.is_harmless(request) => Standing::Clear,
            _ => standing,
        }
    }

    /// Permits one run of a request, which is recorded before if servers have ended
    /// under it.
    ///
    /// # Errors
    ///
    /// Returns a [`Withheld`] if it may not be sent now.
    pub async fn clear(
        self: &Arc<Self>,
        request: impl Fn() -> RequestFingerprint,
    ) -> Result<Clearance, Withheld> {
        if !self.wait_loaded().await {
            return Err(Withheld::Unavailable);
        }
        match self.standing(&request) {
            Standing::Clear => Ok(Clearance::unrecorded()),
            Standing::Refused => Err(Withheld::Refused),
            Standing::Suspect(_) => self.record_run(request()).await,
        }
    }

    /// Returns whether a request that got `clearance` may still be sent: servers may
    /// have ended under it while its connection was made.
    pub fn permits(
        &self,
        clearance: &Clearance,
        request: impl FnOnce() -> RequestFingerprint,
    ) -> bool {
        match self.standing(request) {
            Standing::Clear => true,
            Standing::Suspect(_) => clearance.is_recorded(),
            Standing::Refused => false,
        }
    }

    async fn record_run(
        self: &Arc<Self>,
        request: RequestFingerprint,
    ) -> Result<Clearance, Withheld> {
        if !self.record_missing(request).await {
            return Err(Withheld::Unavailable);
        }
        let mut forgiven = self.state().suspects.forgiven(request);
        loop {
            let begin = request_ends::begin_run(request, rand::random());
            match self.open(begin, MAX_ENDS + forgiven).await {
                Ok((run, tally)) => {
                    self.apply_tally(request, tally);
                    return Ok(Clearance::recorded(run, tally.counted()));
                }
                Err(Some(tally)) => {
                    self.apply_tally(request, tally);
                    if tally.forgiven > forgiven {
                        forgiven = tally.forgiven;
                        continue;
                    }
                    return Err(if tally.counted() >= MAX_ENDS {
                        Withheld::Refused
                    } else {
                        Withheld::Busy
                    });
                }
                Err(None) => return Err(Withheld::Unavailable),
            }
        }
    }

    /// Reserves a server for one run.
    ///
    /// # Errors
    ///
    /// Returns a [`Withheld`] if another run has it, or keepers do not answer.
    pub async fn reserve(self: &Arc<Self>, server: ServerStart) -> Result<RecordedRun, Withheld> {
        let begin = request_ends::begin_reservation(server, rand::random());
        match self.open(begin, 1).await {
            Ok((run, _)) => Ok(run),
            Err(Some(_)) => Err(Withheld::Busy),
            Err(None) => Err(Withheld::Unavailable),
        }
    }

    /// Has a majority of keepers put the begin of a run on disk. If the budget does
    /// not hold it, returns what they have recorded. A caller that leaves meanwhile
    /// leaves no run open.
    async fn open(
        self: &Arc<Self>,
        begin: Begin,
        budget: u64,
    ) -> Result<(RecordedRun, EndTally), Option<EndTally>> {
        let (done, opened) = async_channel::bounded(1);
        let this = self.clone();
        smol::spawn(async move {
            let opened = this.open_now(begin, budget).await;
            // Unless it is received, the run is dropped, which ends it.
            drop(done.try_send(opened));
        })
        .detach();
        opened.recv().await.unwrap_or(Err(None))
    }

    async fn open_now(
        &self,
        begin: Begin,
        budget: u64,
    ) -> Result<(RecordedRun, EndTally), Option<EndTally>> {
        let limit = self.clock.now() + RECORD_WAIT;
        let note = plain_note(begin);
        let spent = |not_opened: NotOpened| match not_opened.refusal {
            TurnRefusal::Spent => Some(EndTally::of(&not_opened.usage)),
            _ => None,
        };
        // Runs that may not start leave no record, however often they are tried.
        let query = self.turns.query(&note, budget, limit).await;
        query.map_err(spent)?;
        let opened = self.turns.record(note, Some(budget), limit).await;
        let mut open = opened.map_err(spent)?;
        let tally = EndTally::of(&open.usage());
        let durable = open.durable().await;
        let run = RecordedRun::new(open);
        match durable {
            Ok(()) => Ok((run, tally)),
            Err(_) => Err(None),
        }
    }

    fn apply_tally(&self, request: RequestFingerprint, tally: EndTally) {
        if tally.ended > 0 {
            // Its age is not known here; a keeper's notice tells it.
            let known = self.state().suspects.ended(request);
            if tally.ended > known {
                self.apply(&EndNotice {
                    request,
                    ended: tally.ended,
                    forgiven: tally.forgiven,
                    age_ms: 0,
                });
            }
        }
    }

    fn apply(&self, notice: &EndNotice) {
        self.state().suspects.apply(self.clock.now(), notice);
    }

    pub(crate) async fn record_end(
        self: &Arc<Self>,
        server: ServerStart,
        request: RequestFingerprint,
        run: Option<RecordedRun>,
    ) {
        if run.is_none() && self.state().answers.outweigh(request) {
            return;
        }
        let now = self.clock.now();
        let standing = {
            let mut state = self.state();
            state.suspects.record_end(now, request, server);
            state.suspects.standing(now, request)
        };
        let ends = match standing {
            Standing::Clear => 0,
            Standing::Suspect(ends) => ends,
            Standing::Refused => MAX_ENDS,
        };
        self.note(
            LogEvent::new("server_ended")
                .with("server_start", format!("{:016x}", server.0))
                .with("request", request)
                .with("ends", ends)
                .with("refused", standing == Standing::Refused),
        );
        if run.is_none() {
            let unrecorded = &mut self.state().unrecorded;
            if unrecorded.len() < MAX_UNRECORDED && !unrecorded.contains(&(request, server)) {
                unrecorded.push((request, server));
            }
        }
        let this = self.clone();
        // It goes on when the caller leaves.
        let (done, wait) = async_channel::bounded(1);
        smol::spawn(async move {
            let recorded = match run {
                Some(run) => run.end(true).await,
                None => this.record(request, server).await,
            };
            let _ = done.try_send(recorded);
        })
        .detach();
        let recorded = within(RECORD_WAIT, wait.recv()).await;
        if !matches!(recorded, Some(Ok(true))) {
            let note = LogEvent::new("server_end_unrecorded").with("request", request);
            self.note(note.with("remedy", "none: it is refused here until keepers answer"));
        }
    }

    /// Has a majority of keepers record that a server ended under a run that was not
    /// recorded. Returns whether they have.
    async fn record(&self, request: RequestFingerprint, server: ServerStart) -> bool {
        let (begin, finish) = request_ends::record_end(request, server);
        let (note, nobody) = (plain_note(begin), HashSet::new());
        let recorded = self.turns.finish(&note, finish, None, &nobody).await;
        if recorded {
            let unrecorded = &mut self.state().unrecorded;
            unrecorded.retain(|&one| one != (request, server));
        }
        recorded
    }

    /// Records the ends of a request that keepers could not record before. Returns
    /// whether none is left.
    async fn record_missing(&self, request: RequestFingerprint) -> bool {
        let missing: Vec<_> = {
            let state = self.state();
            let missing = state.unrecorded.iter().filter(|(one, _)| *one == request);
            missing.copied().collect()
        };
        for (request, server) in missing {
            let recorded = within(RECORD_WAIT, self.record(request, server)).await;
            if recorded != Some(true) {
                return false;
            }
        }
        true
    }

    /// Records the ends that keepers could not record before, for as long as the
    /// process runs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn record_late(self: Arc<Self>) {
        loop {
            smol::Timer::after(RECORD_AGAIN).await;
            let missing = self.state().unrecorded.clone();
            for (request, server) in missing {
                if !self.record(request, server).await {
                    break;
                }
            }
        }
    }

    /// Counts a complete answer.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn answered(&self, request: RequestFingerprint) {
        self.state().answers.record(request);
    }

    /// Notes that a run of a suspect is at a server, until the returned guard is
    /// dropped.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn enter(self: &Arc<Self>, key: ServerKey, clearance: &Clearance) -> Option<SuspectRun> {
        if !clearance.is_recorded() {
            return None;
        }
        let ends = clearance.ends();
        self.state().running.entry(key).or_default().push(ends);
        Some(SuspectRun {
            quarantine: self.clone(),
            key,
            ends,
        })
    }

    /// Returns the servers that a request avoids while there are others: those with
    /// a suspect, or for a request that is none, with one that is likely to end them.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn avoided(&self, clearance: &Clearance) -> Vec<ServerKey> {
        let state = self.state();
        let least = if clearance.is_recorded() {
            0
        } else {
            RESERVE_FROM
        };
        let running = state.running.iter();
        let avoided = running.filter(|(_, runs)| runs.iter().any(|&ends| ends >= least));
        avoided.map(|(&key, _)| key).collect()
    }

    /// Returns whether the server of a run has to be reserved.
    pub fn goes_alone(clearance: &Clearance) -> bool {
        clearance.is_recorded() && clearance.ends() >= RESERVE_FROM
    }

    /// Waits until all ends are recorded, but not for long: a process that stops may be
    /// the only one to know them.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn flush(&self) {
        let recorded = async {
            while !self.state().unrecorded.is_empty() {
                smol::Timer::after(FLUSH_LOOK).await;
            }
        };
        within(RECORD_WAIT, recorded).await;
    }

    /// Applies what keepers report, for as long as the process runs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn follow(self: Arc<Self>, notices: async_channel::Receiver<Heard>) {
        while let Ok(heard) = notices.recv().await {
            let Some(KeeperReply::Ends(ends)) = heard.reply else {
                continue;
            };
            ends.iter().for_each(|notice| self.apply(notice));
            self.state().reported.insert(heard.node);
        }
    }

    /// Returns whether enough keepers have reported what they have recorded, so that
    /// a process that starts does not send what others refuse.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn is_loaded(&self) -> bool {
        if !self.loaded.load(Ordering::Relaxed) {
            let reported = self.state().reported.clone();
            let loaded = self.turns.has_reports(&reported);
            self.loaded.store(loaded, Ordering::Relaxed);
        }
        self.loaded.load(Ordering::Relaxed)
    }

    /// Waits until enough keepers have reported what they have recorded, but not for
    /// long. Returns whether they have.
    async fn wait_loaded(&self) -> bool {
        if self.is_loaded() {
            return true;
        }
        let loaded = async {
            while !self.is_loaded() {
                smol::Timer::after(LOAD_LOOK).await;
            }
        };
        within(LOAD_WAIT, loaded).await.is_some()
    }

    /// Removes what no longer counts.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.suspects.expire(now);
        state.left.expire(now);
        state
            .watched
            .retain(|_, (since, _)| now.since(*since) < WATCH_TIME);
    }

    /// Returns the requests under which servers ended, those with the most first.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn views(&self) -> Vec<SuspectView> {
        self.state().suspects.views(self.clock.now())
    }

    /// Has the ends of a request count no longer, at all gateways. Returns whether a
    /// majority of keepers has recorded that.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn forgive(&self, request: RequestFingerprint) -> bool {
        let ended = self.state().suspects.ended(request);
        let (begin, finish) = request_ends::forgive(request, ended);
        let note = plain_note(begin);
        let nobody = HashSet::new();
        let recorded = self.turns.finish(&note, finish, None, &nobody).await;
        if recorded {
            self.apply(&EndNotice {
                request,
                ended,
                forgiven: ended,
                age_ms: 0,
            });
        }
        self.note(
            LogEvent::new("request_released")
                .with("request", request)
                .with("ends", ended)
                .with("recorded", recorded),
        );
        recorded
    }
}

/// A run of a suspect at a server, until it is dropped.
pub struct SuspectRun {
    quarantine: Arc<Quarantine>,
    key: ServerKey,
    ends: u64,
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        let mut state = self.quarantine.state();
        if let Some(runs) = state.running.get_mut(&self.key) {
            if let Some(at) = runs.iter().position(|&ends| ends == self.ends) {
                runs.swap_remove(at);
            }
            if runs.is_empty() {
                state.running.remove(&self.key);
            }
        }
    }
}

fn plain_note(begin: Begin) -> TurnNote {
    TurnNote {
        begin,
        origin: None,
        continuation: Continuation::None,
    }
}
