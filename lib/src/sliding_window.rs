//! Counts requests in a sliding window, divided into slots.

use std::time::Duration;

use crate::time::Time;

/// Number of slots of the window. The oldest slot is counted in full, so that
/// the effective window is up to a twentieth longer.
const SLOTS: usize = 20;

/// Counts of requests within a sliding window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlidingWindow {
    slot: Duration,
    newest: u64,
    counts: [u16; SLOTS + 1],
}

impl SlidingWindow {
    /// Creates an empty count for a window of this length.
    pub fn new(window: Duration) -> Self {
        Self {
            slot: window / SLOTS as u32,
            newest: 0,
            counts: [0; SLOTS + 1],
        }
    }

    /// Creates the count from [`SlidingWindow::ages`] of another process.
    pub fn from_ages(window: Duration, now: Time, ages: &[u16]) -> Self {
        let mut sliding = Self::new(window);
        sliding.newest = sliding.slot_number(now);
        for (age, &count) in ages.iter().take(SLOTS + 1).enumerate() {
            if let Some(number) = sliding.newest.checked_sub(age as u64) {
                sliding.counts[slot_index(number)] = count;
            } else {
                // Older than this process's clock: counted in its oldest slot.
                sliding.counts[slot_index(0)] = sliding.counts[slot_index(0)].saturating_add(count);
            }
        }
        sliding
    }

    /// Returns the counts of the slots, the newest first, without trailing empty
    /// ones.
    pub fn ages(&mut self, now: Time) -> Vec<u16> {
        self.advance(now);
        let slots = (0..=SLOTS as u64).map_while(|age| self.newest.checked_sub(age));
        let mut ages: Vec<u16> = slots
            .map(|number| self.counts[slot_index(number)])
            .collect();
        while ages.last() == Some(&0) {
            ages.pop();
        }
        ages
    }

    fn slot_number(&self, now: Time) -> u64 {
        (now.as_secs_f64() / self.slot.as_secs_f64()) as u64
    }

    fn advance(&mut self, now: Time) {
        let number = self.slot_number(now);
        let first = self.newest + 1;
        for entered in first.max(number.saturating_sub(SLOTS as u64))..=number {
            self.counts[slot_index(entered)] = 0;
        }
        self.newest = self.newest.max(number);
    }

    /// Counts requests now, and returns the number of their slot.
    pub fn add(&mut self, now: Time, count: u16) -> u64 {
        self.advance(now);
        let slot = &mut self.counts[slot_index(self.newest)];
        *slot = slot.saturating_add(count);
        self.newest
    }

    /// Removes a request from the slot that it was counted in, because it was not
    /// sent.
    pub fn remove(&mut self, now: Time, number: u64) {
        self.advance(now);
        if number + SLOTS as u64 >= self.newest {
            let slot = &mut self.counts[slot_index(number)];
            *slot = slot.saturating_sub(1);
        }
    }

    /// Removes a request from the newest slot.
    pub fn remove_newest(&mut self, now: Time) {
        self.remove(now, self.newest);
    }

    /// Returns the number of requests within the window.
    pub fn total(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.counts.iter().map(|&count| u32::from(count)).sum()
    }

    /// Adds the counts of `other`, which has a window of the same length.
    pub fn merge(&mut self, now: Time, other: &mut Self) {
        self.advance(now);
        other.advance(now);
        for (own, more) in self.counts.iter_mut().zip(other.counts) {
            *own = own.saturating_add(more);
        }
    }

    /// Returns the time after which the oldest `count` requests have left the
    /// window.
    pub fn time_until_expired(&mut self, now: Time, count: u32) -> Duration {
        self.advance(now);
        let mut expired = 0;
        for age in (0..=SLOTS as u64).rev() {
            let Some(number) = self.newest.checked_sub(age) else {
                continue;
            };
            expired += u32::from(self.counts[slot_index(number)]);
            if expired >= count {
                return self.slot * (SLOTS as u32 + 1 - age as u32);
            }
        }
        self.slot * (SLOTS as u32 + 1)
    }
}

fn slot_index(number: u64) -> usize {
    (number % (SLOTS as u64 + 1)) as usize
}
