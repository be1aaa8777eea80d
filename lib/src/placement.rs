//! Where a call runs: prefix cache held there against the queue there.

use rand::Rng as _;
use rand::RngCore;

use crate::document::Weights;

/// Up to this many servers are all looked at; of more, a sample is.
pub const LOOK_AT_ALL: usize = 16;
/// Size of the sample, beside the server that holds the program's cache.
pub const SAMPLE: usize = 4;
/// Times the usual pace from which a server counts as slow.
const SLOW: f64 = 2.0;
/// Tokens of prefill that take as long as a call usually runs.
const RUN: f64 = 40_000.0;

/// What is known of one server that could run a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerView {
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that run or wait there: as last reported, and what this process
    /// has sent since.
    pub busy: u32,
    /// Tokens that those calls still need, as estimated.
    pub backlog: u64,
    /// Tokens of the call's prompt that its cache is believed to hold.
    pub cached: u64,
    /// Time of a running call for each piece of an answer, in microseconds,
    /// as its side process measured it; zero if it is not known.
    pub pace: u32,
}

/// What placement needs to know of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallView {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// How the deployment weighs latency and wasted cache.
    pub weights: Weights,
    /// Number that is the same for all calls of a program.
    pub program: u64,
}

/// Chooses the server for a call.
pub trait Placement {
    /// Returns the index of the chosen server; `None` if there is none.
    fn choose(
        &mut self,
        call: &CallView,
        servers: &[ServerView],
        rng: &mut dyn RngCore,
    ) -> Option<usize>;
}

/// Goes round the servers.
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

/// Takes the server with the fewest calls for its slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn choose(
        &mut self,
        _: &CallView,
        servers: &[ServerView],
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let busy = |server: &ServerView| f64::from(server.busy) / f64::from(server.slots.max(1));
        lowest(servers, 0..servers.len(), busy, rng)
    }
}

/// Keeps a program on one server, whatever the queue there.
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

/// Weighs the prompt tokens that would be computed again against the work
/// ahead in the queue; both are in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Affinity {
    /// How many queued tokens delay a call as much as one token of its own
    /// prefill, for one slot.
    pub queue_weight: f64,
    /// Tokens of prefill that take as long as a call usually runs.
    pub run: f64,
}

impl Default for Affinity {
    fn default() -> Self {
        Self {
            queue_weight: 0.3,
            run: RUN,
        }
    }
}

impl Affinity {
    /// Returns the cost of a call at a server; `usual` is the pace of the
    /// servers that there are.
    fn cost(&self, call: &CallView, server: &ServerView, usual: f64) -> f64 {
        let missing = call.prompt.saturating_sub(server.cached) as f64;
        let slots = f64::from(server.slots.max(1));
        let free = server.busy < server.slots;
        let ahead = if free {
            f64::from(server.busy) / slots
        } else {
            self.queue_weight * server.backlog as f64 / slots
        };
        let slower = slowness(server.pace, usual);
        let Weights { latency, waste } = call.weights;
        latency * (slower * (ahead + missing) + (slower - 1.0) * self.run) + waste * missing
    }
}

/// Returns how many times longer than usual a call takes at a server of this
/// pace. Differences below [`SLOW`] are noise, or the calls' own.
fn slowness(pace: u32, usual: f64) -> f64 {
    if pace == 0 || usual <= 0.0 {
        return 1.0;
    }
    let ratio = f64::from(pace) / usual;
    if ratio < SLOW { 1.0 } else { ratio }
}

/// Returns the median of the paces that are known; zero if none is.
fn usual_pace(servers: &[ServerView]) -> f64 {
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
        let usual = usual_pace(servers);
        let cost = |server: &ServerView| self.cost(call, server, usual);
        if servers.len() <= LOOK_AT_ALL {
            return lowest(servers, 0..servers.len(), cost, rng);
        }
        let warm = (0..servers.len()).filter(|index| servers[*index].cached > 0);
        let drawn: Vec<usize> = (0..SAMPLE)
            .map(|_| rng.random_range(0..servers.len()))
            .collect();
        lowest(servers, warm.chain(drawn), cost, rng)
    }
}

fn lowest(
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
