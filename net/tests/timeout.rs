//! Bounds that many tasks wait for at once.

use std::time::Duration;
use std::time::Instant;

use futures_lite::future;
use limpetferry_net::timeout::within;

/// Longer than any test waits for what has to come.
const LONG: Duration = Duration::from_secs(30);

#[test]
fn bounds_end_in_their_order_whatever_the_order_they_began_in() {
    smol::block_on(async {
        let (sender, ended) = async_channel::unbounded();
        for millis in [900, 100, 500, 300, 700] {
            let sender = sender.clone();
            smol::spawn(async move {
                let start = Instant::now();
                let limit = Duration::from_millis(millis);
                let got = within(limit, std::future::pending::<()>()).await;
                assert!(got.is_none());
                assert!(start.elapsed() >= limit, "it ended early");
                let _ = sender.send(millis).await;
            })
            .detach();
        }
        let mut order = Vec::new();
        for _ in 0..5 {
            order.push(ended.recv().await.expect("each ends"));
        }
        assert_eq!(order, [100, 300, 500, 700, 900]);
    });
}

#[test]
fn what_is_ready_does_not_wait_for_its_bound() {
    smol::block_on(async {
        let start = Instant::now();
        assert_eq!(within(LONG, async { 7 }).await, Some(7));
        let later = async {
            smol::future::yield_now().await;
            8
        };
        assert_eq!(within(LONG, later).await, Some(8));
        assert!(start.elapsed() < LONG);
    });
}

#[test]
fn a_short_bound_that_begins_after_a_long_one_ends_first() {
    smol::block_on(async {
        let long = smol::spawn(within(LONG, std::future::pending::<()>()));
        // The long one waits by now.
        let before = within(Duration::from_millis(5), std::future::pending::<()>()).await;
        let short = within(Duration::from_millis(5), std::future::pending::<()>()).await;
        assert!(before.is_none() && short.is_none());
        assert!(!long.is_finished());
    });
}

#[test]
fn a_bound_that_is_dropped_wakes_nobody() {
    smol::block_on(async {
        for _ in 0..1_000 {
            let waiting = within(Duration::from_millis(20), std::future::pending::<()>());
            let dropped = within(Duration::ZERO, waiting).await;
            assert!(dropped.is_none());
        }
        let last = within(Duration::from_millis(30), std::future::pending::<()>()).await;
        assert!(last.is_none());
    });
}

// Guards against a task that panics because its bound ends after the clock does.
#[test]
fn a_bound_of_any_length_holds() {
    smol::block_on(async {
        for limit in [Duration::MAX, Duration::from_secs(u64::MAX / 2)] {
            let later = async {
                future::yield_now().await;
                7
            };
            assert_eq!(within(limit, later).await, Some(7));
        }
    });
}
