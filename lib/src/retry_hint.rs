//! Retry times for callers that this gateway cannot serve but others can.
//!
//! The platform checks each gateway's readiness once a second, and stops routing
//! callers to it after the second refusal. Until then a retry reaches another
//! gateway of the data centre, if there is one, so that an immediate retry is
//! best. A caller that reaches this gateway again has no other one, and does best
//! to wait until the platform routes it elsewhere. Otherwise all tries of a turn
//! are used up within about 0.6 s, while the platform needs two seconds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Retry time of a caller that may reach another gateway.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time for which the platform still routes callers to a gateway that is not
/// ready: two readiness checks, a second apart, and their transmission.
const REROUTE_TIME: Duration = Duration::from_millis(2_300);
/// Longest wait asked of a caller: callers accept up to a third of their time
/// limit, which is 3 s for turns.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(950);
/// How long the retry of a session is remembered.
const SESSION_RETENTION: Duration = Duration::from_secs(5);
/// Limit of the remembered sessions; callers of others retry immediately.
const MAX_SESSIONS: usize = 4_096;

/// Sessions, by program and name, whose callers were asked to retry, and when.
#[derive(Clone, Debug, Default)]
pub struct RetryHints {
    unready_since: Option<Time>,
    sessions: HashMap<(Arc<str>, Arc<str>), Time>,
}

impl RetryHints {
    /// Updates whether the gateway is ready to serve callers.
    pub fn set_ready(&mut self, now: Time, ready: bool) {
        if ready {
            *self = Self::default();
        } else {
            self.unready_since.get_or_insert(now);
        }
    }

    /// Returns after which time the caller of a program's session should retry.
    pub fn retry_after(&mut self, now: Time, program: &Arc<str>, session: &Arc<str>) -> Duration {
        let since = *self.unready_since.get_or_insert(now);
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, at| now.since(*at) < SESSION_RETENTION);
        }
        let key = (program.clone(), session.clone());
        let known = self.sessions.contains_key(&key);
        if !known && self.sessions.len() < MAX_SESSIONS {
            self.sessions.insert(key, now);
        }
        let left = REROUTE_TIME.saturating_sub(now.since(since));
        if known {
            left.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        } else {
            MIN_RETRY_AFTER
        }
    }
}
