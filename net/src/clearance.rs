//! The permission to send a request to one server.

use bytes::Bytes;

use crate::turns::OpenTurn;

/// A recorded run: until it ends it counts as one that may end a server.
pub struct RecordedRun(Option<Box<OpenTurn>>);

impl RecordedRun {
    pub(crate) fn new(turn: OpenTurn) -> Self {
        Self(Some(Box::new(turn)))
    }

    /// Records whether a server ended under the run. Returns whether a majority of
    /// keepers has that on disk.
    pub async fn end(mut self, server_ended: bool) -> bool {
        match self.0.take() {
            Some(turn) => end_turn(*turn, server_ended).await,
            None => true,
        }
    }
}

impl Drop for RecordedRun {
    fn drop(&mut self) {
        if let Some(turn) = self.0.take() {
            smol::spawn(async move { end_turn(*turn, false).await }).detach();
        }
    }
}

async fn end_turn(turn: OpenTurn, server_ended: bool) -> bool {
    let used = u64::from(server_ended);
    turn.end(Bytes::new(), used, false, None).await
}

/// The permission to send a request once. Only [`crate::quarantine::Quarantine`]
/// gives it.
#[derive(Default)]
pub struct Clearance {
    /// The run, if a server has ended under the request before.
    run: Option<RecordedRun>,
    /// The server, if it is reserved for this run.
    reservation: Option<RecordedRun>,
    /// Servers that have ended under the request.
    ends: u64,
}

impl Clearance {
    /// Creates the permission of a request under which no server has ended.
    pub(crate) fn unrecorded() -> Self {
        Self::default()
    }

    /// Creates the permission of a recorded run.
    pub(crate) fn recorded(run: RecordedRun, ends: u64) -> Self {
        Self {
            run: Some(run),
            reservation: None,
            ends,
        }
    }

    /// Returns whether the run is recorded.
    pub fn is_recorded(&self) -> bool {
        self.run.is_some()
    }

    /// Returns how many servers had ended under the request.
    pub fn ends(&self) -> u64 {
        self.ends
    }

    /// Adds the reservation of the server.
    pub(crate) fn reserve(&mut self, reservation: RecordedRun) {
        self.reservation = Some(reservation);
    }

    /// Takes the recorded run, whose end is still to be found out.
    pub(crate) fn take_run(&mut self) -> Option<RecordedRun> {
        self.run.take()
    }
}
