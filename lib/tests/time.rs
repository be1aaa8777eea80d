//! Spans of time made from numbers.

use std::time::Duration;

use limpetferry_lib::time::MAX_SPAN;
use limpetferry_lib::time::span_from_secs;

// Guards against a process that ends, or goes on without a task, because of a number
// that fits no span.
#[test]
fn any_number_of_seconds_is_a_span() {
    let cases = [
        (1.5, Duration::from_millis(1_500)),
        (0.0, Duration::ZERO),
        (-0.0, Duration::ZERO),
        (-1.0, Duration::ZERO),
        (f64::NEG_INFINITY, Duration::ZERO),
        (f64::NAN, Duration::ZERO),
        (f64::MIN_POSITIVE, Duration::ZERO),
        (1e20, MAX_SPAN),
        (f64::MAX, MAX_SPAN),
        (f64::INFINITY, MAX_SPAN),
    ];

    for (secs, span) in cases {
        assert_eq!(span_from_secs(secs), span, "{secs}");
    }
}
