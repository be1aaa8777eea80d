//! Whose programs are refused first while some have to be.
//!
//! Lower ranks go before higher ones, and within a rank a workspace that sends
//! far more than the others goes before them. Nobody is refused altogether:
//! each class keeps a part of the share that all together have.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Ranks told apart; those behind are treated alike.
const RANKS: usize = 3;
/// Classes of programs: those of large and of other workspaces in each rank.
const CLASSES: usize = 2 * RANKS;
/// Time in which what arrived loses half of its weight: some lengths of a
/// program, so that a flood counts from its first seconds on.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Least share of its programs that a class is served, as a part of the share
/// of all: callers are promised a quarter, and counts are rough.
const LEAST_SERVED: f64 = 0.35;
/// How many times as much as the mean a large workspace sends.
const LARGE: f64 = 4.0;
/// Programs below which a workspace does not count as large: a few that
/// happen to come together are no flood.
const LARGE_COUNT: f64 = 8.0;
/// Workspaces remembered; those that sent least are forgotten first.
const MAX_WORKSPACES: usize = 256;
/// Weight of a workspace that is as good as forgotten.
const FORGOTTEN: f64 = 0.1;

/// The programs that arrived lately, by class and workspace.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    at: Time,
    classes: [f64; CLASSES],
    workspaces: HashMap<Arc<str>, f64>,
}

/// Programs that are treated alike; the last class is refused first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(usize);

impl Arrivals {
    /// Counts a program, and returns its class.
    pub fn observe(&mut self, now: Time, rank: u8, workspace: Option<&Arc<str>>) -> Class {
        self.fade(now);
        let large = workspace.is_some_and(|name| self.count(name));
        let rank = usize::from(rank).min(RANKS - 1);
        let class = Class(2 * rank + usize::from(large));
        self.classes[class.0] += 1.0;
        class
    }

    /// Returns which part of a class is refused if `refused` is that of all.
    pub fn refused(&self, class: Class, refused: f64) -> f64 {
        let most = 1.0 - LEAST_SERVED * (1.0 - refused);
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

    /// Counts a program of a workspace, and returns whether it is a large one.
    fn count(&mut self, name: &Arc<str>) -> bool {
        if !self.workspaces.contains_key(name) && self.workspaces.len() >= MAX_WORKSPACES {
            self.forget_least();
        }
        let own = self.workspaces.entry(name.clone()).or_default();
        *own += 1.0;
        let own = *own;
        let all: f64 = self.workspaces.values().sum();
        let mean = all / self.workspaces.len() as f64;
        own >= LARGE_COUNT && own > LARGE * mean
    }

    fn forget_least(&mut self) {
        let least = self.workspaces.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.workspaces.remove(&name);
        }
    }

    fn fade(&mut self, now: Time) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = (-halves).exp2();
        self.at = now;
        self.classes.iter_mut().for_each(|weight| *weight *= left);
        self.workspaces.retain(|_, weight| {
            *weight *= left;
            *weight > FORGOTTEN
        });
    }
}
