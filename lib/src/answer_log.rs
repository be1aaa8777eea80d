//! Requests that servers answer again and again without ending: lookups that many
//! callers send alike.

use std::collections::HashMap;

use crate::fingerprint::RequestFingerprint;

/// Complete answers that outweigh one end: a request that is under way at a server
/// all the time meets each ordinary crash.
const ANSWERS_PER_END: u32 = 20;
/// Answers counted at most, so that a request that begins to end servers is noticed
/// after a few ends.
const MAX_ANSWERS: u32 = 3 * ANSWERS_PER_END;
/// Requests counted in one generation; the older of two is dropped when the newer one
/// is full.
const MAX_REQUESTS: usize = 2_048;

/// Counts complete answers by request.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    newer: HashMap<RequestFingerprint, u32>,
    older: HashMap<RequestFingerprint, u32>,
}

impl AnswerLog {
    fn count(&mut self, request: RequestFingerprint) -> &mut u32 {
        if !self.newer.contains_key(&request) {
            if self.newer.len() >= MAX_REQUESTS {
                self.older = std::mem::take(&mut self.newer);
            }
            let counted = self.older.remove(&request).unwrap_or(0);
            self.newer.insert(request, counted);
        }
        self.newer.entry(request).or_default()
    }

    /// Counts a complete answer to a request.
    pub fn record(&mut self, request: RequestFingerprint) {
        let count = self.count(request);
        *count = (*count + 1).min(MAX_ANSWERS);
    }

    /// Returns whether the answers to a request outweigh an end.
    pub fn is_harmless(&self, request: RequestFingerprint) -> bool {
        let newer = self.newer.get(&request);
        let count = newer.or_else(|| self.older.get(&request));
        count.is_some_and(|&count| count >= ANSWERS_PER_END)
    }

    /// Takes the answers that outweigh an end, if there are as many; then the end
    /// shows nothing about the request.
    pub fn outweigh(&mut self, request: RequestFingerprint) -> bool {
        if !self.is_harmless(request) {
            return false;
        }
        *self.count(request) -= ANSWERS_PER_END;
        true
    }
}
