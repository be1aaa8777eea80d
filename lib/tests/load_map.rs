//! What gateways learn of load from each other through keepers: bursts at few
//! and many gateways, a keeper that is lost, and odd reports, without a network.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::allowance::ProcessStart;
use limpetferry_lib::call::Part;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::id::Boot;
use limpetferry_lib::load_map::LoadMap;
use limpetferry_lib::load_map::MAX_SAMPLES;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::load_report::LoadReport;
use limpetferry_lib::load_report::LoadSummary;
use limpetferry_lib::load_report::ServerSample;
use limpetferry_lib::load_report::ServerStart;
use limpetferry_lib::load_report::ServiceLoads as _;
use limpetferry_lib::load_report::ServiceUse;
use limpetferry_lib::place::Place;
use limpetferry_lib::report_times::Duty;
use limpetferry_lib::report_times::ReportTimes;
use limpetferry_lib::request_rates::Counts;
use limpetferry_lib::server::Load;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::service_loads::KnownLoads;
use limpetferry_lib::service_loads::OwnUse;
use limpetferry_lib::time::Time;

/// Error of an estimate that decisions still bear.
const MOST_ERROR: f64 = 0.2;
/// Time between a gateway's looks whether a report is due, in ms.
const LOOK: u64 = 50;
/// Way to a keeper and back, in ms.
const WAY: u64 = 10;
/// Start and end of the burst, in ms.
const BURST: [u64; 2] = [2_000, 3_000];
/// Factor by which load grows in the burst.
const GROWTH: f64 = 2.5;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn start(node: &str, boot: u64) -> ProcessStart {
    ProcessStart {
        node: node.into(),
        boot: Boot(boot),
    }
}

fn state(node: &str) -> GatewayState {
    GatewayState {
        node: node.into(),
        centre: "here".into(),
        address: None,
        link_mbps: 100,
        cpu_milli: 1_000,
        late_ms: 0,
        requests: 0,
    }
}

fn report(node: &str, running: u32) -> LoadReport {
    LoadReport {
        gateway: state(node),
        services: vec![ServiceUse {
            service: "engine".into(),
            running,
            queued: 0,
            ended: 0,
            shed: 0,
        }],
        servers: Vec::new(),
        places: Vec::new(),
    }
}

fn server(number: u32) -> Server {
    let [_, high, middle, low] = number.to_be_bytes();
    Server {
        id: format!("server-{number}").into(),
        born: None,
        service: "engine".into(),
        address: ([10, high, middle, low], 8_000).into(),
        centre: "here".into(),
        slots: 16,
        state: ServerState::Ready,
    }
}

fn fleet(count: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.put(server(number));
    }
    fleet
}

fn sample(number: u32, running: u32) -> ServerSample {
    ServerSample {
        start: server(number).start(),
        load: Load {
            running,
            slots: 16,
            ..Load::default()
        },
        age_ms: 0,
    }
}

fn sampled(node: &str, servers: Vec<ServerSample>) -> LoadReport {
    LoadReport {
        servers,
        ..report(node, 0)
    }
}

fn others(summary: &LoadSummary) -> u32 {
    summary.services.first().map_or(0, |load| load.running)
}

/// A gateway whose requests are known.
struct Gateway {
    name: Arc<str>,
    share: f64,
    /// Part of a request by which it is ahead of others.
    rest: f64,
    known: KnownLoads,
    times: [ReportTimes; 2],
}

impl Gateway {
    /// Returns its requests: its share of what all have.
    fn running(&self, now: u64) -> u32 {
        let [from, to] = BURST.map(|time| time as f64);
        let part = ((now as f64 - from) / (to - from)).clamp(0.0, 1.0);
        (self.share * (1.0 + (GROWTH - 1.0) * part) + self.rest) as u32
    }

    /// Reports to the keepers that are there, as far as it is due.
    fn look(&mut self, now: u64, keepers: &mut [Option<LoadMap>; 2], missed: bool) {
        let own = OwnUse {
            service: "engine".into(),
            slots: 1_000,
            counts: Counts {
                running: self.running(now),
                ..Counts::default()
            },
        };
        self.known.set_own(at(now), [own]);
        let reporters = self.known.reporters(at(now));
        let busy = self.known.requests() > 0;
        for (number, keeper) in keepers.iter_mut().enumerate() {
            let first = number == 0 || missed;
            let duty = if first { Duty::First } else { Duty::Second };
            if !self.times[number].is_due(at(now), duty, busy, reporters) {
                continue;
            }
            self.times[number].note(at(now), busy);
            let report = LoadReport {
                services: self.known.uses(),
                ..report(&self.name, 0)
            };
            if let Some(keeper) = keeper {
                let asker = start(&self.name, 1);
                let summary = keeper.take(at(now + WAY), &asker, &report, &Fleet::default());
                let name = format!("keeper-{number}").into();
                self.known.hear(&name, at(now), summary);
            }
        }
    }
}

/// Returns the largest error of any gateway's estimate in a burst from `since`
/// on, where `count` gateways report at different times and the keeper in
/// charge is lost at `lost`.
fn largest_error(count: usize, since: u64, lost: Option<u64>) -> f64 {
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|number| Gateway {
            name: format!("gateway-{number}").into(),
            share: 300.0 / count as f64 * (0.5 + (number % 3) as f64 * 0.5),
            rest: (number as f64 * 0.618).fract(),
            known: KnownLoads::default(),
            times: Default::default(),
        })
        .collect();
    let mut keepers = [Some(LoadMap::default()), Some(LoadMap::default())];
    let mut largest = 0.0_f64;
    for now in (0..5_000).step_by(10) {
        let gone = lost.is_some_and(|lost| now >= lost);
        if gone {
            keepers[0] = None;
        }
        // Its link counts as broken once it was silent for half a second.
        let missed = lost.is_some_and(|lost| now >= lost + 500);
        for (number, gateway) in gateways.iter_mut().enumerate() {
            let begun = number as u64 * 70 % 200;
            if now >= begun && (now - begun).is_multiple_of(LOOK) {
                gateway.look(now, &mut keepers, missed);
            }
        }
        let truth: u32 = gateways.iter().map(|gateway| gateway.running(now)).sum();
        for gateway in gateways.iter().filter(|_| now >= since) {
            let estimate = gateway.known.estimate(at(now), "engine");
            let running = estimate.map_or(f64::INFINITY, |estimate| estimate.running);
            largest = largest.max((running / f64::from(truth) - 1.0).abs());
        }
    }
    largest
}

#[test]
fn few_gateways_know_the_load_of_a_burst() {
    let error = largest_error(3, 1_000, None);

    assert!(error <= MOST_ERROR, "{error}");
}

#[test]
fn gateways_of_a_usual_site_know_the_load_of_a_burst() {
    let error = largest_error(27, 1_000, None);

    assert!(error <= MOST_ERROR, "{error}");
}

#[test]
fn many_gateways_know_the_load_of_a_burst() {
    let error = largest_error(60, 1_000, None);

    assert!(error <= MOST_ERROR, "{error}");
}

#[test]
fn load_is_known_a_second_after_the_keeper_in_charge_is_lost_in_a_burst() {
    let lost = BURST[0] + 300;

    let error = largest_error(27, lost + 1_000, Some(lost));

    assert!(error <= MOST_ERROR, "{error}");
}

/// A gateway without requests of its own that heard of 10 at `asked`.
fn heard(asked: u64) -> KnownLoads {
    let mut map = LoadMap::default();
    map.take(at(0), &start("b", 1), &report("b", 10), &Fleet::default());
    let summary = map.take(at(0), &start("a", 1), &report("a", 0), &Fleet::default());
    let mut known = KnownLoads::default();
    let own = OwnUse {
        service: "engine".into(),
        slots: 100,
        counts: Counts::default(),
    };
    known.set_own(at(0), [own]);
    known.hear(&"keeper".into(), at(asked), summary);
    known
}

#[test]
fn an_old_estimate_is_none() {
    let known = heard(1_000);

    let young = known.estimate(at(1_900), "engine");
    let old = known.estimate(at(2_100), "engine");

    assert!(young.is_some_and(|estimate| estimate.running == 10.0));
    assert_eq!(old, None);
}

#[test]
fn nothing_is_known_of_a_service_without_servers() {
    let known = heard(1_000);

    let estimate = known.estimate(at(1_000), "no such service");

    assert_eq!(estimate, None);
}

#[test]
fn requests_that_wait_in_the_gateway_count() {
    let mut known = heard(1_000);

    known.set_queued(&"engine".into(), 7);

    let estimate = known.estimate(at(1_000), "engine");
    assert!(estimate.is_some_and(|estimate| estimate.queued == 7.0));
    assert_eq!(known.uses()[0].queued, 7);
}

#[test]
fn a_keeper_that_has_just_started_does_not_hide_load() {
    let mut known = heard(1_000);
    let mut young = LoadMap::default();
    let own = report("a", 0);
    let summary = young.take(at(0), &start("a", 1), &own, &Fleet::default());

    known.hear(&"young keeper".into(), at(1_100), summary);

    let estimate = known.estimate(at(1_100), "engine");
    assert!(estimate.is_some_and(|estimate| estimate.running == 10.0));
}

#[test]
fn a_gateway_that_starts_again_replaces_its_earlier_start() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    map.take(at(0), &start("b", 1), &report("b", 40), &none);
    map.take(at(10), &start("b", 2), &report("b", 3), &none);

    let summary = map.take(at(20), &start("a", 1), &report("a", 5), &none);

    assert_eq!(others(&summary), 3);
    assert_eq!(summary.reporters, 2);
}

#[test]
fn a_gateway_that_starts_again_is_told_of_all_servers() {
    let mut map = LoadMap::default();
    let fleet = fleet(1);
    let told = sampled("b", vec![sample(0, 9)]);
    map.take(at(0), &start("b", 1), &told, &fleet);
    map.take(at(10), &start("a", 1), &report("a", 0), &fleet);

    let again = map.take(at(20), &start("a", 2), &report("a", 0), &fleet);

    assert_eq!(again.servers.len(), 1);
}

#[test]
fn requests_of_a_gateway_that_is_gone_no_longer_count() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    map.take(at(0), &start("b", 1), &report("b", 40), &none);

    let before = map.take(at(1_000), &start("a", 1), &report("a", 5), &none);
    let after = map.take(at(2_000), &start("a", 1), &report("a", 5), &none);

    assert_eq!(others(&before), 40);
    assert_eq!(others(&after), 0);
}

#[test]
fn rates_are_known_though_a_report_is_lost() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    for round in (0..20).filter(|round| round % 5 != 3) {
        let mut told = report("b", 10);
        told.services[0].ended = u32::MAX.wrapping_add(round * 20);
        told.services[0].shed = round * 4;
        map.take(at(u64::from(round) * 200), &start("b", 1), &told, &none);
    }

    let summary = map.take(at(3_900), &start("a", 1), &report("a", 0), &none);

    let load = &summary.services[0];
    assert!((load.rate - 100.0).abs() < 5.0, "{load:?}");
    assert!((load.shed_rate - 20.0).abs() < 1.0, "{load:?}");
}

#[test]
fn samples_of_others_are_told_once_with_their_age() {
    let mut map = LoadMap::default();
    let fleet = fleet(4);
    let take = |map: &mut LoadMap, now, node: &str, servers| {
        let summary = map.take(at(now), &start(node, 1), &sampled(node, servers), &fleet);
        summary.servers
    };
    take(&mut map, 0, "b", vec![sample(1, 2)]);
    take(&mut map, 100, "b", vec![sample(1, 9)]);
    let own = vec![sample(2, 5)];

    let first = take(&mut map, 150, "a", own);
    let second = take(&mut map, 160, "a", Vec::new());

    let expected = ServerSample {
        age_ms: 50,
        ..sample(1, 9)
    };
    assert_eq!(first, [expected]);
    assert_eq!(second, []);
}

#[test]
fn answers_before_12000_servers_tell_of_the_few_that_stand_out() {
    let mut map = LoadMap::default();
    let fleet = fleet(12_000);
    for number in 0..12_000 {
        // Every 300th one is full, in a gateway's share of all.
        let running = if number % 300 == 299 { 30 } else { 8 };
        let node = format!("gateway-{}", number % 100);
        let told = sampled(&node, vec![sample(number, running)]);
        map.take(at(u64::from(number / 24)), &start(&node, 1), &told, &fleet);
    }

    let summary = map.take(at(500), &start("a", 1), &report("a", 0), &fleet);

    assert!(summary.servers.len() <= MAX_SAMPLES);
    let full = summary.servers.iter().filter(|s| s.load.running == 30);
    assert_eq!(full.count(), 40);
}

#[test]
fn gateways_with_most_room_are_told_those_nearby_first() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    let mut take = |now, node: &str, centre: &str, link, requests, late| {
        let gateway = GatewayState {
            centre: centre.into(),
            address: Some(([10, 0, 0, 1], 80).into()),
            link_mbps: link,
            late_ms: late,
            requests,
            ..state(node)
        };
        let told = LoadReport {
            gateway,
            ..report(node, 0)
        };
        map.take(at(now), &start(node, 1), &told, &none).gateways
    };
    take(0, "weak", "here", 10, 20, 0);
    take(0, "strong", "here", 100, 20, 0);
    take(0, "late", "here", 100, 0, 80);
    take(0, "far", "there", 100, 0, 0);

    let gateways = take(200, "a", "here", 100, 0, 0);

    let names: Vec<&str> = gateways.iter().map(|state| &*state.node).collect();
    assert_eq!(names, ["strong", "weak", "far"]);
}

#[test]
fn no_more_than_eight_gateways_are_told() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    for number in 0..20 {
        let node = format!("gateway-{number}");
        let mut told = report(&node, 0);
        told.gateway.address = Some(([10, 0, 0, 1], 80).into());
        map.take(at(0), &start(&node, 1), &told, &none);
    }

    let summary = map.take(at(200), &start("a", 1), &report("a", 0), &none);

    assert_eq!(summary.gateways.len(), 8);
}

#[test]
fn odd_reports_do_no_harm() {
    let mut map = LoadMap::default();
    let fleet = fleet(2);
    let odd = |number, running, slots, age_ms| ServerSample {
        load: Load {
            running,
            waiting: u32::MAX,
            slots,
            pace: Some(u32::MAX),
        },
        age_ms,
        ..sample(number, 0)
    };
    let unknown = ServerSample {
        start: ServerStart(7),
        ..sample(0, 1)
    };
    let service = ServiceUse {
        service: "engine".into(),
        running: u32::MAX,
        queued: u32::MAX,
        ended: u32::MAX,
        shed: u32::MAX,
    };
    let told = LoadReport {
        gateway: GatewayState {
            link_mbps: 0,
            cpu_milli: u32::MAX,
            requests: u32::MAX,
            address: Some(([10, 0, 0, 1], 80).into()),
            ..state("someone else")
        },
        services: vec![service.clone(), service],
        servers: vec![
            odd(0, u32::MAX, 0, 0),
            odd(1, 0, u32::MAX, u32::MAX),
            unknown,
        ],
        places: vec![Place {
            start: u64::MAX,
            part: Part {
                id: 0,
                tokens: u64::MAX,
            },
        }],
    };

    for now in [500, 500, 400, 90_000] {
        map.take(at(now), &start("b", 1), &told, &fleet);
        map.take(at(now), &start("c", 1), &told, &fleet);
    }
    let summary = map.take(at(90_000), &start("a", 1), &report("a", 0), &fleet);

    assert_eq!(others(&summary), u32::MAX);
    assert_eq!(summary.servers.len(), 1);
    assert_eq!(summary.gateways, []);
    let mut known = KnownLoads::default();
    known.hear(&"keeper".into(), at(0), summary.clone());
    let mut fleet = fleet;
    fleet.hear_loads(at(0), &summary.servers);
    fleet.hear_loads(at(0), &told.servers);
    known.set_own(at(0), fleet.own_uses());
    let estimate = known.estimate(at(0), "engine").expect("it is known");
    assert!(estimate.utilization().is_finite());
    assert!(estimate.wait() <= Duration::from_secs(10));
}

#[test]
fn a_gateway_without_requests_reports_seldom() {
    let mut times = ReportTimes::default();
    times.note(at(0), false);

    let idle = times.is_due(at(500), Duty::First, false, 24);
    let busy = times.is_due(at(100), Duty::First, true, 24);

    assert!(!idle);
    assert!(busy);
}

#[test]
fn the_end_of_the_last_request_is_reported_soon() {
    let mut times = ReportTimes::default();
    times.note(at(0), true);

    let due = times.is_due(at(100), Duty::First, false, 24);

    assert!(due);
}

#[test]
fn many_gateways_report_less_often() {
    let mut times = ReportTimes::default();
    times.note(at(0), true);

    let few = times.is_due(at(100), Duty::First, true, 60);
    let many = times.is_due(at(100), Duty::First, true, 810);
    let late = times.is_due(at(500), Duty::Second, true, 810);

    assert!(few);
    assert!(!many);
    assert!(late);
}

#[test]
fn a_shared_part_that_one_gateway_had_read_is_told_to_the_others_once() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    let place = Place {
        start: 7,
        part: Part {
            id: 1,
            tokens: 12_000,
        },
    };
    let reader = LoadReport {
        places: vec![place],
        ..report("reader", 0)
    };
    let mut take =
        |millis, node, told: &LoadReport| map.take(at(millis), &start(node, 1), told, &none).places;
    let idle = report("other", 0);
    take(0, "other", &idle);

    let own = take(10, "reader", &reader);
    let first = take(100, "other", &idle);
    let second = take(200, "other", &idle);

    assert_eq!(own, []);
    assert_eq!(first, [place]);
    assert_eq!(second, []);
}

#[test]
fn places_that_come_in_masses_are_told_in_bounded_answers() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    let place = |id| Place {
        start: id,
        part: Part { id, tokens: 100 },
    };
    for round in 0..50 {
        let reader = LoadReport {
            places: (0..1_000).map(|id| place(round * 1_000 + id)).collect(),
            ..report("reader", 0)
        };
        map.take(at(round), &start("reader", 1), &reader, &none);
    }

    let told = map.take(at(100), &start("other", 1), &report("other", 0), &none);

    assert!((1..=256).contains(&told.places.len()));
}
