//! Load reports that gateways exchange through keepers, without a network: bursts
//! with few and many gateways, the loss of a keeper, and extreme reports.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::allowance::ProcessStart;
use limpetferry_lib::call::Part;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::id::Boot;
use limpetferry_lib::load_estimator::LoadEstimator;
use limpetferry_lib::load_estimator::OwnUse;
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
use limpetferry_lib::report_schedule::KeeperRole;
use limpetferry_lib::report_schedule::ReportSchedule;
use limpetferry_lib::request_rates::RequestCounts;
use limpetferry_lib::server::Load;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::time::Time;

/// Relative error of an estimate that decisions still tolerate.
const MAX_ERROR: f64 = 0.2;
/// Interval at which a gateway checks whether a report is due.
const CHECK_INTERVAL_MS: u64 = 50;
/// Round-trip time to a keeper.
const ROUND_TRIP_MS: u64 = 10;
/// Start and end of the burst.
const BURST_MS: [u64; 2] = [2_000, 3_000];
/// Factor by which the load grows in the burst.
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
        started_at: None,
        service: "engine".into(),
        version: ServerVersion::new("v1"),
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

/// A simulated gateway with a given number of requests.
struct Gateway {
    name: Arc<str>,
    share: f64,
    /// Fraction of a request, so that gateways round their requests differently.
    fraction: f64,
    known: LoadEstimator,
    times: [ReportSchedule; 2],
}

impl Gateway {
    /// Returns the number of its requests, a share of the total.
    fn running(&self, now: u64) -> u32 {
        let [from, to] = BURST_MS.map(|time| time as f64);
        let part = ((now as f64 - from) / (to - from)).clamp(0.0, 1.0);
        (self.share * (1.0 + (GROWTH - 1.0) * part) + self.fraction) as u32
    }

    /// Reports to the available keepers for which a report is due.
    fn report_if_due(&mut self, now: u64, keepers: &mut [Option<LoadMap>; 2], failed_over: bool) {
        let own = OwnUse {
            service: "engine".into(),
            slots: 1_000,
            counts: RequestCounts {
                running: self.running(now),
                ..RequestCounts::default()
            },
        };
        self.known.set_own(at(now), [own]);
        let reporters = self.known.reporters(at(now));
        let busy = self.known.requests() > 0;
        for (number, keeper) in keepers.iter_mut().enumerate() {
            let first = number == 0 || failed_over;
            let role = if first {
                KeeperRole::Primary
            } else {
                KeeperRole::Standby
            };
            if !self.times[number].is_due(at(now), role, busy, reporters) {
                continue;
            }
            self.times[number].record(at(now), busy);
            let report = LoadReport {
                services: self.known.uses(),
                ..report(&self.name, 0)
            };
            if let Some(keeper) = keeper {
                let sender = start(&self.name, 1);
                let summary = keeper.apply_report(
                    at(now + ROUND_TRIP_MS),
                    &sender,
                    &report,
                    &Fleet::default(),
                );
                let name = format!("keeper-{number}").into();
                self.known.apply_summary(&name, at(now), summary);
            }
        }
    }
}

/// Returns the largest error of any gateway's estimate from `since` on, in a burst
/// where `count` gateways report at different times and the keeper in charge is
/// lost at `lost_at`.
fn largest_error(count: usize, since: u64, lost_at: Option<u64>) -> f64 {
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|number| Gateway {
            name: format!("gateway-{number}").into(),
            share: 300.0 / count as f64 * (0.5 + (number % 3) as f64 * 0.5),
            fraction: (number as f64 * 0.618).fract(),
            known: LoadEstimator::default(),
            times: Default::default(),
        })
        .collect();
    let mut keepers = [Some(LoadMap::default()), Some(LoadMap::default())];
    let mut largest = 0.0_f64;
    for now in (0..5_000).step_by(10) {
        let is_lost = lost_at.is_some_and(|lost| now >= lost);
        if is_lost {
            keepers[0] = None;
        }
        // The link counts as down after half a second of silence.
        let failed_over = lost_at.is_some_and(|lost| now >= lost + 500);
        for (number, gateway) in gateways.iter_mut().enumerate() {
            let begun = number as u64 * 70 % 200;
            if now >= begun && (now - begun).is_multiple_of(CHECK_INTERVAL_MS) {
                gateway.report_if_due(now, &mut keepers, failed_over);
            }
        }
        let actual: u32 = gateways.iter().map(|gateway| gateway.running(now)).sum();
        for gateway in gateways.iter().filter(|_| now >= since) {
            let estimate = gateway.known.estimate(at(now), "engine");
            let running = estimate.map_or(f64::INFINITY, |estimate| estimate.running);
            largest = largest.max((running / f64::from(actual) - 1.0).abs());
        }
    }
    largest
}

#[test]
fn the_load_of_a_burst_is_estimated_with_few_gateways() {
    let error = largest_error(3, 1_000, None);

    assert!(error <= MAX_ERROR, "{error}");
}

#[test]
fn the_load_of_a_burst_is_estimated_with_the_gateways_of_a_typical_site() {
    let error = largest_error(27, 1_000, None);

    assert!(error <= MAX_ERROR, "{error}");
}

#[test]
fn the_load_of_a_burst_is_estimated_with_many_gateways() {
    let error = largest_error(60, 1_000, None);

    assert!(error <= MAX_ERROR, "{error}");
}

#[test]
fn load_is_estimated_again_a_second_after_the_loss_of_the_keeper_in_charge() {
    let lost = BURST_MS[0] + 300;

    let error = largest_error(27, lost + 1_000, Some(lost));

    assert!(error <= MAX_ERROR, "{error}");
}

/// Returns the load as seen by a gateway without requests of its own, after an
/// answer, requested at `requested_at`, with 10 requests of another gateway.
fn known_loads(requested_at: u64) -> LoadEstimator {
    let mut map = LoadMap::default();
    map.apply_report(at(0), &start("b", 1), &report("b", 10), &Fleet::default());
    let summary = map.apply_report(at(0), &start("a", 1), &report("a", 0), &Fleet::default());
    let mut known = LoadEstimator::default();
    let own = OwnUse {
        service: "engine".into(),
        slots: 100,
        counts: RequestCounts::default(),
    };
    known.set_own(at(0), [own]);
    known.apply_summary(&"keeper".into(), at(requested_at), summary);
    known
}

#[test]
fn an_old_estimate_is_none() {
    let known = known_loads(1_000);

    let young = known.estimate(at(1_900), "engine");
    let old = known.estimate(at(2_100), "engine");

    assert!(young.is_some_and(|estimate| estimate.running == 10.0));
    assert_eq!(old, None);
}

#[test]
fn a_service_without_servers_has_no_estimate() {
    let known = known_loads(1_000);

    let estimate = known.estimate(at(1_000), "no such service");

    assert_eq!(estimate, None);
}

#[test]
fn queued_requests_of_the_gateway_count() {
    let mut known = known_loads(1_000);

    known.set_queued(&"engine".into(), 7);

    let estimate = known.estimate(at(1_000), "engine");
    assert!(estimate.is_some_and(|estimate| estimate.queued == 7.0));
    assert_eq!(known.uses()[0].queued, 7);
}

#[test]
fn a_keeper_that_has_just_started_does_not_hide_load() {
    let mut known = known_loads(1_000);
    let mut young = LoadMap::default();
    let own = report("a", 0);
    let summary = young.apply_report(at(0), &start("a", 1), &own, &Fleet::default());

    known.apply_summary(&"young keeper".into(), at(1_100), summary);

    let estimate = known.estimate(at(1_100), "engine");
    assert!(estimate.is_some_and(|estimate| estimate.running == 10.0));
}

#[test]
fn a_restarted_gateway_replaces_its_earlier_report() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    map.apply_report(at(0), &start("b", 1), &report("b", 40), &none);
    map.apply_report(at(10), &start("b", 2), &report("b", 3), &none);

    let summary = map.apply_report(at(20), &start("a", 1), &report("a", 5), &none);

    assert_eq!(others(&summary), 3);
    assert_eq!(summary.reporters, 2);
}

#[test]
fn a_restarted_gateway_receives_the_samples_of_all_servers() {
    let mut map = LoadMap::default();
    let fleet = fleet(1);
    let reported = sampled("b", vec![sample(0, 9)]);
    map.apply_report(at(0), &start("b", 1), &reported, &fleet);
    map.apply_report(at(10), &start("a", 1), &report("a", 0), &fleet);

    let again = map.apply_report(at(20), &start("a", 2), &report("a", 0), &fleet);

    assert_eq!(again.servers.len(), 1);
}

#[test]
fn requests_of_a_stopped_gateway_no_longer_count() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    map.apply_report(at(0), &start("b", 1), &report("b", 40), &none);

    let before = map.apply_report(at(1_000), &start("a", 1), &report("a", 5), &none);
    let after = map.apply_report(at(2_000), &start("a", 1), &report("a", 5), &none);

    assert_eq!(others(&before), 40);
    assert_eq!(others(&after), 0);
}

#[test]
fn rates_are_correct_despite_a_lost_report() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    for round in (0..20).filter(|round| round % 5 != 3) {
        let mut reported = report("b", 10);
        reported.services[0].ended = u32::MAX.wrapping_add(round * 20);
        reported.services[0].shed = round * 4;
        map.apply_report(at(u64::from(round) * 200), &start("b", 1), &reported, &none);
    }

    let summary = map.apply_report(at(3_900), &start("a", 1), &report("a", 0), &none);

    let load = &summary.services[0];
    assert!((load.rate - 100.0).abs() < 5.0, "{load:?}");
    assert!((load.shed_rate - 20.0).abs() < 1.0, "{load:?}");
}

#[test]
fn samples_of_others_are_returned_once_with_their_age() {
    let mut map = LoadMap::default();
    let fleet = fleet(4);
    let take = |map: &mut LoadMap, now, node: &str, servers| {
        let summary = map.apply_report(at(now), &start(node, 1), &sampled(node, servers), &fleet);
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
fn answers_for_12000_servers_contain_the_few_outliers() {
    let mut map = LoadMap::default();
    let fleet = fleet(12_000);
    for number in 0..12_000 {
        // Every 300th server is full; each gateway reports its share of the servers.
        let running = if number % 300 == 299 { 30 } else { 8 };
        let node = format!("gateway-{}", number % 100);
        let reported = sampled(&node, vec![sample(number, running)]);
        map.apply_report(
            at(u64::from(number / 24)),
            &start(&node, 1),
            &reported,
            &fleet,
        );
    }

    let summary = map.apply_report(at(500), &start("a", 1), &report("a", 0), &fleet);

    assert!(summary.servers.len() <= MAX_SAMPLES);
    let full = summary.servers.iter().filter(|s| s.load.running == 30);
    assert_eq!(full.count(), 40);
}

#[test]
fn gateways_with_most_spare_capacity_are_returned_those_nearby_first() {
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
        let reported = LoadReport {
            gateway,
            ..report(node, 0)
        };
        map.apply_report(at(now), &start(node, 1), &reported, &none)
            .gateways
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
fn at_most_eight_gateways_are_returned() {
    let mut map = LoadMap::default();
    let none = Fleet::default();
    for number in 0..20 {
        let node = format!("gateway-{number}");
        let mut reported = report(&node, 0);
        reported.gateway.address = Some(([10, 0, 0, 1], 80).into());
        map.apply_report(at(0), &start(&node, 1), &reported, &none);
    }

    let summary = map.apply_report(at(200), &start("a", 1), &report("a", 0), &none);

    assert_eq!(summary.gateways.len(), 8);
}

#[test]
fn extreme_reports_do_no_harm() {
    let mut map = LoadMap::default();
    let fleet = fleet(2);
    let extreme = |number, running, slots, age_ms| ServerSample {
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
    let reported = LoadReport {
        gateway: GatewayState {
            link_mbps: 0,
            cpu_milli: u32::MAX,
            requests: u32::MAX,
            address: Some(([10, 0, 0, 1], 80).into()),
            ..state("someone else")
        },
        services: vec![service.clone(), service],
        servers: vec![
            extreme(0, u32::MAX, 0, 0),
            extreme(1, 0, u32::MAX, u32::MAX),
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
        map.apply_report(at(now), &start("b", 1), &reported, &fleet);
        map.apply_report(at(now), &start("c", 1), &reported, &fleet);
    }
    let summary = map.apply_report(at(90_000), &start("a", 1), &report("a", 0), &fleet);

    assert_eq!(others(&summary), u32::MAX);
    assert_eq!(summary.servers.len(), 1);
    assert_eq!(summary.gateways, []);
    let mut known = LoadEstimator::default();
    known.apply_summary(&"keeper".into(), at(0), summary.clone());
    let mut fleet = fleet;
    fleet.apply_peer_loads(at(0), &summary.servers);
    fleet.apply_peer_loads(at(0), &reported.servers);
    known.set_own(at(0), fleet.own_uses());
    let estimate = known.estimate(at(0), "engine").expect("it is known");
    assert!(estimate.utilization().is_finite());
    assert!(estimate.wait() <= Duration::from_secs(10));
}

#[test]
fn an_idle_gateway_reports_less_often() {
    let mut times = ReportSchedule::default();
    times.record(at(0), false);

    let idle = times.is_due(at(500), KeeperRole::Primary, false, 24);
    let busy = times.is_due(at(100), KeeperRole::Primary, true, 24);

    assert!(!idle);
    assert!(busy);
}

#[test]
fn the_end_of_the_last_request_is_reported_soon() {
    let mut times = ReportSchedule::default();
    times.record(at(0), true);

    let due = times.is_due(at(100), KeeperRole::Primary, false, 24);

    assert!(due);
}

#[test]
fn many_gateways_report_less_often() {
    let mut times = ReportSchedule::default();
    times.record(at(0), true);

    let few = times.is_due(at(100), KeeperRole::Primary, true, 60);
    let many = times.is_due(at(100), KeeperRole::Primary, true, 810);
    let late = times.is_due(at(500), KeeperRole::Standby, true, 810);

    assert!(few);
    assert!(!many);
    assert!(late);
}

#[test]
fn a_shared_prompt_part_is_returned_to_other_gateways_once() {
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
    let mut take = |millis, node, sent: &LoadReport| {
        map.apply_report(at(millis), &start(node, 1), sent, &none)
            .places
    };
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
fn the_number_of_places_in_an_answer_is_bounded() {
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
        map.apply_report(at(round), &start("reader", 1), &reader, &none);
    }

    let answer = map.apply_report(at(100), &start("other", 1), &report("other", 0), &none);

    assert!((1..=256).contains(&answer.places.len()));
}
