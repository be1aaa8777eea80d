//! A gateway: takes callers' requests and passes them to servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future;
use hyper::Response;
use hyper::StatusCode;
use limpetferry_lib::call::Program;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::fingerprint::Fingerprinter;
use limpetferry_lib::gateway_budget::CONNECTION_BYTES;
use limpetferry_lib::gateway_budget::GatewayBudget;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::load_shed::LoadShedder;
use limpetferry_lib::overload::OverloadControl;
use limpetferry_lib::overload::ProgramRefusal;
use limpetferry_lib::overload::TurnArrival;
use limpetferry_lib::retry_budget::RetryBudget;
use limpetferry_lib::retry_hint::RetryHints;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::routing::Limits;
use limpetferry_lib::routing::Route;
use limpetferry_lib::start_doubts::StartDoubts;
use limpetferry_lib::time::Time;

use crate::addresses::Listeners;
use crate::addresses::Need;
use crate::allowances::Allowances;
use crate::answer_room::AnswerRoom;
use crate::clock::Clock;
use crate::connections::Connections;
use crate::dispatch::Dispatch;
use crate::essential::Essential;
use crate::follow::Follower;
use crate::gateway_memory::GatewayMemory;
use crate::gateway_settings::DEFAULT_MEMORY_MB;
use crate::gateway_settings::GatewaySettings;
use crate::handoff::Handoffs;
use crate::handoff::Served;
use crate::handoff_server;
use crate::handoff_server::HopHandler;
use crate::held::Held;
use crate::http;
use crate::http::Body;
use crate::http::Bounds;
use crate::http::FLUSH_WAIT;
use crate::http::Handler;
use crate::http::whole;
use crate::load_reporter::LoadReporter;
use crate::load_reporter::settled_state;
use crate::load_reports::LoadReports;
use crate::log;
use crate::meters::GatewayMeters;
use crate::metrics;
use crate::overload_watch;
use crate::peer::Hello;
use crate::platform_store::PlatformStore;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::relay;
use crate::reload::Live;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::start::identify;
use crate::suspect_api;
use crate::timeout::within;
use crate::turns::Turns;

mod notes;

/// Time between looks for connections that were idle for too long, and for
/// the keepers within reach.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);
/// Time between timers whose lateness is measured.
const LATENESS_EVERY: Duration = Duration::from_millis(50);
/// Such looks between two summaries.
const SUMMARY_ROUNDS: u32 = 40;
/// Part of the bytes held for bodies that one service's queue may hold, so that
/// a full one leaves room for the requests of others.
const QUEUED_SHARE: usize = 2;
/// How long a stopping process goes on taking connections: the platform asks
/// once a second whether it is ready and believes the second refusal.
const LINGER: Duration = Duration::from_millis(2_600);
/// Time kept back from a planned stop for the last answers' way.
const STOP_SPARE: Duration = Duration::from_millis(500);

/// One gateway.
pub struct Gateway {
    /// Its name.
    pub node: String,
    /// Its data centre.
    pub centre: String,
    /// Its clock.
    pub clock: Clock,
    /// What it knows of the site.
    pub site: Arc<Site>,
    /// Idle connections to servers.
    pub pool: Pool,
    /// Turns of programs.
    pub turns: Arc<Turns>,
    /// What workspaces may still send.
    pub allowances: Arc<Allowances>,
    /// What it knows of load beyond its own requests.
    pub loads: Arc<LoadReports>,
    /// Requests that wait for a server with room.
    pub dispatch: Arc<Dispatch>,
    /// What hands requests over to other gateways, where the settings ask for it.
    pub handoffs: Option<Arc<Handoffs>>,
    /// Bytes of requests that it holds.
    pub held: Held,
    /// Bytes of incomplete events that it holds.
    pub arriving: Held,
    /// Answers that were not written to callers.
    pub answers: AnswerRoom,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// What is known of its memory.
    pub memory: Arc<GatewayMemory>,
    /// Identifies requests over attempts.
    pub fingerprinter: Fingerprinter,
    /// Requests that end servers.
    pub quarantine: Arc<Quarantine>,
    /// Servers whose entry may describe an earlier start.
    doubts: Mutex<StartDoubts>,
    live: Live<GatewaySettings>,
    /// Its metrics.
    pub meters: GatewayMeters,
    stopping: AtomicBool,
    in_touch: AtomicBool,
    hints: Mutex<RetryHints>,
    shed: Mutex<LoadShedder>,
    /// Decides about programs by the load of services; `None` if it is not to.
    overload: Option<Mutex<OverloadControl>>,
    /// Tries at further servers that are left; `None` if they are not bounded.
    retries: Option<Mutex<RetryBudget>>,
}

impl Gateway {
    /// Returns the bounds on its memory.
    pub fn budget(&self) -> GatewayBudget {
        self.live.get().budget()
    }

    /// Returns the most bytes of requests that it holds at once.
    pub fn most_held(&self) -> usize {
        self.budget().bodies as usize
    }

    /// Returns the most bytes of incomplete events that it holds at once.
    pub fn most_arriving(&self) -> usize {
        self.budget().arriving as usize
    }

    /// Returns the most bytes that a stream may have whose output is kept.
    pub fn most_output(&self) -> usize {
        self.budget().answer() as usize
    }

    /// Returns the servers whose entry may describe an earlier start, locked.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn doubts(&self) -> MutexGuard<'_, StartDoubts> {
        self.doubts.lock().expect("no panic while locked")
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        !self.is_stopping() && self.in_touch.load(Ordering::Relaxed)
    }

    /// Returns whether callers do better with another gateway, and are to
    /// leave with their next answer.
    pub fn turns_callers_away(&self) -> bool {
        !self.is_ready()
    }

    fn hints(&self) -> MutexGuard<'_, RetryHints> {
        self.hints.lock().expect("no panic while locked")
    }

    /// Returns when the caller of a program's line is to come back, as this
    /// process does not reach the keepers.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn retry_after(&self, program: &Program) -> Duration {
        let now = self.clock.now();
        self.hints().retry_after(now, &program.id, &program.session)
    }

    /// Takes a turn of a program, or says why the program is not begun.
    ///
    /// # Errors
    ///
    /// Returns a [`ProgramRefusal`] for a program that has not begun.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn admit(&self, arrival: &TurnArrival<'_>) -> Result<(), ProgramRefusal> {
        let draw = rand::random();
        let overload = self.overload();
        let mut shed = self.shed.lock().expect("no panic while locked");
        match overload {
            Some(mut overload) => overload.admit(self.clock.now(), &mut shed, arrival, draw),
            None => {
                let admitted = shed.admit(arrival.program, arrival.first, draw);
                admitted.map_err(ProgramRefusal::Gateway)
            }
        }
    }

    /// Returns what decides about programs by the load of services, if they
    /// are decided about by it.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn overload(&self) -> Option<MutexGuard<'_, OverloadControl>> {
        let overload = self.overload.as_ref()?;
        Some(overload.lock().expect("no panic while locked"))
    }

    /// Notes that a server of a service gave an answer.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn earn_retry(&self, service: &Arc<str>) {
        if let Some(retries) = &self.retries {
            let mut retries = retries.lock().expect("no panic while locked");
            retries.earn(self.clock.now(), service);
        }
    }

    /// Returns whether a request to a service may be tried at a further server.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let Some(retries) = &self.retries else {
            return true;
        };
        let mut retries = retries.lock().expect("no panic while locked");
        let taken = retries.take(self.clock.now(), service);
        if !taken {
            self.meters.not_retried.inc();
        }
        taken
    }

    /// Notes how long the keepers of a turn took to answer.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn observe_answer(&self, took: Duration) {
        let mut shed = self.shed.lock().expect("no panic while locked");
        shed.observe_answer(took);
    }

    /// Returns how late it is with its work.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn lateness(&self) -> Duration {
        let shed = self.shed.lock().expect("no panic while locked");
        shed.lateness()
    }

    /// Returns the address at which it takes requests from other gateways;
    /// `None` if it takes none.
    pub fn handoff_address(&self) -> Option<SocketAddr> {
        let handoffs = self.handoffs.as_ref().filter(|_| self.is_ready())?;
        Some(handoffs.address())
    }

    /// Counts a stream as one that is served here.
    pub fn serve(self: &Arc<Self>, route: &Route, start: Time) -> Option<Served> {
        let handoffs = self.handoffs.as_ref()?;
        let stream = matches!(route.kind, Kind::Stream { .. });
        stream.then(|| handoffs.serve(self, start))
    }

    /// Notes the bytes that the link carried for a turn with kept history.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn observe_link_bytes(&self, bytes: u64) {
        if let Some(handoffs) = &self.handoffs {
            handoffs.observe_link_bytes(bytes);
        }
    }

    /// Finds out which servers ended without a connection that broke, of those at
    /// which requests were left.
    fn watch_servers(&self) {
        self.quarantine.expire();
        self.show_suspects();
        for to in self.quarantine.watched() {
            if self.site.is_draining(to.key) {
                self.quarantine.forget(to.key);
            } else if !self.site.known().fleet.contains(to.key) {
                self.quarantine.unwatch(to.key);
                self.quarantine.probe_gone(to);
            }
        }
    }

    /// Returns the version of the routing in force, zero if none is known.
    fn routing_version(&self) -> u64 {
        let known = self.site.known();
        known.routing.as_ref().map_or(0, |routing| routing.version)
    }

    /// Measures how late timers fire, for as long as the process runs.
    async fn measure_lateness(self: Arc<Self>) {
        loop {
            let due = self.clock.now() + LATENESS_EVERY;
            smol::Timer::after(LATENESS_EVERY).await;
            let late = self.clock.now().since(due);
            let mut shed = self.shed.lock().expect("no panic while locked");
            shed.observe_timer(late);
            self.meters.lag.set(shed.lateness().as_millis() as i64);
            self.loads.set_late(shed.lateness());
            self.loads.set_address(self.handoff_address());
            self.loads.set_queues(&self.dispatch.states());
            if let Some(behind) = shed.update_behind() {
                let note = LogEvent::new(if behind { "behind" } else { "caught_up" })
                    .with("timers_ms", shed.timer_lateness().as_millis())
                    .with("answers_ms", shed.answer_time().as_millis());
                self.note(note);
            }
        }
    }

    /// Looks again whether it has what it needs to serve.
    fn look(&self) {
        self.meters.routing.set(self.routing_version() as i64);
        let known = {
            let known = self.site.known();
            self.meters.servers.set(known.fleet.ready_count() as i64);
            self.meters.unread.set(known.unread.len() as i64);
            let unread = known.unread_routing.is_some();
            self.meters.routing_unread.set(unread.into());
            known.routing.is_some() && known.keepers.open
        };
        let now = known && self.turns.is_in_reach() && self.quarantine.is_loaded();
        self.hints().set_ready(self.clock.now(), now);
        self.meters.ready.set(i64::from(self.is_ready()));
        if self.in_touch.swap(now, Ordering::Relaxed) != now {
            let note = LogEvent::new(if now { "ready" } else { "not_ready" });
            self.note(note.with("known", known));
        }
    }

    fn ready_answer(&self) -> Response<Body> {
        let ready = self.is_ready();
        let mut response = Response::new(whole(if ready { "ready\n" } else { "not ready\n" }));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn show_memory(&self) {
        let budget = self.budget();
        let connections = self.connections.count() as u64 * CONNECTION_BYTES;
        let parts = [
            (GatewayPart::Connections, connections),
            (GatewayPart::Heads, self.connections.head_bytes() as u64),
            (GatewayPart::Bodies, self.held.bytes() as u64),
            (GatewayPart::Answers, self.answers.bytes() as u64),
        ];
        for (part, used) in parts {
            self.memory.show(part, used, budget.bytes(part));
        }
    }

    async fn expire(self: Arc<Self>) {
        let mut round = 0_u32;
        loop {
            smol::Timer::after(EXPIRE_EVERY).await;
            round += 1;
            if round.is_multiple_of(SUMMARY_ROUNDS) {
                self.summarise();
            }
            self.note_paces();
            self.look();
            self.show_load();
            self.show_memory();
            self.show_queues(round);
            self.watch_servers();
            if let Some(handoffs) = &self.handoffs {
                handoffs.expire(self.clock.now());
            }
            let known = self.site.known();
            let now = self.clock.now();
            let closed = self.pool.expire(now, |key| known.fleet.contains(key));
            let mut doubts = self.doubts();
            doubts.retain(|key| known.fleet.contains(key));
            for key in closed {
                doubts.lose_connection(now, key);
            }
        }
    }
}

/// Runs a gateway until `stop` says so, and lets what is under way end.
///
/// # Errors
///
/// Returns an error if one of its addresses cannot be used.
pub async fn run(live: Live<GatewaySettings>, stop: Receiver<()>) -> eyre::Result<()> {
    let settings = live.get();
    let common = &settings.common;
    let essential = Essential::new(&common.node);
    let clock = Clock::default();
    let (changed, changes) = async_channel::bounded(1);
    let site = Site::new(&common.node, clock, common.key_digester(), changed);
    site.known().fleet.set_switches(settings.switches);
    site.set_follower(true);
    let hello = Hello::new(
        NodeId::new(&common.node),
        Boot(rand::random()),
        common.key_digest(),
    );
    let (ends, end_notices) = async_channel::unbounded();
    let replicas = Replicas::with_ends(hello.clone(), clock, ends);
    let follower = Follower {
        site: site.clone(),
        replicas: replicas.clone(),
        hello,
        seeds: common.seeds.clone(),
        faults: common.faults,
        clock,
    };
    let budget = settings.budget();
    let turns = Turns::new(
        site.clone(),
        replicas.clone(),
        common.faults,
        clock,
        budget.histories,
    );
    let meters = GatewayMeters::new()?;
    let probes = meters.probes.clone();
    let quarantine = Quarantine::new(&common.node, clock, turns.clone(), probes);
    let allowances = Allowances::new(
        common.allowances,
        settings.switches.programs,
        site.clone(),
        replicas.clone(),
        common.faults,
        clock,
    );
    let memory = GatewayMemory::new(&common.node, &meters);
    let lacking = memory.clone();
    let connections = Connections::new(
        budget.connections,
        budget.heads as usize,
        clock,
        Box::new(move |part| lacking.lack(part)),
    );
    let loads = LoadReports::new();
    let gateway = Arc::new(Gateway {
        node: common.node.clone(),
        centre: common.centre.clone(),
        clock,
        site: site.clone(),
        pool: Pool::default(),
        turns,
        allowances,
        loads: loads.clone(),
        dispatch: Dispatch::new(
            settings.switches.queue,
            settings.budget().bodies as usize / QUEUED_SHARE,
            site.clone(),
            clock,
        ),
        handoffs: Handoffs::new(&settings),
        held: Held::default(),
        arriving: Held::default(),
        answers: AnswerRoom::default(),
        connections: connections.clone(),
        memory,
        fingerprinter: common.fingerprinter(),
        quarantine: quarantine.clone(),
        doubts: Mutex::new(StartDoubts::new(clock.now())),
        live: live.clone(),
        meters,
        stopping: AtomicBool::new(false),
        in_touch: AtomicBool::new(false),
        hints: Mutex::default(),
        shed: Mutex::default(),
        overload: settings.switches.overload.then(Mutex::default),
        retries: settings.switches.overload.then(Mutex::default),
    });
    gateway.meters.admitted.set(100);
    let note = LogEvent::new("started").with("role", "gateway");
    gateway.note(identify(note.with("callers", settings.callers)));
    note_memory(&gateway, &settings);
    let (close, closed) = async_channel::bounded::<()>(1);
    let listeners = Listeners::new(&common.node, clock, &gateway.meters.registry)?;
    serve_operators(&gateway, &settings, &listeners, &closed);
    // Nobody hears of this process while its predecessor has the address.
    let callers = listeners.bind("callers", settings.callers, Need::Required);
    let Some(callers) = listeners.until_stop(&stop, callers).await? else {
        gateway.note(LogEvent::new("stopped").with("waiting_for", settings.callers));
        log::flush();
        return Ok(());
    };
    essential.spawn("follower", follower.follow());
    essential.spawn("ends", quarantine.clone().follow(end_notices));
    essential.spawn("late_records", quarantine.clone().record_late());
    essential.spawn("allowances", gateway.allowances.clone().follow());
    let store = PlatformStore::new(common.store);
    essential.spawn("store", site.clone().follow(store, common.watch_hold()));
    essential.spawn("servers", site.clone().expire());
    essential.spawn("upkeep", gateway.clone().expire());
    essential.spawn("lateness", gateway.clone().measure_lateness());
    if settings.switches.reports {
        let reporter = LoadReporter::new(
            loads,
            site.clone(),
            replicas.clone(),
            clock,
            settled_state(&settings),
        );
        essential.spawn("load_reports", reporter.follow());
    }
    if settings.switches.overload {
        essential.spawn("overload", overload_watch::watch(gateway.clone()));
    }
    essential.spawn("keepers", async move {
        while changes.recv().await.is_ok() {
            replicas.dial(&site.known().keepers.clone());
        }
    });
    let limits = Limits::default();
    let bounds = Bounds {
        connections: budget.connections,
        head: limits.max_head_bytes,
        // Callers use connections that were idle for up to four fifths of it.
        wait: limits.idle_timeout,
        flush: FLUSH_WAIT,
    };
    let (served, serving) = async_channel::bounded::<()>(1);
    let callers = http::serve_counted(callers, bounds, connections, handler(&gateway), closed);
    essential.spawn("callers", async move {
        callers.await;
        drop(served);
    });
    let (leave, left) = async_channel::bounded::<()>(1);
    let taking = take_over(&gateway, &settings, &listeners, left);
    let failed = listeners.until_stop::<()>(&stop, future::pending()).await;
    essential.stop();
    let begun = clock.now();
    gateway.stopping.store(true, Ordering::Relaxed);
    leave.close();
    gateway.note(LogEvent::new("stopping"));
    smol::Timer::after(LINGER).await;
    close.close();
    let limit = live.get().common.stop_limit().saturating_sub(STOP_SPARE);
    let left = limit.saturating_sub(clock.now().since(begun));
    let ending = future::zip(serving.recv(), taking);
    let ended = within(left, ending).await.is_some();
    gateway.quarantine.flush().await;
    gateway.note(
        LogEvent::new("stopped")
            .with("all_ended", ended)
            .with("millis", clock.now().since(begun).as_millis()),
    );
    log::flush();
    failed?;
    Ok(())
}

/// Logs what the settings leave out, and bounds of them that the memory lowers.
fn note_memory(gateway: &Gateway, settings: &GatewaySettings) {
    if settings.memory_mb.is_none() {
        let note = LogEvent::new("setting_missing").with("setting", "memory_mb");
        let note = note.with("assumed", DEFAULT_MEMORY_MB);
        gateway.note(note.with("remedy", "set it to the VM's memory in megabytes"));
    }
    let budget = settings.budget();
    let bodies = settings.bodies_mb.map(|most| (most as u64) << 20);
    let connections = settings.connections.map(|most| most as u64);
    let bounds = [
        ("connections", connections, budget.connections as u64),
        ("bodies_mb", bodies, budget.bodies),
    ];
    for (setting, asked, used) in bounds {
        if asked.is_some_and(|asked| asked > used) {
            let note = LogEvent::new("setting_lowered").with("setting", setting);
            let note = note.with("used", used);
            gateway.note(note.with("remedy", "raise memory_mb or leave the setting out"));
        }
    }
}

fn handler(gateway: &Arc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Arc::new(move |request| {
        let gateway = gateway.clone();
        Box::pin(relay::answer(gateway, request, None))
    })
}

/// Answers the platform's question whether the process is ready, and shows its metrics,
/// each as soon as its address is bound, until `stop` is closed.
fn serve_operators(
    gateway: &Arc<Gateway>,
    settings: &GatewaySettings,
    listeners: &Arc<Listeners>,
    stop: &Receiver<()>,
) {
    let common = &settings.common;
    let (handler, closed) = (ready_handler(gateway), stop.clone());
    let serve_ready = |listener| http::serve(listener, Bounds::SMALL, handler, closed);
    let ready = settings.ready;
    listeners
        .spawn("ready", ready, Need::Required, stop.clone(), serve_ready)
        .detach();
    let shown = gateway.clone();
    let shown = metrics::handler(&gateway.meters.registry, move || shown.is_ready());
    let shown = suspect_api::handler(gateway.quarantine.clone(), common.key_digest(), shown);
    let closed = stop.clone();
    let serve_metrics = |listener| http::serve(listener, Bounds::SMALL, shown, closed);
    let (setting, need) = ("common.metrics", Need::Optional);
    listeners
        .spawn(setting, common.metrics, need, stop.clone(), serve_metrics)
        .detach();
}

/// Takes requests from other gateways, where the settings ask for it, until
/// `stop` is closed.
fn take_over(
    gateway: &Arc<Gateway>,
    settings: &GatewaySettings,
    listeners: &Arc<Listeners>,
    stop: Receiver<()>,
) -> smol::Task<()> {
    if gateway.handoffs.is_none() {
        return smol::spawn(async {});
    }
    let key = settings.common.key_digest();
    let gateway = gateway.clone();
    let handler: HopHandler = Arc::new(move |request, hop| {
        if gateway.routing_version() < hop.version {
            return None;
        }
        let gateway = gateway.clone();
        gateway.meters.taken_over.inc();
        Some(Box::pin(relay::answer(gateway, request, Some(hop))))
    });
    let stopped = stop.clone();
    let serve = move |listener| handoff_server::serve(listener, key, handler, stopped);
    let (setting, address) = ("common.peers", settings.common.peers);
    listeners.spawn(setting, address, Need::Optional, stop, serve)
}

fn ready_handler(gateway: &Arc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Arc::new(move |_| {
        let response = gateway.ready_answer();
        Box::pin(async move { response })
    })
}
