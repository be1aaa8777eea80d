//! Which requests a full server takes first.
//!
//! A program is worth most if it ends in its time. While engines are full,
//! those whose time is over take places from others that could still make it,
//! and make them late too: the queue of a burst lasted twice as long as the
//! burst. So they come after all others; within each group the route's
//! priority decides.

use std::time::Duration;

/// Rank of the most urgent requests, 0 being first and 5 that of requests
/// without one; lower ranks are left to operators.
const FIRST: u8 = 3;
/// Priorities told apart; those behind are ranked alike.
const PRIORITIES: u8 = 3;

/// Returns the rank of a request, the first to be taken 0, by the priority of
/// its route and what `remains` of its program's time, if it belongs to one.
pub fn rank(priority: u8, remains: Option<Duration>) -> u8 {
    let late = remains.is_some_and(|remains| remains.is_zero());
    let group = if late { PRIORITIES } else { 0 };
    FIRST + group + priority.min(PRIORITIES - 1)
}

/// Number of ranks of requests that wait in a gateway.
pub const QUEUE_RANKS: u8 = 2 * PRIORITIES;

/// Returns the rank of a request that waits in a gateway, the first to go 0, by
/// its priority and what `remains` of its program's time. Unlike at an engine,
/// which takes places from what runs, a late program stands back only behind
/// others of its priority: an urgent request never waits for a less urgent one.
pub fn queue_rank(priority: u8, remains: Option<Duration>) -> u8 {
    let late = remains.is_some_and(|remains| remains.is_zero());
    2 * priority.min(PRIORITIES - 1) + u8::from(late)
}
