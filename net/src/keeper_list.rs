//! A keeper's part in the list of keepers: it joins, catches up, and leaves
//! when the operator asks for it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::completeness;
use limpetferry_lib::completeness::Copies;
use limpetferry_lib::completeness::Removal;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_budget::RecordClass;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::ledger::ProgramDigest;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::ledger::with_origins;
use limpetferry_lib::membership::ListRequest;
use limpetferry_lib::membership::MemberState;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::time::Time;
use limpetferry_platform::document;
use limpetferry_platform::document::RetireState;
use limpetferry_platform::store::ReplyError;

use crate::disk::Job;
use crate::disk::Listener;
use crate::gateway_settings::KeeperSettings;
use crate::keeper_node::Keeper;
use crate::platform_store::PlatformError;
use crate::platform_store::PlatformStore;
use crate::replicas::Replicas;
use crate::site::KEEPERS_KEY;
use crate::timeout::within;

/// First wait after a failed call to the store; doubled for each one in a row.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest such wait.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Time between looks at what is left to do.
const STEP_EVERY: Duration = Duration::from_millis(100);
/// Wait for one answer of a keeper that is copied from.
const PULL_WAIT: Duration = Duration::from_millis(1_000);
/// How long a keeper is silent before another one takes it off the list, if
/// enough are left without it: a new VM counts as in its place some five
/// seconds after it came, and a process that was killed is back sooner.
const REPLACE_AFTER: Duration = Duration::from_millis(3_000);
/// How long one of two keepers is silent before the other one goes on without it,
/// since no turn could be kept else: longer than a process takes to start again, so
/// that it need not copy.
const LOST_AFTER: Duration = Duration::from_millis(800);
/// How long a keeper is silent before it counts as not heard of: a link that
/// broke is dialled anew within it.
const UNHEARD_AFTER: Duration = Duration::from_millis(500);
/// How long too many keepers are silent before those that follow this one are
/// sent to another: the links' own pings have taken a second by then, and what
/// is accepted has to be in force everywhere in two.
const CUT_OFF_AFTER: Duration = Duration::from_millis(100);
/// How long a keeper waits for another one to make a change of the list for it:
/// several of its looks, calls to the store and news of them.
const WRITER_WAIT: Duration = Duration::from_millis(1_000);
/// How long requests are gathered before they are written together: each write is
/// a call, and wakes all that watch. Keepers copy for some two seconds.
const REQUEST_GATHER: Duration = Duration::from_millis(300);
/// An id behind those of all programs, so that an answer has no digests.
const AFTER_ALL_PROGRAMS: &str = "\u{10FFFF}";
/// Programs asked for at once.
const FETCH: usize = 256;

/// Follows the list of keepers for one of them.
pub struct KeeperList {
    keeper: Arc<Keeper>,
    replicas: Arc<Replicas>,
    store: SocketAddr,
    address: SocketAddr,
    faults: usize,
    /// Keepers from which all was copied, and since which list programs had not
    /// moved then.
    copied: Mutex<HashSet<(u64, Arc<str>)>>,
    /// What another keeper was last asked to write into the list, and when.
    requested: Mutex<Option<(ListRequest, Time)>>,
    /// Whether the list was renewed since this keeper lost its disk.
    renewed: AtomicBool,
    /// What the operator was last told of the emptying.
    reported: Mutex<Option<RetireState>>,
    /// How far the removal had come when it was last logged.
    removal: Mutex<Option<Removal>>,
    /// When the process started.
    started: Time,
}

impl KeeperList {
    /// Makes the part of `keeper`.
    pub fn new(
        keeper: Arc<Keeper>,
        replicas: Arc<Replicas>,
        settings: &KeeperSettings,
    ) -> Arc<Self> {
        Arc::new(Self {
            started: keeper.clock.now(),
            keeper,
            replicas,
            store: settings.common.store,
            address: settings.common.reachable(),
            faults: settings.common.faults,
            copied: Mutex::default(),
            requested: Mutex::default(),
            renewed: false.into(),
            reported: Mutex::default(),
            removal: Mutex::default(),
        })
    }

    /// Follows the store, and does what the list asks of this keeper, for as
    /// long as the process runs.
    pub async fn follow(self: Arc<Self>) {
        let mut store = PlatformStore::new(self.store);
        let mut wait = FIRST_WAIT;
        loop {
            match self.step(&mut store).await {
                Ok(()) => {
                    wait = FIRST_WAIT;
                    smol::Timer::after(STEP_EVERY).await;
                }
                Err(error) => {
                    self.keeper
                        .note(LogEvent::new("list_write_failed").with("why", error));
                    let jitter = rand::random_range(0.5..1.5);
                    smol::Timer::after(wait.mul_f64(jitter)).await;
                    wait = (wait * 2).min(LONGEST_WAIT);
                }
            }
        }
    }

    /// Does the next thing that is to be done.
    async fn step(&self, store: &mut PlatformStore) -> Result<(), PlatformError> {
        let (membership, retiring) = {
            let known = self.keeper.site.known();
            let retiring = known.retiring.contains(&self.keeper.node);
            (known.keepers.clone(), retiring)
        };
        let whole = self.keeper.state().whole;
        self.replicas.dial(&membership);
        let unheard = self.replicas.silent_for(CUT_OFF_AFTER);
        let cut_off = membership.is_isolated(&unheard, self.faults);
        self.keeper.set_cut_off(cut_off);
        if !retiring {
            self.forget_removal();
        } else if self.retire(store, &membership).await? {
            return Ok(());
        }
        let requests = self.keeper.requests(REQUEST_GATHER, WRITER_WAIT);
        self.swap(store, |list| list.with_requests(&requests, self.faults))
            .await?;
        let node = self.keeper.node.as_str();
        let request = ListRequest::Join {
            node: node.into(),
            address: self.address,
        };
        self.keeper.set_listed(&membership);
        let Some(at) = membership.place(node).filter(|_| {
            let request = std::slice::from_ref(&request);
            membership.with_requests(request, self.faults).is_none()
        }) else {
            return self.request(store, &membership, request).await;
        };
        let own = &membership.keepers[at];
        if own.standing == MemberState::Leaving {
            return self.stay_if_needed(store).await;
        }
        if whole && own.ready {
            return self.replace_silent(store, &membership).await;
        }
        // A keeper that joins has stored no program by this list until it is ready.
        let lost_data = !whole && (own.standing == MemberState::Member || own.ready);
        if lost_data && !self.renewed.swap(true, Ordering::Relaxed) {
            let result = self.renew(store).await;
            self.renewed
                .store(matches!(result, Ok(true)), Ordering::Relaxed);
            return result.map(|_| ());
        }
        let copies = Copies {
            list: &membership,
            node,
            lost_data,
            faults: self.faults,
        };
        if self.catch_up(&copies).await || copies.is_alone_without_data() && self.has_outlived() {
            self.set_whole().await;
            let node = node.into();
            let moved = membership.moved;
            let request = ListRequest::Ready { node, moved };
            return self.request(store, &membership, request).await;
        }
        self.replace_silent(store, &membership).await
    }

    /// Returns the keeper that writes the list for all that this one hears of:
    /// of many that write, one at a time succeeds, and each try is a call.
    fn writer<'a>(&self, membership: &'a Membership) -> Option<&'a str> {
        let watchers = membership.watchers(self.faults);
        let mut nodes = watchers.into_iter().map(|keeper| &*keeper.node);
        nodes.find(|node| self.is_own(node) || self.replicas.is_linked(node))
    }

    fn is_own(&self, node: &str) -> bool {
        *node == *self.keeper.node
    }

    /// Has a change of the list made: by the keeper that writes it for all, or by
    /// this one if that one has not done so for a while.
    async fn request(
        &self,
        store: &mut PlatformStore,
        membership: &Membership,
        request: ListRequest,
    ) -> Result<(), PlatformError> {
        let requests = std::slice::from_ref(&request);
        if membership.with_requests(requests, self.faults).is_none() {
            return Ok(());
        }
        let writer = self.writer(membership);
        if writer.is_some_and(|writer| !self.is_own(writer) && self.ask_writer(writer, &request)) {
            return Ok(());
        }
        self.swap(store, |list| list.with_requests(requests, self.faults))
            .await?;
        Ok(())
    }

    /// Asks the keeper that writes the list; returns whether it is still to be
    /// waited for.
    fn ask_writer(&self, writer: &str, request: &ListRequest) -> bool {
        let now = self.keeper.clock.now();
        let mut requested = self.requested.lock().expect("no panic while locked");
        if let Some((last, since)) = &*requested
            && last == request
        {
            return now.since(*since) < WRITER_WAIT;
        }
        // The list shows what came of it.
        let (sender, _) = async_channel::unbounded();
        let asked = self
            .replicas
            .ask(writer, KeeperRequest::List(request.clone()), &sender);
        *requested = asked.then(|| (request.clone(), now));
        asked
    }

    /// Copies what the other keepers have and this one has to hold. What was
    /// copied from a keeper in this life of the process, by this list or one
    /// since which no programs have moved, is not copied again: what came since
    /// came here too. A change of 24 keepers takes one round of copies so, and
    /// not one for each keeper that is done.
    async fn catch_up(&self, copies: &Copies<'_>) -> bool {
        let membership = copies.list;
        let has = |other: &Arc<str>| {
            let copied = self.copied.lock().expect("no panic while locked");
            copied.contains(&(membership.moved, other.clone()))
        };
        let others = copies.sources().filter(|other| !has(&other.node));
        for other in others {
            let other = &other.node;
            let start = self.keeper.clock.now();
            let Some(records) = self.copy(other, membership).await else {
                continue;
            };
            let note = LogEvent::new("copied")
                .with("keeper", other)
                .with("epoch", membership.epoch)
                .with("records", records)
                .with("lost_disk", copies.lost_data)
                .with("millis", self.keeper.clock.now().since(start).as_millis());
            self.keeper.note(note);
            let mut all = self.copied.lock().expect("no panic while locked");
            all.retain(|(moved, _)| *moved == membership.moved);
            all.insert((membership.moved, other.clone()));
        }
        copies.are_enough(|other| has(&other.node))
    }

    /// Returns whether all turns that it may have stored before its process started
    /// have expired, and those that later ones continue from.
    fn has_outlived(&self) -> bool {
        let known = self.keeper.site.known();
        let (now, routing) = (self.keeper.clock.now(), known.routing.as_deref());
        let outlived = completeness::has_outlived(now, self.started, routing);
        drop(known);
        outlived && !self.keeper.state().ledger.lacks_previous()
    }

    /// Copies from one keeper the programs of which it has something that this
    /// one lacks, and returns the number of records; `None` if it does not
    /// answer or may itself lack something.
    async fn copy(&self, other: &str, membership: &Membership) -> Option<usize> {
        let mut after: Option<Arc<str>> = None;
        let mut count = 0;
        loop {
            let question = KeeperRequest::Digests {
                after: after.clone(),
                membership: membership.clone(),
            };
            let Some(KeeperReply::Digests {
                whole: true,
                programs,
                more,
            }) = self.ask(other, question).await
            else {
                return None;
            };
            after = programs.last().map(|last| last.program.clone());
            let wanted = self.lacking(programs, membership);
            count += self.fetch(other, &wanted).await?;
            if !more {
                return Some(count);
            }
        }
    }

    fn lacking(&self, theirs: Vec<ProgramDigest>, membership: &Membership) -> Vec<Arc<str>> {
        let state = self.keeper.state();
        let own = |program: &str| {
            let replicas = membership.replicas(program, self.faults);
            let mut places = replicas.keepers.iter();
            places.any(|&at| *membership.keepers[at].node == *self.keeper.node)
        };
        let wanted = theirs.into_iter().filter(|their| {
            own(&their.program) && state.ledger.digest(&their.program) != their.digest
        });
        wanted.map(|their| their.program).collect()
    }

    async fn fetch(&self, other: &str, mut programs: &[Arc<str>]) -> Option<usize> {
        let mut count = 0;
        let mut after = None;
        while !programs.is_empty() {
            let first = &programs[..programs.len().min(FETCH)];
            let question = KeeperRequest::Records {
                programs: first.to_vec(),
                after: after.take(),
                partial: true,
            };
            let Some(KeeperReply::Records {
                records,
                programs: done,
                origins,
                last,
            }) = self.ask(other, question).await
            else {
                return None;
            };
            if done == 0 && last.is_none() {
                return None;
            }
            count += records.len();
            self.store_copies(with_origins(records, origins)).await?;
            programs = programs.get(done..).unwrap_or(&[]);
            after = last;
        }
        Some(count)
    }

    /// Stores copies and waits until they are on disk, so that one page at a time is in
    /// memory; `None` if there is no room for them.
    async fn store_copies(&self, records: Vec<StoredRecord>) -> Option<()> {
        if self.keeper.shortage(RecordClass::Stored).is_some() {
            return None;
        }
        let (sender, synced) = async_channel::bounded(1);
        let listener = Listener::Task(sender);
        self.keeper.keep(records, Some(listener));
        synced.recv().await.ok()
    }

    async fn ask(&self, other: &str, question: KeeperRequest) -> Option<KeeperReply> {
        let (sender, heard) = async_channel::unbounded();
        if !self.replicas.ask(other, question, &sender) {
            return None;
        }
        let heard = within(PULL_WAIT, heard.recv()).await?.ok()?;
        if let Some(KeeperReply::Stale(membership)) = heard.reply {
            self.keeper.site.take_keepers(membership, 0);
            return None;
        }
        heard.reply
    }

    /// Waits until all records so far are on disk, and notes there that nothing is
    /// missing.
    async fn set_whole(&self) {
        let (sender, done) = async_channel::bounded(1);
        self.keeper.disk.send(Job::SetWhole(sender));
        if done.recv().await.is_ok() && !std::mem::replace(&mut self.keeper.state().whole, true) {
            self.keeper.note(LogEvent::new("whole"));
        }
    }

    /// Takes a keeper off the list that was silent for long, if enough are
    /// left without it, or if the others cannot keep turns with it.
    async fn replace_silent(
        &self,
        store: &mut PlatformStore,
        membership: &Membership,
    ) -> Result<(), PlatformError> {
        let is_writer = self
            .writer(membership)
            .is_some_and(|node| self.is_own(node));
        let replace_after = if is_writer {
            REPLACE_AFTER
        } else {
            REPLACE_AFTER * 2
        };
        let silent = self.replicas.silent_for(replace_after);
        let unheard = self.replicas.silent_for(UNHEARD_AFTER);
        let lost = self.replicas.silent_for(LOST_AFTER);
        let without_lost = |list: &Membership| list.without_unreachable(&lost, self.faults);
        if without_lost(membership).is_some() && self.keeper.state().whole {
            self.keeper
                .note(LogEvent::new("keepers_lost").with("keepers", lost.join(",")));
            self.swap(store, without_lost).await?;
            return Ok(());
        }
        let Some(gone) = membership.keeper_to_replace(&silent, &unheard, self.faults) else {
            return Ok(());
        };
        self.keeper
            .note(LogEvent::new("keeper_replaced").with("keeper", &gone.node));
        self.swap(store, |list| {
            let gone = list.keeper_to_replace(&silent, &unheard, self.faults)?;
            list.leave(&gone.node)
        })
        .await?;
        Ok(())
    }

    /// Does the next thing towards the removal of this keeper, and reports how far it
    /// has come. Returns whether it does nothing else now: otherwise it goes on as a
    /// member.
    async fn retire(
        &self,
        store: &mut PlatformStore,
        membership: &Membership,
    ) -> Result<bool, PlatformError> {
        if self.reported() == Some(RetireState::Complete) {
            return Ok(true);
        }
        let node = self.keeper.node.as_str();
        let whole = self.whole_keepers(membership).await;
        let removal = completeness::removal(membership, node, &whole, self.faults);
        self.note_removal(&removal);
        if removal == Removal::MayLeave {
            self.swap(store, |list| {
                completeness::without_emptied(list, node, &whole, self.faults)
            })
            .await?;
        }
        if removal == Removal::Copying {
            self.stay_if_needed(store).await?;
        }
        let state = match removal {
            Removal::Complete => RetireState::Complete,
            _ => RetireState::Running,
        };
        self.report_retire(store, state).await?;
        Ok(!matches!(removal, Removal::TooFewOthers { .. }))
    }

    /// Becomes a member again if others are lost before the change of the list is
    /// completed, so that too few would store turns.
    async fn stay_if_needed(&self, store: &mut PlatformStore) -> Result<(), PlatformError> {
        let node = self.keeper.node.as_str();
        let lost = self.replicas.silent_for(LOST_AFTER);
        let stayed = self
            .swap(store, |list| list.with_needed(node, &lost, self.faults))
            .await?;
        if stayed {
            self.keeper
                .note(LogEvent::new("stays").with("unreachable", lost.join(",")));
        }
        Ok(())
    }

    /// Returns the listed keepers that answer that they lack nothing. One that knows a
    /// later list answers with it instead.
    async fn whole_keepers(&self, membership: &Membership) -> HashSet<Arc<str>> {
        let (sender, answers) = async_channel::unbounded();
        for keeper in &membership.keepers {
            let question = KeeperRequest::Digests {
                after: Some(AFTER_ALL_PROGRAMS.into()),
                membership: membership.clone(),
            };
            self.replicas.ask(&keeper.node, question, &sender);
        }
        drop(sender);
        let mut whole = HashSet::new();
        let collect = async {
            while let Ok(heard) = answers.recv().await {
                match heard.reply {
                    Some(KeeperReply::Digests { whole: true, .. }) => {
                        whole.insert(heard.node);
                    }
                    Some(KeeperReply::Stale(later)) => {
                        self.keeper.site.take_keepers(later, 0);
                    }
                    _ => {}
                }
            }
        };
        within(PULL_WAIT, collect).await;
        whole
    }

    /// Logs how far the removal has come, once for each state, and sets the metric.
    fn note_removal(&self, removal: &Removal) {
        let mut noted = self.removal.lock().expect("no panic while locked");
        if noted.as_ref() == Some(removal) {
            return;
        }
        let blocked = matches!(removal, Removal::TooFewOthers { .. });
        self.keeper.meters.removal_blocked.set(blocked.into());
        let note = LogEvent::new("removal").with("state", removal.label());
        self.keeper.note(match removal {
            Removal::TooFewOthers { others, needed } => {
                note.with("others", others).with("needed", needed).with(
                    "remedy",
                    "add a keeper first; this one stays a member until then",
                )
            }
            Removal::Unconfirmed(keepers) => note.with("keepers", keepers.join(",")),
            _ => note,
        });
        *noted = Some(removal.clone());
    }

    /// Forgets a removal that the operator does not ask for any more.
    fn forget_removal(&self) {
        let noted = self.removal.lock().expect("no panic while locked").take();
        if noted.is_some() {
            self.keeper.meters.removal_blocked.set(0);
            *self.reported.lock().expect("no panic while locked") = None;
        }
    }

    fn reported(&self) -> Option<RetireState> {
        *self.reported.lock().expect("no panic while locked")
    }

    /// Writes how far the emptying has come, once for each state.
    async fn report_retire(
        &self,
        store: &mut PlatformStore,
        state: RetireState,
    ) -> Result<(), PlatformError> {
        if self.reported() == Some(state) {
            return Ok(());
        }
        let key = format!("{}{}", document::RETIRE_STATUS_PREFIX, self.keeper.node);
        let page = store.list(&key).await?;
        let value = document::encode_retire(state);
        let own = page.items.iter().find(|item| item.key == key);
        if own.is_none_or(|item| item.value.as_deref() != Some(&value[..])) {
            let revision = own.map_or(0, |item| item.revision);
            store.swap(&key, revision, &value).await?;
        }
        *self.reported.lock().expect("no panic while locked") = Some(state);
        self.keeper
            .note(LogEvent::new("retire_reported").with("state", format!("{state:?}")));
        Ok(())
    }

    /// Puts the list under a new epoch before a keeper that lost its disk
    /// copies anything. Returns whether that was done.
    async fn renew(&self, store: &mut PlatformStore) -> Result<bool, PlatformError> {
        let done = self
            .swap(store, |list| Some(list.with_lost_disk(&self.keeper.node)))
            .await?;
        if done {
            let epoch = self.keeper.site.known().keepers.epoch;
            self.keeper
                .note(LogEvent::new("list_renewed").with("epoch", epoch));
        }
        Ok(done)
    }

    /// Writes what `change` makes of the list, if that is another one; returns
    /// whether it was written. A conflict only means that the watch brings
    /// another list first.
    ///
    /// The change is made of the list that is known now, with its revision: one
    /// made of a list from before a wait would undo what others wrote since.
    async fn swap(
        &self,
        store: &mut PlatformStore,
        change: impl Fn(&Membership) -> Option<Membership>,
    ) -> Result<bool, PlatformError> {
        let (next, expected) = {
            let known = self.keeper.site.known();
            let next = change(&known.keepers);
            // What other keepers told may be old.
            (next.filter(|_| known.read), known.keepers_revision)
        };
        let Some(next) = next else {
            return Ok(false);
        };
        let value = serde_json::to_vec(&next).unwrap_or_default();
        match store.swap(KEEPERS_KEY, expected, &value).await {
            Ok(revision) => {
                self.keeper.site.take_keepers(next, revision);
                Ok(true)
            }
            Err(PlatformError::Reply(ReplyError::Conflict)) => {
                // The watch brings what was written instead.
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}
