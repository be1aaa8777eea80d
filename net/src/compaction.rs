//! Frees the room of a file of which little is needed: what is needed is appended to
//! the current file, a piece at a time between other writes.

use limpetferry_lib::ledger::StoredRecord;

use crate::keeper_state::SharedState;
use crate::segments::SegmentError;
use crate::segments::SegmentReader;
use crate::segments::Segments;

/// Bytes that are read before other writes have their turn.
const PIECE_BYTES: u64 = 256 << 10;

/// The compaction of one file.
pub struct Compaction {
    segment: u64,
    reader: SegmentReader,
}

impl Compaction {
    /// Begins with an older file.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if it cannot be read.
    pub fn start(segments: &Segments, segment: u64) -> Result<Self, SegmentError> {
        let reader = segments.read(segment)?;
        Ok(Self { segment, reader })
    }

    /// Returns the file.
    pub fn segment(&self) -> u64 {
        self.segment
    }

    /// Does the next piece, and returns whether more is left.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails; nothing is lost then.
    pub fn step(
        &mut self,
        segments: &mut Segments,
        state: &SharedState,
    ) -> Result<bool, SegmentError> {
        let limit = self.reader.offset() + PIECE_BYTES;
        let mut moved: Vec<StoredRecord> = Vec::new();
        let mut has_more = true;
        while self.reader.offset() < limit {
            let next = self.reader.next_record();
            let next = next.map_err(|error| segments.read_error(self.segment, error))?;
            let Some((record, location)) = next else {
                has_more = false;
                break;
            };
            moved.extend(state.lock().ledger.compacted(record, location));
        }
        let locations = segments.append(&moved)?;
        let mut state = state.lock();
        for (stored, location) in moved.iter().zip(locations) {
            state.ledger.set_location(&stored.record, location);
        }
        Ok(has_more)
    }
}
