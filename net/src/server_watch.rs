//! Finds out which servers ended, and under which requests: by connections that broke,
//! and by watching servers at which requests were left without a complete answer.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::fingerprint::RequestFingerprint;
use limpetferry_lib::left_runs::WATCH_TIME;

use crate::clearance::RecordedRun;
use crate::lease::SentTo;
use crate::quarantine::Quarantine;
use crate::server_probe;
use crate::server_probe::ProbeResult;

/// Time from when a request is left at a server until the server is probed: if it ends
/// under the request its connections break first.
const PROBE_AFTER: Duration = Duration::from_millis(20);

impl Quarantine {
    /// Finds out whether a server has ended, whose connection broke under a request,
    /// and records it. The result goes to the returned receiver; the work goes on
    /// without one.
    pub fn settle_break(
        self: &Arc<Self>,
        to: &SentTo,
        attempt: &Arc<str>,
        request: RequestFingerprint,
        run: Option<RecordedRun>,
    ) -> async_channel::Receiver<bool> {
        let (done, settled) = async_channel::bounded(1);
        let (this, to, attempt) = (self.clone(), to.clone(), attempt.clone());
        smol::spawn(async move {
            let result = this.probe(&to, Some((&attempt, request))).await;
            let ended = this.shows_end(&to, result);
            if ended {
                this.end_left_runs(&to);
                this.record_end(to.start, request, run).await;
            } else {
                this.state().left.leave(this.clock.now(), to.key, request);
            }
            // The caller may have left.
            let _ = done.try_send(ended);
        })
        .detach();
        settled
    }

    /// Connects to a server, and notes what that shows; `under` is the attempt and the
    /// request under which its connection broke.
    async fn probe(
        &self,
        to: &SentTo,
        under: Option<(&Arc<str>, RequestFingerprint)>,
    ) -> ProbeResult {
        let result = server_probe::probe(to.address).await;
        let label = result.label();
        self.probes.with_label_values(&[label]).inc();
        let note = LogEvent::new("server_probed")
            .with("server", &to.server)
            .with("address", to.address)
            .with("result", label)
            .with_some("attempt", under.map(|(attempt, _)| attempt))
            .with_some("request", under.map(|(_, request)| request));
        self.note(note);
        result
    }

    /// Returns whether a probe shows that a server has ended, other than one that
    /// leaves as planned.
    fn shows_end(&self, to: &SentTo, result: ProbeResult) -> bool {
        result == ProbeResult::Refused && !self.turns.site.is_draining(to.key)
    }

    /// Finds out shortly whether a server has ended at which requests were left.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn probe_soon(self: &Arc<Self>, to: &SentTo) {
        if !self.state().probing.insert(to.key) {
            return;
        }
        let (this, to) = (self.clone(), to.clone());
        smol::spawn(async move {
            smol::Timer::after(PROBE_AFTER).await;
            this.state().probing.remove(&to.key);
            let result = this.probe(&to, None).await;
            if this.shows_end(&to, result) {
                this.end_left_runs(&to);
            }
        })
        .detach();
    }

    /// Finds out whether a server has ended whose entry is gone.
    pub fn probe_gone(self: &Arc<Self>, to: SentTo) {
        let this = self.clone();
        smol::spawn(async move {
            if this.probe(&to, None).await != ProbeResult::Listening {
                this.end_left_runs(&to);
            }
        })
        .detach();
    }

    /// Records that a server ended under the requests that were left there.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn end_left_runs(self: &Arc<Self>, to: &SentTo) {
        let mut state = self.state();
        let left = state.left.end(self.clock.now(), to.key);
        state.watched.remove(&to.key);
        drop(state);
        for request in left {
            let (this, server) = (self.clone(), to.start);
            smol::spawn(async move { this.record_end(server, request, None).await }).detach();
        }
    }

    /// Watches a server at which a request was left without a complete answer.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn leave(
        self: &Arc<Self>,
        to: &SentTo,
        request: RequestFingerprint,
        run: Option<RecordedRun>,
    ) {
        let (now, key) = (self.clock.now(), to.key);
        self.probe_soon(to);
        let mut state = self.state();
        state.watched.insert(key, (now, to.clone()));
        let Some(run) = run else {
            state.left.leave(now, key, request);
            return;
        };
        drop(state);
        let (this, server) = (self.clone(), to.start);
        smol::spawn(async move {
            smol::Timer::after(WATCH_TIME).await;
            if this.state().left.has_ended(key) {
                this.record_end(server, request, Some(run)).await;
            }
        })
        .detach();
    }

    /// Returns whether a request was left at a server.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn is_watching(&self, key: ServerKey) -> bool {
        self.state().watched.contains_key(&key)
    }

    /// Returns the servers at which requests were left.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn watched(&self) -> Vec<SentTo> {
        let state = self.state();
        state.watched.values().map(|(_, to)| to.clone()).collect()
    }

    /// Stops to watch a server; requests that were left there still count if it has
    /// ended.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn unwatch(&self, key: ServerKey) {
        self.state().watched.remove(&key);
    }

    /// Stops to watch a server that leaves as planned.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn forget(&self, key: ServerKey) {
        let mut state = self.state();
        state.watched.remove(&key);
        state.left.forget(key);
    }
}
