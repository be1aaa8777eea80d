//! Chooses the server for a call, weighing its prefix cache against its queue.

use rand::Rng as _;
use rand::RngCore;

use crate::document::Weights;

/// Up to this many servers, all are compared; of more, only a sample.
pub const MAX_FULL_SCAN: usize = 16;
/// Size of the sample, besides the servers that hold the program's cache.
pub const SAMPLE_SIZE: usize = 4;
/// Ratio of a server's time per piece to the median from which the server
/// counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Tokens of prefill that take as long as a typical call runs.
const TYPICAL_RUN_TOKENS: f64 = 40_000.0;

/// State of a server that could run a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerView {
    /// Number of calls that it can run at once.
    pub slots: u32,
    /// Number of calls that run or wait there: the last reported number, or
    /// the number of unfinished calls that this process has sent, whichever is
    /// higher.
    pub active_calls: u32,
    /// Estimated tokens that those calls still need.
    pub backlog: u64,
    /// Estimated tokens of the call's prompt in its prefix cache.
    pub cached_tokens: u64,
    /// Time per piece of an answer of a running call, in microseconds, as
    /// measured by its side process; zero if unknown.
    pub pace: u32,
}

/// Properties of a call that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallView {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The deployment's weights of latency and recomputed tokens.
    pub weights: Weights,
    /// Number that is the same for all calls of a program.
    pub program: u64,
}

/// A strategy for choosing the server for a call.
pub trait Placement {
    /// Returns the index of the chosen server; `None` if `servers` is empty.
    fn choose(
        &mut self,
        call: &CallView,
        servers: &[ServerView],
        rng: &mut dyn RngCore,
    ) -> Option<usize>;
}

/// Uses the servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placement for RoundRobin {
    fn choose(
        &mut self,
        _: &CallView,
        servers: &[ServerView],
        _: &mut dyn RngCore,
    ) -> Option<usize> {
        if servers.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % servers.len();
        Some(self.next)
    }
}

/// Chooses the server with the fewest calls per slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn choose(
        &mut self,
        _: &CallView,
        servers: &[ServerView],
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let busy =
            |server: &ServerView| f64::from(server.active_calls) / f64::from(server.slots.max(1));
        index_of_lowest(servers, 0..servers.len(), busy, rng)
    }
}

/// Keeps a program on one server, regardless of its queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sticky;

impl Placement for Sticky {
    fn choose(
        &mut self,
        call: &CallView,
        servers: &[ServerView],
        _: &mut dyn RngCore,
    ) -> Option<usize> {
        let count = servers.len() as u64;
        (count > 0).then(|| (call.program % count) as usize)
    }
}

/// Weighs the prompt tokens that would have to be recomputed against the work
/// in the queue; both in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Affinity {
    /// Delay of a call by one queued token on a server with one slot, relative
    /// to the delay by one token of the call's own prefill.
    pub queue_weight: f64,
    /// Tokens of prefill that take as long as a typical call runs.
    pub typical_run_tokens: f64,
}

impl Default for Affinity {
    fn default() -> Self {
        Self {
            queue_weight: 0.3,
            typical_run_tokens: TYPICAL_RUN_TOKENS,
        }
    }
}

impl Affinity {
    /// Returns the cost of running a call on a server; `median` is the median
    /// pace of all servers that could run it.
    fn cost(&self, call: &CallView, server: &ServerView, median: f64) -> f64 {
        let missing = call.prompt.saturating_sub(server.cached_tokens) as f64;
        let slots = f64::from(server.slots.max(1));
        let free = server.active_calls < server.slots;
        let queue_delay = if free {
            f64::from(server.active_calls) / slots
        } else {
            self.queue_weight * server.backlog as f64 / slots
        };
        let slowdown_factor = slowdown(server.pace, median);
        let Weights { latency, waste } = call.weights;
        latency
            * (slowdown_factor * (queue_delay + missing)
                + (slowdown_factor - 1.0) * self.typical_run_tokens)
            + waste * missing
    }
}

/// Returns how many times longer than on a median server a call takes on a
/// server with this pace. Ratios below [`SLOW_RATIO`] are noise or come from
/// the calls themselves, and count as 1.
fn slowdown(pace: u32, median: f64) -> f64 {
    if pace == 0 || median <= 0.0 {
        return 1.0;
    }
    let ratio = f64::from(pace) / median;
    if ratio < SLOW_RATIO { 1.0 } else { ratio }
}

/// Returns the median of the known paces; zero if none is known.
fn median_pace(servers: &[ServerView]) -> f64 {
    let mut known: Vec<u32> = servers.iter().map(|server| server.pace).collect();
    known.retain(|pace| *pace > 0);
    known.sort_unstable();
    let median = known.get(known.len() / 2);
    median.map_or(0.0, |pace| f64::from(*pace))
}

impl Placement for Affinity {
    fn choose(
        &mut self,
        call: &CallView,
        servers: &[ServerView],
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let median = median_pace(servers);
        let cost = |server: &ServerView| self.cost(call, server, median);
        if servers.len() <= MAX_FULL_SCAN {
            return index_of_lowest(servers, 0..servers.len(), cost, rng);
        }
        let warm = (0..servers.len()).filter(|index| servers[*index].cached_tokens > 0);
        let drawn: Vec<usize> = (0..SAMPLE_SIZE)
            .map(|_| rng.random_range(0..servers.len()))
            .collect();
        index_of_lowest(servers, warm.chain(drawn), cost, rng)
    }
}

fn index_of_lowest(
    servers: &[ServerView],
    indices: impl IntoIterator<Item = usize>,
    cost: impl Fn(&ServerView) -> f64,
    rng: &mut dyn RngCore,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut equals = 1_u32;
    for index in indices {
        let found = cost(&servers[index]);
        match best {
            Some((_, least)) if found > least => {}
            Some((_, least)) if found == least => {
                equals += 1;
                if rng.random_ratio(1, equals) {
                    best = Some((index, found));
                }
            }
            _ => {
                equals = 1;
                best = Some((index, found));
            }
        }
    }
    best.map(|(index, _)| index)
}
