//! Fairness of overload control: which programs are refused first.
//!
//! Lower ranks are refused before higher ones, and within a rank a workspace that
//! sends far more than the others is refused before them. No class is refused
//! completely: each is served a minimum fraction of the share that is served
//! overall.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Ranks that are told apart; all lower ranks count as the last of these.
const RANKS: usize = 3;
/// Classes of programs: large workspaces and others, for each rank.
const CLASSES: usize = 2 * RANKS;
/// Half-life of the arrival counts: several times the duration of a program, so
/// that a flood has an effect from its first seconds on.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Minimum served share of a class, relative to the served share of all classes.
/// Callers are promised a quarter; the rest is margin, as the counts are rough.
const MIN_SERVED: f64 = 0.35;
/// A large workspace sends more than this many times the mean.
const LARGE_FACTOR: f64 = 4.0;
/// Number of programs below which a workspace never counts as large: a few
/// programs that happen to arrive together are no flood.
const LARGE_MIN_COUNT: f64 = 8.0;
/// Limit of the workspaces that are counted; the one with fewest programs is
/// evicted first.
const MAX_WORKSPACES: usize = 256;
/// Weight below which a workspace is dropped.
const MIN_WEIGHT: f64 = 0.1;

/// Counts of the programs that arrived recently, by class and by workspace.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    updated_at: Time,
    classes: [f64; CLASSES],
    workspaces: HashMap<Arc<str>, f64>,
}

/// A group of programs that are treated alike; the last class is refused first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(usize);

impl Arrivals {
    /// Counts a program, and returns its class.
    pub fn count(&mut self, now: Time, rank: u8, workspace: Option<&Arc<str>>) -> Class {
        self.decay(now);
        let large = workspace.is_some_and(|name| self.count_workspace(name));
        let rank = usize::from(rank).min(RANKS - 1);
        let class = Class(2 * rank + usize::from(large));
        self.classes[class.0] += 1.0;
        class
    }

    /// Returns the refused share of a class, where `refused` is that of all classes.
    pub fn refused_share(&self, class: Class, refused: f64) -> f64 {
        let most = 1.0 - MIN_SERVED * (1.0 - refused);
        let mut left = refused * self.classes.iter().sum::<f64>();
        for (at, &weight) in self.classes.iter().enumerate().rev() {
            let taken = left.min(most * weight);
            if at == class.0 {
                return if weight > 0.0 {
                    taken / weight
                } else {
                    refused
                };
            }
            left -= taken;
        }
        refused
    }

    /// Counts a program of a workspace, and returns whether the workspace is large.
    fn count_workspace(&mut self, name: &Arc<str>) -> bool {
        if !self.workspaces.contains_key(name) && self.workspaces.len() >= MAX_WORKSPACES {
            self.evict_least();
        }
        let own = self.workspaces.entry(name.clone()).or_default();
        *own += 1.0;
        let own = *own;
        let all: f64 = self.workspaces.values().sum();
        let mean = all / self.workspaces.len() as f64;
        own >= LARGE_MIN_COUNT && own > LARGE_FACTOR * mean
    }

    fn evict_least(&mut self) {
        let least = self.workspaces.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.workspaces.remove(&name);
        }
    }

    fn decay(&mut self, now: Time) {
        let halves = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = (-halves).exp2();
        self.updated_at = now;
        self.classes.iter_mut().for_each(|weight| *weight *= left);
        self.workspaces.retain(|_, weight| {
            *weight *= left;
            *weight > MIN_WEIGHT
        });
    }
}
