//! A randomized soak: gateways and keepers as processes of their own, callers
//! that keep their connections, and faults from outside that come in series
//! and overlap. What callers and servers saw is checked against what the
//! product promises.

use std::collections::HashMap;
use std::time::Duration;

use limpetferry_lib::switches::Switches;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::platform_server::Behaviour;
use crate::platform_server::Run;
use crate::platform_site::PlatformSite;
use crate::platform_site::keyed_routing;
use crate::soak_caller::Caller;
use crate::soak_caller::Record;
use crate::soak_caller::Records;
use crate::wire::Way;
use crate::wire::Wire;

/// Version of the first routing document with workspaces.
const FIRST_VERSION: u64 = 2;
/// Gateways of the site.
const GATEWAYS: usize = 2;
/// Keepers of the site; one may lose its disk at a time.
const KEEPERS: usize = 4;
/// Keepers that may be lost at once.
const FAULTS: usize = 1;
/// Callers at once.
const CALLERS: usize = 6;
/// Longest time that a fault lasts, in milliseconds; a link that is silent is
/// found within 2 s and dialled anew.
const LONGEST_FAULT: u64 = 1_500;
/// Longest pause between two faults, so that some overlap.
const LONGEST_PAUSE: u64 = 700;
/// Requests in a row that a server treats badly: enough that callers of each
/// kind meet one.
const BEHAVES: usize = 5;
/// Longest time after the last fault until everything is served again: links
/// are dialled anew within a second, and a keeper that is back copies.
const RECOVERY: Duration = Duration::from_secs(20);

/// What was seen in a run that held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Attempts of callers.
    pub attempts: usize,
    /// Those that were answered whole.
    pub answered: usize,
    /// Faults that were injected.
    pub faults: usize,
}

/// Something that goes wrong for a while.
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
}

fn draw(random: &mut SmallRng) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let keeper = random.random_range(0..KEEPERS);
    let server = random.random_range(0..4);
    let way = [Way::Forth, Way::Back, Way::Both][random.random_range(0..3)];
    let behaviours = [
        Behaviour::CutAfter(random.random_range(0..5)),
        Behaviour::LoseAnswer,
        Behaviour::Hang,
        Behaviour::Shed,
        Behaviour::Replaced,
        Behaviour::Status(500),
        Behaviour::Unsigned,
        Behaviour::Crossed,
    ];
    match random.random_range(0..28) {
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
        _ => Fault::Behave(server, behaviours[random.random_range(0..behaviours.len())]),
    }
}

/// The site under faults.
struct FaultySite {
    site: PlatformSite,
    version: u64,
    /// What has to be undone, and when: the later faults of the same kind wait.
    undo: Vec<(u64, Fault)>,
    /// The keeper that lost its disk last: another one may lose its own only
    /// once it has copied.
    wiped: Option<usize>,
    /// What was done, and when, for a run that fails.
    trace: Vec<String>,
}

impl FaultySite {
    /// Returns whether a fault of the same process or wire is still there.
    fn is_busy(&self, fault: Fault) -> bool {
        let busy = |other: &Fault| match (fault, *other) {
            (Fault::KillKeepers, other) | (other, Fault::KillKeepers) => keeper(other).is_some(),
            (a, b) => {
                let same = keeper(a).is_some() && keeper(a) == keeper(b);
                same || (gateway(a).is_some() && gateway(a) == gateway(b))
            }
        };
        self.undo.iter().any(|(_, other)| busy(other))
    }

    /// Returns whether a fault leaves enough disks: only one may be lost before
    /// its keeper has copied again.
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
                site.process(&format!("gateway-{number}")).ask_stop().await;
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
            Fault::SlowKeeper(number) => slow(&site.wires.keepers[number], random),
            Fault::CutStore => site.wires.store[0].set_cut(true),
            Fault::ResetStore => site.wires.store[0].reset(),
            Fault::LoseStoreAnswers => site.wires.store[0].silence(Way::Back),
            Fault::ResetServer(number) => site.wires.servers[number].reset(),
            Fault::SilenceServer(number) => site.wires.servers[number].silence(Way::Both),
            Fault::SlowServer(number) => slow(&site.wires.servers[number], random),
            Fault::Behave(number, behaviour) => {
                let all = [&site.engines[..], &site.plain].concat();
                all[number].behave([behaviour; BEHAVES]);
            }
            Fault::Routing => {
                self.version += 1;
                site.store.put("op/config", &keyed_routing(self.version));
            }
            Fault::Drain(number) => site.set_state(SERVERS[number], "draining"),
        }
    }

    async fn undo(&mut self, fault: Fault, random: &mut SmallRng) {
        let site = &mut self.site;
        match fault {
            Fault::KillGateway(number) => site.start_gateway(number),
            Fault::StopGateway(number) => {
                site.process(&format!("gateway-{number}")).ended().await;
                site.start_gateway(number);
            }
            Fault::FreezeGateway(number) => site.process(&format!("gateway-{number}")).thaw(),
            Fault::FreezeKeeper(number) => site.process(&format!("keeper-{number}")).thaw(),
            Fault::KillKeeper(number) => site.start_keeper(number),
            Fault::KillKeepers => (0..KEEPERS).for_each(|number| site.start_keeper(number)),
            Fault::WipeKeeper(number) => {
                site.wipe(number);
                site.start_keeper(number);
            }
            Fault::TearKeeper(number) => {
                let size = random.random_range(1..200);
                let bytes: Vec<u8> = (0..size).map(|_| random.random()).collect();
                site.tear(number, &bytes);
                site.start_keeper(number);
            }
            Fault::CutKeeper(number) => site.wires.keepers[number].set_cut(false),
            Fault::SlowKeeper(number) => site.wires.keepers[number].set_delay(Duration::ZERO),
            Fault::SlowServer(number) => site.wires.servers[number].set_delay(Duration::ZERO),
            Fault::CutStore => site.wires.store[0].set_cut(false),
            Fault::Drain(number) => site.set_state(SERVERS[number], "ready"),
            _ => {}
        }
    }
}

/// Ids of the servers, in the order in which they were added.
const SERVERS: [&str; 4] = ["engine-0", "plain-0", "engine-1", "plain-1"];

fn slow(wire: &Wire, random: &mut SmallRng) {
    wire.set_delay(Duration::from_millis(random.random_range(5..150)));
}

fn keeper(fault: Fault) -> Option<usize> {
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

fn gateway(fault: Fault) -> Option<usize> {
    match fault {
        Fault::KillGateway(number) | Fault::StopGateway(number) | Fault::FreezeGateway(number) => {
            Some(number)
        }
        _ => None,
    }
}

/// Runs one seed, with faults for `length`, and checks what was seen.
///
/// # Errors
///
/// Returns every promise that did not hold.
pub async fn run(seed: u64, length: Duration) -> Result<Summary, Vec<String>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let switches = Switches {
        reports: true,
        queue: true,
        overload: true,
        ..Switches::default()
    };
    let site = PlatformSite::start_wired_switched(GATEWAYS, KEEPERS, FAULTS, switches).await;
    site.store.put("op/config", &keyed_routing(FIRST_VERSION));
    for number in 0..GATEWAYS {
        site.wait_for_routing(number, FIRST_VERSION).await;
    }
    let records = Records::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let gateways: Vec<String> = (0..GATEWAYS).map(|number| site.callers(number)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(number, seed, gateways.clone(), records.clone());
            smol::spawn(caller.run(stopped.clone()))
        })
        .collect();
    let mut faulty = FaultySite {
        site,
        version: FIRST_VERSION,
        undo: Vec::new(),
        wiped: None,
        trace: Vec::new(),
    };
    let faults = disturb(&mut faulty, length, &mut random).await;
    let mut broken = Vec::new();
    let ended = faulty.site.ended();
    if !ended.is_empty() {
        broken.push(format!("these processes ended by themselves: {ended:?}"));
    }
    broken.extend(recover(&faulty, &records).await.err());
    drop(stop);
    for caller in callers {
        caller.await;
    }
    let site = &faulty.site;
    let servers = [&site.engines[..], &site.plain].concat();
    let runs: Vec<Run> = servers.iter().flat_map(|server| server.runs()).collect();
    let records = records.all();
    broken.extend(check(&records, &runs));
    if broken.is_empty() {
        Ok(Summary {
            attempts: records.len(),
            answered: records.iter().filter(|record| record.is_whole()).count(),
            faults,
        })
    } else {
        broken.extend(faulty.trace);
        Err(broken)
    }
}

/// Injects faults for `length`, undoes all of them and returns their number.
async fn disturb(faulty: &mut FaultySite, length: Duration, random: &mut SmallRng) -> usize {
    let length = length.as_millis() as u64;
    let (mut now, mut count) = (0, 0);
    while now < length {
        let fault = draw(random);
        if !faulty.is_busy(fault) && faulty.may_wipe(fault).await {
            faulty.trace.push(format!("{now} ms: {fault:?}"));
            faulty.inject(fault, random).await;
            let lasts = random.random_range(50..LONGEST_FAULT);
            faulty.undo.push((now + lasts, fault));
            count += 1;
        }
        let pause = random.random_range(0..LONGEST_PAUSE);
        smol::Timer::after(Duration::from_millis(pause)).await;
        now += pause;
        let (due, later) = faulty.undo.drain(..).partition(|(at, _)| *at <= now);
        faulty.undo = later;
        for (_, fault) in due {
            faulty.trace.push(format!("{now} ms: over: {fault:?}"));
            faulty.undo(fault, random).await;
        }
    }
    for (_, fault) in std::mem::take(&mut faulty.undo) {
        faulty.undo(fault, random).await;
    }
    count
}

/// Waits until each gateway serves a turn that goes on from an old one.
async fn recover(faulty: &FaultySite, records: &Records) -> Result<(), String> {
    let site = &faulty.site;
    let old = records
        .all()
        .into_iter()
        .find(|record| record.is_turn() && record.is_whole());
    let Some(old) = old else {
        return Err("no turn was answered in the whole run".to_owned());
    };
    let key = old.workspace.map_or("", |(_, key)| key);
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
                    ("x-previous-turn", &old.attempt),
                ];
                let answer = site
                    .send(number, "POST", "/stream/kept/a", &headers, "more")
                    .await;
                match answer {
                    Ok(answer) if answer.status == 200 && answer.whole => break,
                    Ok(answer) if answer.status == 404 => {
                        return Err(format!(
                            "turn {} is not found after the faults",
                            old.attempt
                        ));
                    }
                    _ => smol::Timer::after(Duration::from_millis(100)).await,
                };
            }
        }
        Ok(())
    };
    limpetferry_net::timeout::within(RECOVERY, all)
        .await
        .unwrap_or_else(|| {
            Err(format!(
                "not all gateways serve {RECOVERY:?} after the last fault"
            ))
        })
}

/// Returns what was promised and did not hold.
fn check(records: &[Record], runs: &[Run]) -> Vec<String> {
    let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_attempt.entry(&run.attempt).or_default().push(run);
    }
    let mut broken = Vec::new();
    let mut handed: HashMap<&str, (u64, u64)> = HashMap::new();
    for record in records {
        let runs = by_attempt
            .get(record.attempt.as_str())
            .map_or(&[][..], Vec::as_slice);
        broken.extend(record.broken(runs));
        if let Some(budget) = record.budget {
            let program = handed.entry(&record.program).or_insert((0, budget));
            program.0 += record.tokens();
        }
    }
    for (program, (tokens, budget)) in handed {
        if tokens > budget + Caller::MOST_TOKENS {
            broken.push(format!(
                "program {program} was handed {tokens} tokens of {budget}"
            ));
        }
    }
    broken
}
