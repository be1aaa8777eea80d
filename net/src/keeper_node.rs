//! A keeper: holds the turns of programs on its disk, and answers for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future;
use limpetferry_lib::allowance::ProcessStart;
use limpetferry_lib::allowance::UsageReport;
use limpetferry_lib::allowance_counter::AllowanceCounter;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::keeper_budget::KeeperBudget;
use limpetferry_lib::keeper_budget::RecordClass;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::keeper_protocol::RequestId;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::load_map::LoadMap;
use limpetferry_lib::load_report::LoadReport;
use limpetferry_lib::membership::ListRequest;
use limpetferry_lib::membership::MemberState;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::request_ends::EndNotice;
use limpetferry_lib::reservations::Reservations;
use limpetferry_lib::text_cache::TextCache;
use limpetferry_lib::time::Time;
use smol::net::TcpListener;

use crate::addresses::Listeners;
use crate::addresses::Need;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::disk::Job;
use crate::disk::Listener;
use crate::essential::Essential;
use crate::follow::Follower;
use crate::follow::HOLD;
use crate::gateway_settings::DEFAULT_MEMORY_MB;
use crate::gateway_settings::KeeperSettings;
use crate::http;
use crate::http::Bounds;
use crate::keeper_list::KeeperList;
use crate::keeper_reads::Reads;
use crate::keeper_reads::ReservedFor;
use crate::keeper_room::Room;
use crate::keeper_state::SharedState;
use crate::keeper_state::State;
use crate::log;
use crate::meters::KeeperMeters;
use crate::metrics;
use crate::peer;
use crate::peer::Hello;
use crate::platform_store::PlatformStore;
use crate::reload::Live;
use crate::removals::Removals;
use crate::replicas::Replicas;
use crate::replies::ReplyBudget;
use crate::replies::ReplySender;
use crate::segments::Segments;
use crate::site::Site;
use crate::site_file;
use crate::start::identify;
use crate::strangers::Strangers;
use crate::timeout::within;

/// Time between looks whether the list of keepers has changed. It goes to disk
/// at once: whoever starts while the store is away has to go by it.
const LIST_EVERY: Duration = Duration::from_millis(50);
/// Looks after which all else that is known from the platform's store goes to
/// disk, if it has changed: half a second, as newer things come from the store
/// itself once it is back.
const SITE_LOOKS: u32 = 10;
/// Digests in one answer: some 60 kB.
const MAX_DIGESTS: usize = 2_048;
/// Requests that ended servers in one message.
const MAX_ENDS_REPORTED: usize = 1_024;
/// Wait before a listener that failed is asked again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Questions of one link that wait while another one is answered.
const MAX_QUESTIONS: usize = 16;

/// One keeper.
pub struct Keeper {
    /// Its name.
    pub node: String,
    /// Its clock.
    pub clock: Clock,
    /// Its disk.
    pub disk: Disk,
    /// What it knows from the platform's store.
    pub site: Arc<Site>,
    pub(crate) meters: KeeperMeters,
    /// What it uses of its memory and its disk.
    pub(crate) room: Room,
    /// The thread that reads the disk.
    pub(crate) reads: Reads,
    state: SharedState,
    /// Whether it hears of too few other keepers.
    cut_off: AtomicBool,
    /// Changes of the list that others asked it to make, and when.
    requests: Mutex<Vec<(Time, ListRequest)>>,
    /// What the workspaces of which it is in charge have sent.
    allowances: Mutex<AllowanceCounter>,
    /// What gateways reported of load.
    loads: Mutex<LoadMap>,
    /// Gateways that want to know of requests that ended servers.
    watchers: Mutex<Vec<(ReplySender, RequestId)>>,
}

/// A process that asks a keeper.
pub(crate) struct Asker {
    process: ProcessStart,
    /// Whether it understands that the keeper has no room.
    pub(crate) understands_full: bool,
}

impl Keeper {
    /// Returns what is known, locked.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Writes an event as one line.
    pub fn note(&self, note: LogEvent) {
        log::note(&self.node, &note);
    }

    /// Takes records, and has those that are new put on disk; `tell` hears of
    /// it when all of them are there.
    pub fn keep(&self, records: Vec<StoredRecord>, tell: Option<Listener>) {
        let now = self.clock.now();
        let mut state = self.state();
        let mut fresh = Vec::new();
        let mut ends = Vec::new();
        for record in records {
            let (program, turn) = (record.record.program(), record.record.turn());
            state.reservations.remove(program, turn);
            if state.ledger.apply_stored(now, record.clone()) {
                if let Record::Finish(finish) = &record.record {
                    ends.extend(state.ledger.end_notice(now, &finish.program));
                }
                fresh.push(record);
            }
        }
        drop(state);
        // Gateways receive it before the acknowledgement: whoever gets an answer after
        // it is refused by all of them.
        self.report_ends(&ends);
        self.disk.send(Job::Keep {
            records: fresh,
            tell,
        });
    }

    /// Returns the changes of the list that others asked for, once one of them
    /// has waited for `least`. Those that waited for `longest` make them
    /// themselves.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn requests(&self, least: Duration, longest: Duration) -> Vec<ListRequest> {
        let now = self.clock.now();
        let mut requests = self.requests.lock().expect("no panic while locked");
        requests.retain(|(since, _)| now.since(*since) < longest);
        if requests
            .first()
            .is_none_or(|(since, _)| now.since(*since) < least)
        {
            return Vec::new();
        }
        requests
            .iter()
            .map(|(_, request)| request.clone())
            .collect()
    }

    fn take_request(&self, request: ListRequest) {
        let mut requests = self.requests.lock().expect("no panic while locked");
        requests.push((self.clock.now(), request));
    }

    /// Reports requests that ended servers to those that watch them.
    fn report_ends(&self, ends: &[EndNotice]) {
        if ends.is_empty() {
            return;
        }
        let mut watchers = self.watchers.lock().expect("no panic while locked");
        watchers.retain(|(sender, ticket)| sender.send(*ticket, KeeperReply::Ends(ends.to_vec())));
    }

    /// Reports all requests that ended servers, and each change from then on.
    fn watch_ends(&self, ticket: RequestId, sender: &ReplySender) {
        let mut watchers = self.watchers.lock().expect("no panic while locked");
        let ends = self.state().ledger.end_notices(self.clock.now());
        let mut parts = ends.chunks(MAX_ENDS_REPORTED);
        loop {
            let part = parts.next().unwrap_or_default();
            sender.send(ticket, KeeperReply::Ends(part.to_vec()));
            if parts.len() == 0 {
                break;
            }
        }
        watchers.push((sender.clone(), ticket));
    }

    fn count(&self, asker: &ProcessStart, uses: &[UsageReport]) -> KeeperReply {
        let now = self.clock.now();
        let mut book = self.allowances.lock().expect("no panic while locked");
        let replies = uses.iter().map(|told| book.apply_report(now, asker, told));
        KeeperReply::Spent(replies.collect())
    }

    fn take_load(&self, asker: &ProcessStart, report: &LoadReport) -> KeeperReply {
        let now = self.clock.now();
        let known = self.site.known();
        let mut loads = self.loads.lock().expect("no panic while locked");
        KeeperReply::Loads(loads.apply_report(now, asker, report, &known.fleet))
    }

    /// Answers a question.
    fn answer(
        self: &Arc<Self>,
        asker: &Asker,
        ticket: RequestId,
        question: KeeperRequest,
        sender: &ReplySender,
    ) {
        self.meters
            .questions
            .with_label_values(&[question.label()])
            .inc();
        let reply = match question {
            KeeperRequest::Note { epoch, .. }
            | KeeperRequest::End { epoch, .. }
            | KeeperRequest::Reserve { epoch, .. }
                if self.is_stale(epoch) =>
            {
                KeeperReply::Stale(Membership::clone(&self.site.known().keepers))
            }
            KeeperRequest::Digests { ref membership, .. } if self.is_stale(membership.epoch) => {
                KeeperReply::Stale(Membership::clone(&self.site.known().keepers))
            }
            KeeperRequest::Note {
                begin,
                chain,
                origin,
                continuation,
                ..
            } => match self.shortage(self.class(&begin)) {
                Some(shortage) => self.refuse(shortage, asker),
                None => {
                    let answer = self.noted(&begin, chain, &continuation);
                    let record = Record::Begin(begin);
                    let stored = StoredRecord { record, origin };
                    return self.note_turn(answer, stored, ticket, sender);
                }
            },
            KeeperRequest::Reserve {
                begin,
                chain,
                continuation,
                longest_ms,
                ..
            } => match self.shortage(self.class(&begin)) {
                Some(shortage) => self.refuse(shortage, asker),
                None => {
                    let answer = self.noted(&begin, chain, &continuation);
                    let owner = ReservedFor {
                        process: &asker.process,
                        longest: Duration::from_millis(longest_ms),
                    };
                    return self.reserve_turn(answer, &begin, owner, ticket, sender);
                }
            },
            KeeperRequest::Release { program, turn } => {
                self.state().reservations.remove(&program, &turn);
                return;
            }
            // Its beginning was lost with the power: an end alone is no turn.
            KeeperRequest::End {
                begin: None,
                ref finish,
                ..
            } if !self.state().ledger.has_start(&finish.turn) => {
                KeeperReply::Failed("the turn's beginning is not here; send it too".to_owned())
            }
            KeeperRequest::End {
                begin,
                finish,
                place,
                origin,
                ..
            } => {
                if let Some(shortage) = self.shortage(RecordClass::Stored) {
                    sender.send(ticket, self.refuse(shortage, asker));
                    return;
                }
                let program = finish.program.clone();
                let begin = begin.map(|begin| StoredRecord {
                    record: Record::Begin(begin),
                    origin,
                });
                let records = begin.into_iter().chain([Record::Finish(finish).into()]);
                let listener = Listener::Peer(sender.clone(), ticket);
                self.keep(records.collect(), Some(listener));
                if let Some(place) = place {
                    self.state().ledger.put_place(&program, place);
                }
                return;
            }
            KeeperRequest::Look { program, turn } => {
                let view = self.view(&program, &turn, None);
                let reserved = view.reserved_turns();
                KeeperReply::Seen(view, reserved)
            }
            KeeperRequest::Chain { turn } => return self.answer_chain(&turn, ticket, sender),
            KeeperRequest::Digests { after, membership } => {
                self.site.take_keepers(membership, 0);
                let state = self.state();
                let (programs, more) = state.ledger.digests(after.as_deref(), MAX_DIGESTS);
                KeeperReply::Digests {
                    whole: state.whole,
                    programs,
                    more,
                }
            }
            KeeperRequest::Records {
                programs,
                after,
                partial,
            } => {
                let wanted = self.copy_page(&programs, after.as_deref(), partial);
                return self.answer_records(wanted, ticket, sender);
            }
            KeeperRequest::List(request) => {
                self.take_request(request);
                KeeperReply::Taken
            }
            KeeperRequest::Spend(uses) => self.count(&asker.process, &uses),
            KeeperRequest::Load(report) => self.take_load(&asker.process, &report),
            KeeperRequest::Idle {
                programs,
                unresolved,
            } => self.active_programs(&programs, &unresolved),
            KeeperRequest::WatchEnds => return self.watch_ends(ticket, sender),
            KeeperRequest::Follow { after } => {
                self.site.note_revision(after);
                self.clone().follow(ticket, after, sender.clone());
                return;
            }
        };
        sender.send(ticket, reply);
    }

    /// Answers with what has changed in the platform's store, as soon as
    /// something has.
    fn follow(self: Arc<Self>, ticket: RequestId, after: u64, sender: ReplySender) {
        smol::spawn(async move {
            let waiting = self.site.wait_news();
            let mut news = self.site.news(after);
            if news.is_none() && !self.is_away() {
                within(HOLD, waiting.recv()).await;
                news = self.site.news(after);
            }
            let reply = news.unwrap_or_else(|| KeeperReply::Changes {
                changes: Vec::new(),
                revision: self.site.known().revision,
                away: self.is_away(),
            });
            sender.send(ticket, reply);
        })
        .detach();
    }

    /// Notes whether it is a member by the list, once that was read from the store.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn set_listed(&self, list: &Membership) {
        let own = list.place(&self.node).map(|at| &list.keepers[at]);
        let is_member = own.is_some_and(|own| own.standing != MemberState::Joining);
        let read = self.site.known().read;
        self.state().listed = is_member && read;
    }

    /// Notes whether it seems to be cut off from the other keepers.
    pub fn set_cut_off(&self, cut_off: bool) {
        if self.cut_off.swap(cut_off, Ordering::Relaxed) != cut_off {
            let event = if cut_off { "cut_off" } else { "reconnected" };
            self.note(LogEvent::new(event));
        }
    }

    /// Returns whether those that follow it do better with another keeper: it
    /// does not hear from the store itself, or nothing may come from there
    /// unnoticed.
    fn is_away(&self) -> bool {
        !self.site.hears_store() || self.cut_off.load(Ordering::Relaxed)
    }

    fn is_stale(&self, epoch: u64) -> bool {
        epoch < self.site.known().keepers.epoch
    }

    fn measure(&self) {
        let mut state = self.state();
        let expired = state.reservations.expire(self.clock.now());
        self.meters.reservations_expired.inc_by(expired as u64);
        self.meters.reserved.set(state.reservations.len() as i64);
        self.meters.turns.set(state.ledger.len() as i64);
        let on_disk = state.ledger.disk().total();
        let in_memory = state.ledger.bytes();
        let cached = state.cache.bytes();
        let index = state.index_bytes();
        self.meters.whole.set(i64::from(state.whole));
        drop(state);
        let texts = on_disk.live_bytes + in_memory as u64;
        self.meters.text_bytes.set(texts as i64);
        let parts = [
            ("index", index),
            ("cache", cached as u64),
            ("unwritten", self.disk.unwritten()),
            ("replies", self.reads.budget().used() as u64),
        ];
        for (part, bytes) in parts {
            let gauge = self.meters.memory.with_label_values(&[part]);
            gauge.set(bytes as i64);
        }
        self.meters.disk_bytes.set(self.disk.bytes() as i64);
        self.meters.disk_waiting.set(self.disk.waiting() as i64);
        let known = self.site.known();
        self.meters.epoch.set(known.keepers.epoch as i64);
        self.meters.watching.set(known.watch.is_some().into());
        let unread = known.unread_routing.is_some();
        self.meters.routing_unread.set(unread.into());
    }

    /// Puts what is known from the platform's store on disk whenever it
    /// changed, for gateways that start while the store is away.
    async fn keep_site(self: Arc<Self>) {
        let now = || {
            let known = self.site.known();
            (known.revision, known.keepers.epoch)
        };
        let mut kept = now();
        let mut looks = 0_u32;
        loop {
            smol::Timer::after(LIST_EVERY).await;
            looks += 1;
            let is_due = looks.is_multiple_of(SITE_LOOKS);
            if is_due {
                self.measure();
            }
            let (revision, epoch) = now();
            if epoch != kept.1 || is_due && revision != kept.0 {
                self.disk.send(Job::Site(self.site.snapshot()));
                kept = (revision, epoch);
            }
        }
    }

    async fn listen(self: Arc<Self>, listener: TcpListener, hello: Hello) {
        let strangers = Strangers::new(peer::MAX_STRANGERS);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let (this, hello, strangers) = (self.clone(), hello.clone(), strangers.clone());
            smol::spawn(async move { this.serve(stream, &hello, &strangers).await }).detach();
        }
    }

    async fn serve(
        self: Arc<Self>,
        stream: smol::net::TcpStream,
        hello: &Hello,
        strangers: &Strangers,
    ) {
        let window = self.room.budget().link_window();
        let link = match peer::accept(stream, hello, window, strangers).await {
            Ok(link) => link,
            Err(error) => {
                self.note(LogEvent::new("link_refused").with("why", error));
                return;
            }
        };
        let peer = link.peer.node.clone();
        let asker = Asker {
            process: ProcessStart {
                node: peer.as_str().into(),
                boot: link.peer.boot,
            },
            understands_full: link.peer.understands_full(),
        };
        self.note(LogEvent::new("link_up").with("peer", &peer));
        self.state().reservations.end_earlier_runs(&asker.process);
        let (sender, outgoing) = ReplySender::channel();
        let (incoming, questions) = async_channel::bounded(MAX_QUESTIONS);
        let answering = async {
            while let Ok(message) = questions.recv().await {
                if let KeeperMessage::Ask(ticket, question) = message {
                    self.answer(&asker, ticket, question, &sender);
                }
            }
            peer::LinkError::Closed
        };
        let running = link.run(outgoing, &incoming, |message: KeeperMessage| message);
        let error = futures_lite::future::or(running, answering).await;
        let now = self.clock.now();
        self.state().reservations.lose_link(now, &asker.process);
        self.note(
            LogEvent::new("link_down")
                .with("peer", &peer)
                .with("why", error),
        );
    }
}

/// Runs a keeper until `stop` says so.
///
/// # Errors
///
/// Returns an error if its folder or its address cannot be used.
pub async fn run(live: Live<KeeperSettings>, stop: Receiver<()>) -> eyre::Result<()> {
    let settings = live.get();
    let common = &settings.common;
    let essential = Essential::new(&common.node);
    let folder = &settings.data.folder;
    let most = settings.data.most << 20;
    let budget = KeeperBudget::new(settings.memory_bytes(), most);
    let clock = Clock::default();
    let meters = KeeperMeters::new()?;
    let listeners = Listeners::new(&common.node, clock, &meters.registry)?;
    let (_close, closed) = async_channel::bounded(1);
    let shown = show(&listeners, &meters, common.metrics, closed);
    // The predecessor has the address until it has ended: from then on nobody else writes to
    // the folder.
    let listener = listeners.bind("common.peers", common.peers, Need::Required);
    let Some(listener) = listeners.until_stop(&stop, listener).await? else {
        note_stopped(&common.node);
        return Ok(());
    };
    let now = clock.now();
    let mut ledger = Ledger::default();
    let (mut segments, found) = Segments::open(folder, most, |stored, location| {
        ledger.restore(now, stored, location);
    })?;
    let empty = found.is_empty();
    let whole = found.whole || (settings.first && empty);
    if whole && !found.whole {
        segments.set_whole()?;
    }
    log::note(
        &common.node,
        &identify(
            LogEvent::new("started")
                .with("role", "keeper")
                .with("records", found.records)
                .with("torn_bytes", found.torn)
                .with("disk_bytes", segments.bytes())
                .with("index_bytes", ledger.disk().total().index)
                .with("whole", whole)
                .with("first", settings.first),
        ),
    );
    let state = SharedState::new(State {
        ledger,
        reservations: Reservations::default(),
        cache: TextCache::new(budget.cache as usize),
        whole,
        listed: false,
    });
    let replies = ReplyBudget::new(budget.replies as usize);
    if settings.memory_mb.is_none() {
        let note = LogEvent::new("setting_missing").with("setting", "memory_mb");
        let note = note.with("assumed", DEFAULT_MEMORY_MB);
        log::note(
            &common.node,
            &note.with("remedy", "set it to the VM's memory in megabytes"),
        );
    }
    let (changed, _changes) = async_channel::bounded(1);
    let site = Site::new(&common.node, clock, common.key_digester(), changed);
    if let Some(snapshot) = site_file::read(folder) {
        site.take_snapshot(snapshot, "disk");
    }
    let keeper = Arc::new(Keeper {
        node: common.node.clone(),
        clock,
        disk: Disk::start(&common.node, folder.clone(), segments, state.clone())?,
        reads: Reads::start(&common.node, folder.clone(), state.clone(), replies)?,
        meters,
        room: Room::new(budget),
        state,
        cut_off: false.into(),
        requests: Mutex::default(),
        allowances: Mutex::new(AllowanceCounter::new(
            common.allowances.window(),
            now,
            settings.first && empty,
        )),
        loads: Mutex::default(),
        watchers: Mutex::default(),
        site: site.clone(),
    });
    let hello = Hello::new(
        NodeId::new(&common.node),
        Boot(rand::random()),
        common.key_digest(),
    );
    essential.spawn("peers", keeper.clone().listen(listener, hello.clone()));
    let _ = shown.set(keeper.clone());
    essential.spawn("site_file", keeper.clone().keep_site());
    let store = PlatformStore::new(common.store);
    essential.spawn("store", site.follow(store, common.watch_hold()));
    let replicas = Replicas::new(hello.clone(), clock);
    let follower = Follower {
        site: keeper.site.clone(),
        replicas: replicas.clone(),
        hello,
        seeds: common.seeds.clone(),
        faults: common.faults,
        clock,
    };
    essential.spawn("follower", follower.follow_as_keeper());
    let removals = Removals::new(keeper.clone(), replicas.clone(), common.faults);
    essential.spawn("removals", removals.follow());
    let list = KeeperList::new(keeper.clone(), replicas, &settings);
    essential.spawn("keepers", list.follow());
    listeners.until_stop::<()>(&stop, future::pending()).await?;
    essential.stop();
    note_stopped(&common.node);
    Ok(())
}

/// Shows metrics, and the state of the keeper once it is there, as soon as the address for
/// them is bound.
fn show(
    listeners: &Arc<Listeners>,
    meters: &KeeperMeters,
    address: SocketAddr,
    closed: Receiver<()>,
) -> Arc<OnceLock<Arc<Keeper>>> {
    let shown = Arc::new(OnceLock::<Arc<Keeper>>::new());
    let keeper = shown.clone();
    let is_whole = move || keeper.get().is_some_and(|keeper| keeper.state().whole);
    let handler = metrics::handler(&meters.registry, is_whole);
    let stop = closed.clone();
    let serve = |listener| http::serve(listener, Bounds::SMALL, handler, closed);
    let (setting, need) = ("common.metrics", Need::Optional);
    listeners
        .spawn(setting, address, need, stop, serve)
        .detach();
    shown
}

fn note_stopped(node: &str) {
    log::note(node, &LogEvent::new("stopped").with("role", "keeper"));
    log::flush();
}
