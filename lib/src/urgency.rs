//! Ranks of requests, by which a full server decides what to serve first.
//!
//! A program is useful only if it completes within its time limit. When programs
//! past their limit compete equally for full engines, they delay programs that
//! could still complete in time and make them late as well: the queue of a burst
//! lasted twice as long as the burst. Late programs are therefore served after
//! all others; within each of the two groups the route's priority decides.

use std::time::Duration;

/// Rank of the most urgent requests. Engines serve rank 0 first and treat requests
/// without a rank as rank 5; ranks below `FIRST_RANK` are reserved for operators.
const FIRST_RANK: u8 = 3;
/// Priorities that are told apart; all lower ones are ranked like the last.
const PRIORITIES: u8 = 3;

/// Returns the rank of a request at an engine, where lower ranks are served
/// first. `remains` is the time left to the request's program, if there is one.
pub fn engine_rank(priority: u8, remains: Option<Duration>) -> u8 {
    let is_late = remains.is_some_and(|remains| remains.is_zero());
    let group = if is_late { PRIORITIES } else { 0 };
    FIRST_RANK + group + priority.min(PRIORITIES - 1)
}

/// Number of ranks of requests that are queued in a gateway.
pub const QUEUE_RANKS: u8 = 2 * PRIORITIES;

/// Returns the rank of a request that is queued in a gateway, where lower ranks
/// are served first. `remains` is the time left to the request's program. Engines
/// preempt running requests, gateways don't: here a late program yields only to
/// others of its priority, so that an urgent request never waits for a less
/// urgent one.
pub fn queue_rank(priority: u8, remains: Option<Duration>) -> u8 {
    let is_late = remains.is_some_and(|remains| remains.is_zero());
    2 * priority.min(PRIORITIES - 1) + u8::from(is_late)
}
