//! When a caller is to come back that a gateway cannot serve and others can.
//!
//! The platform asks each gateway once a second whether it takes callers, and
//! leaves it out after the second refusal. Until then a caller that comes back
//! reaches another gateway of its data centre, if there is one: at once is
//! best. One that comes here again has no other one, and does best to wait
//! until the platform sends it elsewhere. Without this a turn's tries are used
//! up within some 0.6 s, while the platform needs two.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// When a caller comes back that may reach another gateway.
const AT_ONCE: Duration = Duration::from_millis(20);
/// How long the platform goes on sending callers to a gateway that refuses:
/// two questions, a second apart, and the way.
const PLATFORM_WAIT: Duration = Duration::from_millis(2_300);
/// Longest wait asked of a caller: they follow up to a third of their time,
/// which is 3 s for turns.
const LONGEST: Duration = Duration::from_millis(950);
/// How long a line of turns is remembered.
const MEMORY: Duration = Duration::from_secs(5);
/// Lines remembered; more are sent on at once.
const MOST: usize = 4_096;

/// Lines of turns that were sent on.
#[derive(Clone, Debug, Default)]
pub struct RetryHints {
    since: Option<Time>,
    lines: HashMap<(Arc<str>, Arc<str>), Time>,
}

impl RetryHints {
    /// Notes whether the gateway takes callers now.
    pub fn set_ready(&mut self, now: Time, ready: bool) {
        if ready {
            *self = Self::default();
        } else {
            self.since.get_or_insert(now);
        }
    }

    /// Returns when the caller of a line of turns is to come back.
    pub fn after(&mut self, now: Time, program: &Arc<str>, line: &Arc<str>) -> Duration {
        let since = *self.since.get_or_insert(now);
        if self.lines.len() >= MOST {
            self.lines.retain(|_, at| now.since(*at) < MEMORY);
        }
        let key = (program.clone(), line.clone());
        let known = self.lines.contains_key(&key);
        if !known && self.lines.len() < MOST {
            self.lines.insert(key, now);
        }
        let left = PLATFORM_WAIT.saturating_sub(now.since(since));
        if known {
            left.clamp(AT_ONCE, LONGEST)
        } else {
            AT_ONCE
        }
    }
}
