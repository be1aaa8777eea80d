//! Timeouts and limits of the system itself. The defaults suit a site with a few
//! entries and about twenty backend servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Timeouts and limits that are not set in operators' documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Number of shards; must be the same in every process and never change.
    pub shards: u16,
    /// Time without a link to a keeper after which another is chosen.
    pub keeper_ms: u64,
    /// Time without a link to an owner after which another entry takes over its
    /// shards.
    pub takeover_ms: u64,
    /// Time to wait for a keeper's copy during a takeover before the takeover
    /// proceeds without it.
    pub cold_ms: u64,
    /// Time to wait for the status of a call from a backend server that may have
    /// run it.
    pub settle_ms: u64,
    /// Time to wait for a keeper's acknowledgement while no other keeper can be
    /// chosen.
    pub alone_ms: u64,
    /// Time that a call waits for calls of its program with lower numbers.
    pub turn_ms: u64,
    /// Retention of ended programs and of calls without a program.
    pub retain_ms: u64,
    /// Time without calls after which the cache of a program at an engine is
    /// released.
    pub cache_ms: u64,
    /// Most calls of a program that wait for calls with lower numbers.
    pub turns_ahead: u64,
    /// Most requests that wait for the takeover of a shard.
    pub parked: usize,
    /// Most programs that an entry owns.
    pub programs: usize,
    /// Most servers that are tried for a call.
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
    /// Returns the time without a link after which a keeper is replaced.
    pub fn keeper_wait(&self) -> Duration {
        Duration::from_millis(self.keeper_ms)
    }

    /// Returns the time without a link after which an owner is replaced.
    pub fn takeover_wait(&self) -> Duration {
        Duration::from_millis(self.takeover_ms)
    }

    /// Returns the time to wait for a keeper's copy during a takeover.
    pub fn cold_wait(&self) -> Duration {
        Duration::from_millis(self.cold_ms)
    }

    /// Returns the time to wait for a server that may have run a call.
    pub fn settle_wait(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// Returns the time to wait for an acknowledgement if no keeper can be
    /// chosen.
    pub fn ack_timeout(&self) -> Duration {
        Duration::from_millis(self.alone_ms)
    }

    /// Returns the time that a call waits for calls with lower numbers.
    pub fn turn_wait(&self) -> Duration {
        Duration::from_millis(self.turn_ms)
    }

    /// Returns the retention of ended programs and of calls without a program.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retain_ms)
    }

    /// Returns the time without calls after which a program's cache is released.
    pub fn cache_wait(&self) -> Duration {
        Duration::from_millis(self.cache_ms)
    }
}
