//! Times and bounds of the system's own working; the defaults suit a site of
//! a few entries and some twenty backend servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Times and bounds that no operator's document sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Number of shards; the same in every process, for good.
    pub shards: u16,
    /// Silence of a keeper after which another one is chosen.
    pub keeper_ms: u64,
    /// Silence of an owner after which another entry takes its shards over.
    pub takeover_ms: u64,
    /// Wait for a keeper during a takeover, after which its copy is given up.
    pub cold_ms: u64,
    /// Wait for a backend server that may have run a call.
    pub settle_ms: u64,
    /// Wait for a keeper's acknowledgement while none can be chosen.
    pub alone_ms: u64,
    /// Wait of a call for an earlier number of its program.
    pub turn_ms: u64,
    /// How long ended programs and single calls are remembered.
    pub retain_ms: u64,
    /// How long an engine may hold cache for a program that it hears
    /// nothing of.
    pub cache_ms: u64,
    /// Calls of one program that may wait for their turn.
    pub turns_ahead: u64,
    /// Calls of one shard that may wait for a takeover.
    pub parked: usize,
    /// Programs that one entry owns.
    pub programs: usize,
    /// Servers that are tried for one call.
    pub tries: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            shards: 64,
            keeper_ms: 500,
            takeover_ms: 1_000,
            cold_ms: 10_000,
            settle_ms: 10_000,
            alone_ms: 1_500,
            turn_ms: 30_000,
            retain_ms: 600_000,
            cache_ms: 600_000,
            turns_ahead: 16,
            parked: 1_024,
            programs: 100_000,
            tries: 3,
        }
    }
}

impl Rules {
    /// Returns the silence after which a keeper is replaced.
    pub fn keeper_wait(&self) -> Duration {
        Duration::from_millis(self.keeper_ms)
    }

    /// Returns the silence after which an owner is replaced.
    pub fn takeover_wait(&self) -> Duration {
        Duration::from_millis(self.takeover_ms)
    }

    /// Returns the wait for a keeper's copy.
    pub fn cold_wait(&self) -> Duration {
        Duration::from_millis(self.cold_ms)
    }

    /// Returns the wait for a server that may have run a call.
    pub fn settle_wait(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// Returns the wait for an acknowledgement without a keeper.
    pub fn alone_wait(&self) -> Duration {
        Duration::from_millis(self.alone_ms)
    }

    /// Returns the wait of a call for its turn.
    pub fn turn_wait(&self) -> Duration {
        Duration::from_millis(self.turn_ms)
    }

    /// Returns how long what has ended is remembered.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retain_ms)
    }

    /// Returns how long cache of a silent program is held.
    pub fn cache_wait(&self) -> Duration {
        Duration::from_millis(self.cache_ms)
    }
}
