//! Randomized soak test. Runs gateways and keepers as separate processes, with
//! callers that reuse their connections, and injects series of overlapping
//! external faults. Checks what callers and servers observed against the
//! product's promises.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use limpetferry_lib::switches::Switches;
use limpetferry_net::timeout::within;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::platform_server::Behaviour;
use crate::platform_server::Run;
use crate::platform_site::FIRST_VERSION;
use crate::platform_site::PlatformSite;
use crate::process::Process;
use crate::soak_caller::Caller;
use crate::soak_caller::Record;
use crate::soak_caller::Records;
use crate::soak_fatal;
use crate::soak_fatal::FatalCaller;
use crate::soak_fatal::FatalRequests;
use crate::soak_fatal::routing;
use crate::supervisor::Supervisor;
use crate::wire::Way;
use crate::wire::Wire;

/// Version of the first routing document with workspaces. The site starts with
/// version 1, which has none.
const FIRST_ROUTING: u64 = 2;
const GATEWAYS: usize = 2;
/// Version of the engines that are added to those that the site starts with, which
/// have [`FIRST_VERSION`].
const SECOND_VERSION: &str = "v2";
/// Only one of them may be without its disk's data at a time.
const KEEPERS: usize = 4;
/// Number of keepers that may be lost at once.
const TOLERATED_LOSSES: usize = 1;
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Number of concurrent callers whose requests end servers.
const FATAL_CALLERS: usize = 2;
/// Requests that end no server and are refused as three servers ended under them, at
/// most, in one run: each shares its few servers with the other callers' requests.
const MAX_WRONGLY_REFUSED: usize = 1;
/// Longest duration of a fault, in milliseconds. A silent link is detected and
/// redialled within 2 s.
const MAX_FAULT_MS: u64 = 1_500;
/// Longest pause between two faults, in milliseconds; short enough that some
/// faults overlap.
const MAX_PAUSE_MS: u64 = 700;
/// Time after a fault until gateways and keepers are linked again.
const KNOWN_AGAIN: Duration = Duration::from_millis(1_500);
/// Longest time from the request to stop a process until its successor has its addresses.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Tells the random numbers of restarts from those of faults.
const RESTART_SERIES: u64 = 0x7e57_a275;
/// Most stop signals to one process, plus one.
const MAX_STOP_SIGNALS: usize = 4;
/// Pauses between faults for each restart of a process that no fault affects.
const ITERATIONS_PER_RESTART: u32 = 6;
/// Number of consecutive requests that a server mishandles: enough that each
/// kind of caller encounters one.
const MISHANDLED_REQUESTS: usize = 5;
/// Time limit after the last fault for all gateways to serve again: links are
/// redialled within a second, and a restarted keeper first copies its data.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Counts of a run that broke no promise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Attempts that callers sent.
    pub attempts: usize,
    /// Attempts with a complete and successful answer.
    pub answered: usize,
    /// Injected faults.
    pub faults: usize,
    /// Attempts that resumed a stream.
    pub resumed: usize,
    /// Those of them that brought an event.
    pub continued: usize,
    /// Requests that were refused for good, as servers ended under them.
    pub refused: usize,
    /// Servers that ended under requests.
    pub ended: usize,
    /// Servers that ended under one of them, at most.
    pub most_ended: usize,
}

/// A fault that is injected and later undone.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillGateway(usize),
    StopGateway(usize),
    FreezeGateway(usize),
    KillKeeper(usize),
    KillKeepers,
    FreezeKeeper(usize),
    WipeKeeper(usize),
    TearKeeper(usize),
    CutKeeper(usize),
    SilenceKeeper(usize, Way),
    ResetKeeper(usize),
    SlowKeeper(usize),
    CutStore,
    ResetStore,
    LoseStoreAnswers,
    ResetServer(usize),
    SilenceServer(usize),
    SlowServer(usize),
    Behave(usize, Behaviour),
    Routing,
    Drain(usize),
    /// All engines of one version leave.
    DrainVersion(usize),
}

fn random_fault(random: &mut SmallRng) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let keeper = random.random_range(0..KEEPERS);
    let server = random.random_range(0..SERVERS.len());
    let way = [Way::Forth, Way::Back, Way::Both][random.random_range(0..3)];
    let behaviours = [
        Behaviour::CutAfter(random.random_range(0..5)),
        Behaviour::Slowly,
        Behaviour::LoseAnswer,
        Behaviour::Hang,
        Behaviour::Shed,
        Behaviour::Replaced,
        Behaviour::Status(500),
        Behaviour::Unsigned,
        Behaviour::Crossed,
    ];
    match random.random_range(0..36) {
        0 => Fault::KillGateway(gateway),
        1 => Fault::StopGateway(gateway),
        2 => Fault::FreezeGateway(gateway),
        3 => Fault::KillKeeper(keeper),
        4 => Fault::KillKeepers,
        5 => Fault::FreezeKeeper(keeper),
        6 => Fault::WipeKeeper(keeper),
        7 => Fault::TearKeeper(keeper),
        8 => Fault::CutKeeper(keeper),
        9 => Fault::SilenceKeeper(keeper, way),
        10 => Fault::ResetKeeper(keeper),
        11 => Fault::SlowKeeper(keeper),
        12 => Fault::CutStore,
        13 => Fault::ResetStore,
        14 => Fault::LoseStoreAnswers,
        15 => Fault::ResetServer(server),
        16 => Fault::SilenceServer(server),
        17 => Fault::SlowServer(server),
        18 => Fault::Routing,
        19 => Fault::Drain(server),
        20 => Fault::DrainVersion(random.random_range(0..ENGINES.len())),
        21..26 => {
            // Streams of this engine have to continue at another one.
            let engine = random.random_range(0..ENGINES.as_flattened().len());
            Fault::Behave(engine, Behaviour::BreakOff(random.random_range(1..5)))
        }
        _ => Fault::Behave(server, behaviours[random.random_range(0..behaviours.len())]),
    }
}

/// How processes are started and stopped in a run, by random numbers of its own, so that
/// the faults of a seed do not depend on it.
struct Restarts {
    random: SmallRng,
    /// Processes that were replaced before they had ended.
    ending: Vec<Process>,
}

impl Restarts {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed ^ RESTART_SERIES),
            ending: Vec::new(),
        }
    }

    /// Asks a process to stop, at times more than once, as supervisors do.
    async fn stop(&mut self, process: &mut Process) {
        for _ in 0..self.random.random_range(1..MAX_STOP_SIGNALS) {
            process.ask_stop().await;
        }
    }

    /// Sends SIGHUP to a process that was just started, at times.
    async fn after_start(&mut self, process: &mut Process) {
        if self.random.random() {
            process.hang_up_early().await;
        }
    }

    /// Starts a process again before it has ended, which it is about to do.
    async fn replace(&mut self, site: &mut PlatformSite, node: &str) {
        self.ending.push(site.start_successor(node));
        self.after_start(site.process(node)).await;
    }

    /// Returns a process to replace now, if any.
    fn next(&mut self) -> Option<String> {
        let kind = ["gateway", "keeper"][self.random.random_range(0..2)];
        let count = if kind == "gateway" { GATEWAYS } else { KEEPERS };
        let number = self.random.random_range(0..count);
        let now = self.random.random_ratio(1, ITERATIONS_PER_RESTART);
        now.then(|| format!("{kind}-{number}"))
    }

    /// Waits until all processes that were replaced have ended, and returns how many of
    /// them did not in time or without success.
    async fn failed(&mut self) -> usize {
        let mut failed = 0;
        for mut process in self.ending.drain(..) {
            let ended = within(RECOVERY_TIMEOUT, process.ended()).await;
            failed += usize::from(ended != Some(true));
        }
        failed
    }
}

/// The site and the state of the faults injected into it.
struct FaultySite {
    site: PlatformSite,
    version: u64,
    /// Active faults, each with the time at which it is undone, in milliseconds
    /// from the start. Conflicting faults are not injected meanwhile.
    active: Vec<(u64, Fault)>,
    /// Keeper whose disk was wiped last, until it has copied its data again. No
    /// other disk is wiped before that.
    wiped: Option<usize>,
    restarts: Restarts,
    /// Log of injected and undone faults, reported if the run fails.
    trace: Vec<String>,
    /// Spans of the faults of gateways and keepers, in which a gateway may be the only
    /// one to know that a server ended.
    spans: Vec<(Instant, Instant)>,
}

impl FaultySite {
    /// Returns whether another fault on the same gateway or keeper is active.
    fn is_busy(&self, fault: Fault) -> bool {
        let busy = |other: &Fault| match (fault, *other) {
            (Fault::KillKeepers, other) | (other, Fault::KillKeepers) => keeper_of(other).is_some(),
            (a, b) => {
                let same = keeper_of(a).is_some() && keeper_of(a) == keeper_of(b);
                same || (gateway_of(a).is_some() && gateway_of(a) == gateway_of(b))
            }
        };
        self.active.iter().any(|(_, other)| busy(other))
    }

    /// Returns whether the fault leaves enough disks intact: after one disk is
    /// wiped, no other may be until its keeper has copied the data again.
    async fn may_wipe(&mut self, fault: Fault) -> bool {
        if !matches!(fault, Fault::WipeKeeper(_)) {
            return true;
        }
        if let Some(number) = self.wiped
            && self.site.is_whole(number).await
        {
            self.wiped = None;
        }
        self.wiped.is_none()
    }

    async fn inject(&mut self, fault: Fault, random: &mut SmallRng) {
        let site = &mut self.site;
        match fault {
            Fault::KillGateway(number) => {
                site.process(&format!("gateway-{number}")).kill();
            }
            Fault::StopGateway(number) => {
                let gateway = site.process(&format!("gateway-{number}"));
                self.restarts.stop(gateway).await;
            }
            Fault::FreezeGateway(number) => site.process(&format!("gateway-{number}")).freeze(),
            Fault::KillKeeper(number) | Fault::TearKeeper(number) => {
                site.process(&format!("keeper-{number}")).kill();
            }
            Fault::WipeKeeper(number) => {
                site.process(&format!("keeper-{number}")).kill();
                self.wiped = Some(number);
            }
            Fault::KillKeepers => {
                for number in 0..KEEPERS {
                    site.process(&format!("keeper-{number}")).kill();
                }
            }
            Fault::FreezeKeeper(number) => site.process(&format!("keeper-{number}")).freeze(),
            Fault::CutKeeper(number) => site.wires.keepers[number].set_cut(true),
            Fault::SilenceKeeper(number, way) => site.wires.keepers[number].silence(way),
            Fault::ResetKeeper(number) => site.wires.keepers[number].reset(),
            Fault::SlowKeeper(number) => set_random_delay(&site.wires.keepers[number], random),
            Fault::CutStore => site.wires.store[0].set_cut(true),
            Fault::ResetStore => site.wires.store[0].reset(),
            Fault::LoseStoreAnswers => site.wires.store[0].silence(Way::Back),
            Fault::ResetServer(number) => site.wires.servers[number].reset(),
            Fault::SilenceServer(number) => site.wires.servers[number].silence(Way::Both),
            Fault::SlowServer(number) => set_random_delay(&site.wires.servers[number], random),
            Fault::Behave(number, behaviour) => {
                let all = [&site.engines[..], &site.plain].concat();
                all[number].behave([behaviour; MISHANDLED_REQUESTS]);
            }
            Fault::Routing => {
                self.version += 1;
                site.store.put("op/config", &routing(self.version));
            }
            Fault::Drain(number) => site.set_state(SERVERS[number], "draining"),
            Fault::DrainVersion(version) => {
                let engines = ENGINES[version].iter();
                engines.for_each(|engine| site.set_state(engine, "draining"));
            }
        }
    }

    async fn start_gateway(&mut self, number: usize) {
        self.site.start_gateway(number);
        let gateway = self.site.process(&format!("gateway-{number}"));
        self.restarts.after_start(gateway).await;
    }

    async fn start_keeper(&mut self, number: usize) {
        self.site.start_keeper(number);
        let keeper = self.site.process(&format!("keeper-{number}"));
        self.restarts.after_start(keeper).await;
    }

    /// Stops a process on which no fault is active, and starts it again at once, at times.
    /// Returns whether it did.
    async fn restart_one(&mut self) -> bool {
        let Some(node) = self.restarts.next() else {
            return false;
        };
        let affected = |fault: &Fault| {
            keeper_of(*fault).is_some_and(|n| n == KEEPERS || node == format!("keeper-{n}"))
                || gateway_of(*fault).is_some_and(|n| node == format!("gateway-{n}"))
        };
        if self.active.iter().any(|(_, fault)| affected(fault)) {
            return false;
        }
        self.trace.push(format!("replaced: {node}"));
        self.restarts.stop(self.site.process(&node)).await;
        self.restarts.replace(&mut self.site, &node).await;
        true
    }

    async fn undo(&mut self, fault: Fault, random: &mut SmallRng) {
        let site = &mut self.site;
        match fault {
            Fault::KillGateway(number) => self.start_gateway(number).await,
            Fault::StopGateway(number) => {
                let node = format!("gateway-{number}");
                if self.restarts.random.random() {
                    self.restarts.replace(site, &node).await;
                } else {
                    site.process(&node).ended().await;
                    self.start_gateway(number).await;
                }
            }
            Fault::FreezeGateway(number) => site.process(&format!("gateway-{number}")).thaw(),
            Fault::FreezeKeeper(number) => site.process(&format!("keeper-{number}")).thaw(),
            Fault::KillKeeper(number) => self.start_keeper(number).await,
            Fault::KillKeepers => {
                for number in 0..KEEPERS {
                    self.start_keeper(number).await;
                }
            }
            Fault::WipeKeeper(number) => {
                site.wipe(number);
                self.start_keeper(number).await;
            }
            Fault::TearKeeper(number) => {
                let size = random.random_range(1..200);
                let bytes: Vec<u8> = (0..size).map(|_| random.random()).collect();
                site.tear(number, &bytes);
                self.start_keeper(number).await;
            }
            Fault::CutKeeper(number) => site.wires.keepers[number].set_cut(false),
            Fault::SlowKeeper(number) => site.wires.keepers[number].set_delay(Duration::ZERO),
            Fault::SlowServer(number) => site.wires.servers[number].set_delay(Duration::ZERO),
            Fault::CutStore => site.wires.store[0].set_cut(false),
            Fault::Drain(number) => site.set_state(SERVERS[number], "ready"),
            Fault::DrainVersion(version) => {
                let engines = ENGINES[version].iter();
                engines.for_each(|engine| site.set_state(engine, "ready"));
            }
            _ => {}
        }
    }
}

/// Server ids, in the order in which the servers were added.
const SERVERS: [&str; 6] = [
    "engine-0", "plain-0", "engine-1", "plain-1", "engine-2", "engine-3",
];
/// Ids of the engines of each version.
const ENGINES: [[&str; 2]; 2] = [["engine-0", "engine-1"], ["engine-2", "engine-3"]];

fn set_random_delay(wire: &Wire, random: &mut SmallRng) {
    wire.set_delay(Duration::from_millis(random.random_range(5..150)));
}

/// Returns the keeper that the fault affects, or [`KEEPERS`] for all of them.
fn keeper_of(fault: Fault) -> Option<usize> {
    match fault {
        Fault::KillKeeper(number)
        | Fault::FreezeKeeper(number)
        | Fault::WipeKeeper(number)
        | Fault::TearKeeper(number)
        | Fault::CutKeeper(number)
        | Fault::SlowKeeper(number)
        | Fault::SilenceKeeper(number, _)
        | Fault::ResetKeeper(number) => Some(number),
        Fault::KillKeepers => Some(KEEPERS),
        _ => None,
    }
}

fn gateway_of(fault: Fault) -> Option<usize> {
    match fault {
        Fault::KillGateway(number) | Fault::StopGateway(number) | Fault::FreezeGateway(number) => {
            Some(number)
        }
        _ => None,
    }
}

/// Runs the soak with one seed, injecting faults for `length`, and checks what
/// callers and servers observed.
///
/// # Errors
///
/// Returns every broken promise, followed by the log of the faults.
pub async fn run(seed: u64, length: Duration) -> Result<Summary, Vec<String>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let switches = Switches {
        reports: true,
        queue: true,
        overload: true,
        ..Switches::default()
    };
    let mut site =
        PlatformSite::start_wired_switched(GATEWAYS, KEEPERS, TOLERATED_LOSSES, switches).await;
    for _ in ENGINES[1] {
        site.add_engine_of(SECOND_VERSION).await;
    }
    for (number, engine) in site.engines.iter().enumerate() {
        let first = number < ENGINES[0].len();
        engine.set_version(if first { FIRST_VERSION } else { SECOND_VERSION });
    }
    site.store.put("op/config", &routing(FIRST_ROUTING));
    for number in 0..GATEWAYS {
        site.wait_for_routing(number, FIRST_ROUTING).await;
    }
    // The site's first routing has no workspaces. A keeper that stops before it has
    // stored the next one, and gateways that start while the store is cut off, would
    // go back to it.
    site.wait_for_stored_workspaces().await;
    let fragile = Supervisor::start(&site.store, soak_fatal::SERVICE, soak_fatal::SERVERS).await;
    let records = Records::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let gateways: Vec<String> = (0..GATEWAYS).map(|number| site.callers(number)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(number, seed, gateways.clone(), records.clone());
            smol::spawn(caller.run(stopped.clone()))
        })
        .collect();
    let fatal = FatalRequests::default();
    let fatal_callers: Vec<_> = (0..FATAL_CALLERS)
        .map(|number| {
            let caller = FatalCaller::new(number, seed, gateways.clone(), fatal.clone());
            smol::spawn(caller.run(stopped.clone()))
        })
        .collect();
    let mut faulty = FaultySite {
        site,
        version: FIRST_ROUTING,
        active: Vec::new(),
        wiped: None,
        restarts: Restarts::new(seed),
        trace: Vec::new(),
        spans: Vec::new(),
    };
    let faults = inject_faults(&mut faulty, length, &mut random).await;
    let mut broken = Vec::new();
    let ended = faulty.site.ended();
    if !ended.is_empty() {
        broken.push(format!("processes exited unexpectedly: {ended:?}"));
    }
    broken.extend(wait_for_recovery(&faulty, &records).await.err());
    let failed = faulty.restarts.failed().await;
    if failed > 0 {
        broken.push(format!(
            "{failed} processes that were replaced did not end in order"
        ));
    }
    if ended.is_empty() {
        broken.extend(over_memory(&mut faulty.site));
    }
    drop(stop);
    for caller in callers {
        caller.await;
    }
    for caller in fatal_callers {
        caller.await;
    }
    let site = &faulty.site;
    let servers = [&site.engines[..], &site.plain].concat();
    let mut runs: Vec<Run> = servers.iter().flat_map(|server| server.runs()).collect();
    runs.extend(fragile.runs());
    let records = records.all();
    broken.extend(check(&records, &runs));
    broken.extend(fatal.broken(site, &fragile, &faulty.spans));
    let wronged = records.iter().filter(|record| record.is_refused_for_good());
    let wronged = wronged.count();
    if wronged > MAX_WRONGLY_REFUSED {
        broken.push(format!(
            "{wronged} requests that end no server were refused"
        ));
    }
    if broken.is_empty() {
        Ok(Summary {
            attempts: records.len(),
            answered: records.iter().filter(|record| record.is_complete()).count(),
            faults,
            resumed: records.iter().filter(|record| record.is_resumed()).count(),
            continued: records.iter().filter(|record| record.continues()).count(),
            refused: fatal.refused(),
            ended: fragile.ended(),
            most_ended: fatal.most_ended(&fragile),
        })
    } else {
        broken.extend(faulty.trace);
        Err(broken)
    }
}

/// Injects faults for `length`, undoes all of them, and returns how many there
/// were.
async fn inject_faults(faulty: &mut FaultySite, length: Duration, random: &mut SmallRng) -> usize {
    let length = length.as_millis() as u64;
    let (mut now, mut count) = (0, 0);
    while now < length {
        let fault = random_fault(random);
        if !faulty.is_busy(fault) && faulty.may_wipe(fault).await {
            faulty.trace.push(format!("{now} ms: {fault:?}"));
            faulty.inject(fault, random).await;
            let duration = random.random_range(50..MAX_FAULT_MS);
            if gateway_of(fault).is_some() || keeper_of(fault).is_some() {
                let start = Instant::now();
                let end = start + Duration::from_millis(duration) + KNOWN_AGAIN;
                faulty.spans.push((start, end));
            }
            faulty.active.push((now + duration, fault));
            count += 1;
        }
        if faulty.restart_one().await {
            let start = Instant::now();
            faulty
                .spans
                .push((start, start + RESTART_TIME + KNOWN_AGAIN));
        }
        let pause = random.random_range(0..MAX_PAUSE_MS);
        smol::Timer::after(Duration::from_millis(pause)).await;
        now += pause;
        let (due, later) = faulty.active.drain(..).partition(|(at, _)| *at <= now);
        faulty.active = later;
        for (_, fault) in due {
            faulty.trace.push(format!("{now} ms: undone: {fault:?}"));
            faulty.undo(fault, random).await;
        }
    }
    for (_, fault) in std::mem::take(&mut faulty.active) {
        faulty.undo(fault, random).await;
    }
    count
}

/// Returns the keepers that have used more than their memory since they started.
fn over_memory(site: &mut PlatformSite) -> Vec<String> {
    let mut broken = Vec::new();
    for number in 0..KEEPERS {
        let most = site.keeper_settings(number).memory_bytes();
        let used = site.process(&format!("keeper-{number}")).peak_memory();
        if used > most {
            broken.push(format!("keeper-{number} used {used} of {most} bytes"));
        }
    }
    broken
}

/// Waits until each gateway serves a turn that continues one from the run.
async fn wait_for_recovery(faulty: &FaultySite, records: &Records) -> Result<(), String> {
    let site = &faulty.site;
    let earlier = records
        .all()
        .into_iter()
        .find(|record| record.is_turn() && record.is_complete());
    let Some(earlier) = earlier else {
        return Err("no turn was answered completely during the run".to_owned());
    };
    let key = earlier.workspace.map_or("", |(_, key)| key);
    let token = format!("Token {key}");
    let all = async {
        for number in 0..GATEWAYS {
            loop {
                let program = format!("after-{number}");
                let headers = [
                    ("authorization", token.as_str()),
                    ("x-program-id", program.as_str()),
                    ("x-session-id", "line"),
                    ("x-token-usage", "10,50"),
                    ("x-previous-turn", &earlier.attempt),
                ];
                let answer = site
                    .send(number, "POST", "/stream/kept/a", &headers, "more")
                    .await;
                match answer {
                    Ok(answer) if answer.status == 200 && answer.whole => break,
                    Ok(answer) if answer.status == 404 => {
                        return Err(format!(
                            "turn {} is unknown after the faults",
                            earlier.attempt
                        ));
                    }
                    _ => smol::Timer::after(Duration::from_millis(100)).await,
                };
            }
        }
        Ok(())
    };
    limpetferry_net::timeout::within(RECOVERY_TIMEOUT, all)
        .await
        .unwrap_or_else(|| {
            Err(format!(
                "some gateways did not serve within {RECOVERY_TIMEOUT:?} after the last fault"
            ))
        })
}

/// Returns the promises that the records and runs show to be broken.
fn check(records: &[Record], runs: &[Run]) -> Vec<String> {
    let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_attempt.entry(&run.attempt).or_default().push(run);
    }
    let mut broken = Vec::new();
    let mut token_totals: HashMap<&str, (u64, u64)> = HashMap::new();
    for record in records {
        let runs = by_attempt
            .get(record.attempt.as_str())
            .map_or(&[][..], Vec::as_slice);
        broken.extend(record.broken_promises(runs));
        if let Some(budget) = record.budget {
            let received = token_totals.entry(&record.program).or_insert((0, budget));
            received.0 += record.tokens();
        }
    }
    for (program, (tokens, budget)) in token_totals {
        if tokens > budget + Caller::MAX_TURN_TOKENS {
            broken.push(format!(
                "program {program} received {tokens} tokens; its budget is {budget}"
            ));
        }
    }
    broken
}
