//! Estimates of service times learned from answers, for engines of any speed.

use std::time::Duration;

use limpetferry_lib::service_time::RequestConditions;
use limpetferry_lib::service_time::ServiceTime;

/// An engine that prefills `per_ms` prompt tokens in a ms, interleaved with the
/// decoding of other requests.
#[derive(Clone, Copy)]
struct Engine {
    per_ms: f64,
    event_ms: f64,
}

impl Engine {
    fn first(&self, work: &RequestConditions, noise: f64) -> Duration {
        let read = work.uncached as f64 / self.per_ms;
        let others = work.others * 2.0;
        Duration::from_secs_f64((10.0 + read + others) * noise / 1_000.0)
    }

    fn rest(&self, work: &RequestConditions, events: u64) -> Duration {
        let each = self.event_ms * (1.0 + work.others / 48.0);
        Duration::from_secs_f64(each * (events - 1) as f64 / 1_000.0)
    }
}

fn work(uncached: u64, others: f64) -> RequestConditions {
    RequestConditions {
        uncached,
        others,
        slots: 48.0,
    }
}

/// Learns from requests with small and large prompts, one in twenty of which
/// takes much longer than it should.
fn serve(times: &mut ServiceTime, engine: Engine, count: u64) {
    for number in 0..count {
        let work = work(number * 977 % 6_000, (number * 7 % 24) as f64);
        let noise = if number % 20 == 19 { 8.0 } else { 1.0 };
        times.learn_first(&work, engine.first(&work, noise));
        times.learn_stream(&work, engine.rest(&work, 12), 12);
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one / other - 1.0).abs() < 0.25
}

#[test]
fn prefill_times_of_engines_of_any_speed_are_learned_from_their_answers() {
    for per_ms in [3.0, 30.0, 300.0] {
        let engine = Engine {
            per_ms,
            event_ms: 15.0,
        };
        let mut times = ServiceTime::default();

        serve(&mut times, engine, 400);

        let read = times.prefill_ms(3_000);
        assert!(is_near(read, 3_000.0 / per_ms), "{per_ms}: {times}");
    }
}

#[test]
fn estimates_follow_an_engine_that_slows_down_and_recovers() {
    let fast = Engine {
        per_ms: 100.0,
        event_ms: 5.0,
    };
    let slow = Engine {
        per_ms: 25.0,
        event_ms: 20.0,
    };
    let mut times = ServiceTime::default();

    serve(&mut times, fast, 400);
    serve(&mut times, slow, 1_000);
    let while_slow = times.prefill_ms(3_000);
    serve(&mut times, fast, 1_000);
    let after = times.prefill_ms(3_000);

    assert!(is_near(while_slow, 120.0), "{while_slow}");
    assert!(is_near(after, 30.0), "{after}");
}

#[test]
fn initial_costs_grow_with_the_load_and_the_tokens_to_prefill() {
    let times = ServiceTime::default();

    let idle = times.stream_cost(&work(0, 0.0));
    let busy = times.stream_cost(&work(0, 10.0));
    let cold = times.stream_cost(&work(3_000, 0.0));
    let full = times.stream_cost(&work(0, 60.0));

    assert!(idle < busy && busy < full, "{idle} {busy} {full}");
    assert!(cold > idle + 10.0, "{cold}");
}

#[test]
fn load_has_a_cost_although_answers_show_no_effect_of_it() {
    // All requests met the same load, so its slope cannot be learned.
    let engine = Engine {
        per_ms: 30.0,
        event_ms: 10.0,
    };
    let mut times = ServiceTime::default();
    for number in 0..400 {
        let work = work(number * 977 % 6_000, 0.0);
        times.learn_first(&work, engine.first(&work, 1.0));
    }

    let idle = times.stream_cost(&work(0, 0.0));
    let busy = times.stream_cost(&work(0, 20.0));

    assert!(busy > idle, "{idle} {busy}");
}

#[test]
fn times_of_plain_requests_are_learned() {
    let mut times = ServiceTime::default();
    for number in 0..400_u64 {
        let work = RequestConditions {
            uncached: 0,
            others: (number % 6) as f64,
            slots: 6.0,
        };
        let took = 20.0 + 5.0 * work.others;
        times.learn_plain(&work, Duration::from_secs_f64(took / 1_000.0));
    }

    let alone = times.plain_cost(&RequestConditions {
        uncached: 0,
        others: 0.0,
        slots: 6.0,
    });

    assert!(is_near(alone, 20.0), "{times}");
}

#[test]
fn slowdown_of_streams_grows_with_the_load_up_to_the_slots() {
    let times = ServiceTime::default();

    let idle = times.slowdown(0.0, 12.0);
    let half = times.slowdown(6.0, 12.0);
    let full = times.slowdown(11.0, 12.0);
    let beyond = times.slowdown(30.0, 12.0);

    assert_eq!(idle, Duration::ZERO);
    assert!(half > idle && full > half);
    assert_eq!(beyond, full, "the wait for a slot must not be included");
}
