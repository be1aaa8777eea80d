//! A process's own look at the platform's store: reads, and watches that go on
//! where they ended, while no keeper tells what the store holds.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::future;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::store_watch::StoreWatch;
use limpetferry_platform::store::Changes;
use limpetferry_platform::store::ReplyError;

use crate::platform_store::PlatformError;
use crate::platform_store::PlatformStore;
use crate::site::Origin;
use crate::site::Site;

/// First wait after a failed call to the store; doubled for each one in a row.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest such wait: what is accepted has to be in force soon after the
/// store is back.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// Pause after each answer of a watch, so that changes that come together
/// cost one call; small against the seconds within which they are due.
const GATHER: Duration = Duration::from_millis(150);
/// The same pause of a process that is to follow keepers and has none yet: it
/// asks the store only until a keeper answers.
const FOLLOWER_GATHER: Duration = Duration::from_millis(400);
/// How long a process that is to follow keepers waits for them when it starts,
/// before it reads the store itself: three pages of servers a start else.
const FOLLOWER_START: Duration = Duration::from_millis(150);
/// Time between looks whether a call that waits counts as lost.
const WATCH_LOOK: Duration = Duration::from_millis(100);
/// Time between looks whether keepers still tell.
const FED_LOOK: Duration = Duration::from_millis(100);

/// What is known of the way to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It answers.
    Heard,
    /// It has told others more than this process.
    Behind,
    /// It does not answer, and entries in it may lapse.
    Lost,
}

impl Site {
    /// Follows the platform's store for as long as the process runs. The store
    /// may hold each call for `hold`.
    pub async fn follow(self: Arc<Self>, mut store: PlatformStore, hold: Duration) {
        let mut wait = FIRST_WAIT;
        let mut contact = Contact::Heard;
        let mut fresh = false;
        self.await_keepers().await;
        loop {
            if self.is_fed() && (self.is_follower() || self.known().read) {
                // A keeper tells what the store tells it: one watch less.
                self.relies.store(true, Ordering::Relaxed);
                fresh = false;
                smol::Timer::after(FED_LOOK).await;
                continue;
            }
            let result = if fresh {
                self.watch(&mut store, hold, &mut contact).await
            } else {
                self.read(&mut store, &mut contact).await
            };
            match result {
                Ok(()) => {
                    fresh = true;
                    wait = FIRST_WAIT;
                    let follower = self.is_follower();
                    let pause = if follower { FOLLOWER_GATHER } else { GATHER };
                    smol::Timer::after(pause).await;
                    continue;
                }
                Err(PlatformError::Reply(ReplyError::Compacted)) => {
                    self.note(
                        LogEvent::new("store_history_lost").with("revision", self.known().revision),
                    );
                    fresh = false;
                    continue;
                }
                Err(error) => self.lose(&mut contact, &error),
            }
            // A watch that goes on where a broken one ended may hear nothing
            // of what came between, if the history is dropped meanwhile.
            fresh = false;
            let jitter = rand::random_range(0.7..1.3);
            smol::Timer::after(wait.mul_f64(jitter)).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// Waits a little for keepers that tell what the store holds, if this
    /// process is to follow them.
    async fn await_keepers(&self) {
        let limit = self.clock.now() + FOLLOWER_START;
        while self.is_follower() && !self.is_fed() && self.clock.now() < limit {
            smol::Timer::after(FED_LOOK / 4).await;
        }
    }

    fn is_follower(&self) -> bool {
        self.follower.load(Ordering::Relaxed)
    }

    async fn read(
        &self,
        store: &mut PlatformStore,
        contact: &mut Contact,
    ) -> Result<(), PlatformError> {
        let page = store.list("").await?;
        let lapsed = self.back(contact, page.revision);
        self.note(
            LogEvent::new("store_read")
                .with("revision", page.revision)
                .with("items", page.items.len())
                .with("known", self.known().revision),
        );
        let by = "reading";
        self.take_all(page.items, page.revision, Origin { by, lapsed });
        let mut known = self.known();
        if !std::mem::replace(&mut known.read, true) {
            known.log_from = known.revision;
        }
        Ok(())
    }

    async fn watch(
        &self,
        store: &mut PlatformStore,
        hold: Duration,
        contact: &mut Contact,
    ) -> Result<(), PlatformError> {
        let revision = self.known().revision;
        self.begin_watch(revision, hold);
        let changes = future::or(store.watch("", revision, hold), self.lost_watch()).await;
        self.known().watch = None;
        let changes = changes?;
        let lapsed = self.back(contact, changes.revision);
        if !is_gapless(revision, &changes) {
            return Err(PlatformError::Reply(ReplyError::Compacted));
        }
        let by = "watch";
        for item in changes.items {
            self.apply(item, Origin { by, lapsed });
        }
        let mut known = self.known();
        known.revision = known.revision.max(changes.revision);
        drop(known);
        self.tell_waiting();
        Ok(())
    }

    fn begin_watch(&self, revision: u64, hold: Duration) {
        let now = self.clock.now();
        let mut known = self.known();
        let mut watch = StoreWatch::new(now, revision, hold);
        watch.record_other_revision(now, known.others);
        known.watch = Some(watch);
    }

    /// Waits until the call that watches the store counts as lost.
    async fn lost_watch(&self) -> Result<Changes, PlatformError> {
        loop {
            let Some(watch) = self.known().watch else {
                return future::pending().await;
            };
            let left = watch.deadline().since(self.clock.now());
            if left.is_zero() {
                return Err(if watch.is_behind() {
                    PlatformError::Behind
                } else {
                    PlatformError::Silent
                });
            }
            smol::Timer::after(left.min(WATCH_LOOK)).await;
        }
    }

    /// Notes that the store answers; returns whether it was away before, so
    /// that entries may have lapsed in servers that live.
    fn back(&self, contact: &mut Contact, revision: u64) -> bool {
        let before = std::mem::replace(contact, Contact::Heard);
        self.away.store(false, Ordering::Relaxed);
        self.relies.store(false, Ordering::Relaxed);
        if before != Contact::Heard {
            self.note(LogEvent::new("store_regained").with("revision", revision));
        }
        before == Contact::Lost
    }

    /// Notes that the store does not answer, or less than it tells others.
    fn lose(&self, contact: &mut Contact, error: &PlatformError) {
        let before = *contact;
        *contact = match error {
            PlatformError::Behind if before != Contact::Lost => Contact::Behind,
            _ => Contact::Lost,
        };
        if before == Contact::Heard {
            self.away.store(true, Ordering::Relaxed);
            self.tell_waiting();
            self.note(LogEvent::new("store_lost").with("why", error));
        }
    }
}

/// Returns whether changes after `revision` hold every revision up to their
/// own. The watch is for all keys, so one that is missing was dropped on the
/// way, and with it, it may be, a version of the routing.
fn is_gapless(revision: u64, changes: &Changes) -> bool {
    let mut expected = revision + 1;
    for item in &changes.items {
        if item.revision > expected {
            return false;
        }
        expected = expected.max(item.revision + 1);
    }
    changes.revision < expected
}
