//! The thread that writes a keeper's records, many with one sync.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::RequestId;
use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::ledger::StoredRecord;

use crate::compaction::Compaction;
use crate::essential;
use crate::keeper_state::SharedState;
use crate::log;
use crate::replies::ReplySender;
use crate::segments::SegmentError;
use crate::segments::Segments;

/// Jobs written with one sync: a bound on what one writer waits for.
const MAX_BATCH: usize = 1_024;
/// Exit code of a process whose disk fails: what it acknowledged is on the
/// disk, what it holds in memory may not be.
const DISK_FAILED: i32 = 4;

/// Who is told that records are on disk.
pub enum Listener {
    /// Another process that asked for it.
    Peer(ReplySender, RequestId),
    /// A task of this process.
    Task(async_channel::Sender<()>),
}

impl Listener {
    fn tell(self) {
        match self {
            Self::Peer(sender, ticket) => {
                sender.send(ticket, KeeperReply::Synced);
            }
            Self::Task(sender) => {
                // The task may have ended.
                let _ = sender.try_send(());
            }
        }
    }
}

/// What the thread is asked to do.
pub enum Job {
    /// Put records on disk, and then say so.
    Keep {
        /// The records.
        records: Vec<StoredRecord>,
        /// Whom to tell.
        tell: Option<Listener>,
    },
    /// Note on disk that the keeper has all that it ever acknowledged.
    SetWhole(async_channel::Sender<()>),
    /// Put what is known from the platform's store on disk.
    Site(Snapshot),
    /// Look for a file to compact; one that is less sparse is worth it while room is
    /// short.
    Tidy {
        /// Whether room is short.
        is_pressed: bool,
    },
    /// Go on with the compaction.
    Compact,
}

#[derive(Default)]
struct Counts {
    bytes: AtomicU64,
    unwritten: AtomicU64,
}

/// Hands jobs to the thread.
#[derive(Clone)]
pub struct Disk {
    jobs: async_channel::Sender<Job>,
    counts: Arc<Counts>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(
        node: &str,
        folder: PathBuf,
        segments: Segments,
        state: SharedState,
    ) -> std::io::Result<Self> {
        let (jobs, queue) = async_channel::unbounded();
        let counts = Arc::new(Counts::default());
        counts.bytes.store(segments.bytes(), Ordering::Relaxed);
        let node = node.to_owned();
        let mut writer = Writer {
            node: node.clone(),
            segments,
            state,
            counts: counts.clone(),
            compaction: None,
            skipped: BTreeSet::new(),
        };
        let again = jobs.clone();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || {
                essential::run_thread(&node, "disk", || {
                    if let Err(error) = writer.run(&queue, &again) {
                        let note = LogEvent::new("disk_failed").with("folder", folder.display());
                        log::note(&node, &note.with("why", error));
                        log::flush();
                        std::process::exit(DISK_FAILED);
                    }
                });
            })?;
        Ok(Self { jobs, counts })
    }

    /// Hands a job over.
    pub fn send(&self, job: Job) {
        if let Job::Keep { records, .. } = &job {
            let bytes = text_bytes(records);
            self.counts.unwritten.fetch_add(bytes, Ordering::Relaxed);
        }
        // The thread ends only with the process.
        let _ = self.jobs.try_send(job);
    }

    /// Returns the bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of the texts that wait to be written.
    pub fn unwritten(&self) -> u64 {
        self.counts.unwritten.load(Ordering::Relaxed)
    }

    /// Returns the number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.jobs.len()
    }
}

fn text_bytes(records: &[StoredRecord]) -> u64 {
    let each = records.iter().map(|stored| stored.record.text().len());
    each.sum::<usize>() as u64
}

struct Writer {
    node: String,
    segments: Segments,
    state: SharedState,
    counts: Arc<Counts>,
    compaction: Option<Compaction>,
    /// Files that a compaction could not empty, as a record in them is damaged.
    skipped: BTreeSet<u64>,
}

impl Writer {
    fn run(
        &mut self,
        queue: &async_channel::Receiver<Job>,
        again: &async_channel::Sender<Job>,
    ) -> Result<(), SegmentError> {
        while let Ok(first) = queue.recv_blocking() {
            let mut listeners = Vec::new();
            let mut next = Some(first);
            let mut count = 0;
            while let Some(job) = next.take() {
                self.take(job, &mut listeners)?;
                count += 1;
                if count < MAX_BATCH {
                    next = queue.try_recv().ok();
                }
            }
            self.segments.sync()?;
            listeners.into_iter().for_each(Listener::tell);
            self.remove_dead()?;
            let bytes = self.segments.bytes();
            self.counts.bytes.store(bytes, Ordering::Relaxed);
            if self.compaction.is_some() {
                // After what has come meanwhile.
                let _ = again.try_send(Job::Compact);
            }
        }
        Ok(())
    }

    fn take(&mut self, job: Job, listeners: &mut Vec<Listener>) -> Result<(), SegmentError> {
        match job {
            Job::Keep { records, tell } => {
                self.keep(&records)?;
                listeners.extend(tell);
            }
            Job::SetWhole(done) => {
                self.segments.sync()?;
                self.segments.set_whole()?;
                let _ = done.try_send(());
            }
            Job::Site(snapshot) => self.segments.write_site(&snapshot)?,
            Job::Tidy { is_pressed } => self.tidy(is_pressed)?,
            Job::Compact => self.compact()?,
        }
        Ok(())
    }

    fn keep(&mut self, records: &[StoredRecord]) -> Result<(), SegmentError> {
        let locations = self.segments.append(records)?;
        let mut state = self.state.lock();
        for (stored, location) in records.iter().zip(locations) {
            if state.ledger.set_location(&stored.record, location) {
                state.cache.put(location, stored.record.text().clone());
            }
        }
        drop(state);
        let bytes = text_bytes(records);
        self.counts.unwritten.fetch_sub(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Begins to compact a file, if one is worth it.
    fn tidy(&mut self, is_pressed: bool) -> Result<(), SegmentError> {
        if self.compaction.is_some() {
            return Ok(());
        }
        let current = self.segments.current();
        let state = self.state.lock();
        let disk = state.ledger.disk();
        let sparsest = disk.sparsest(current, is_pressed, &self.skipped);
        let usage = sparsest.map(|segment| disk.segment(segment));
        drop(state);
        if let (Some(segment), Some(usage)) = (sparsest, usage) {
            self.compaction = Some(Compaction::start(&self.segments, segment)?);
            let note = LogEvent::new("compacting").with("segment", segment);
            let note = note.with("bytes", usage.bytes);
            log::note(&self.node, &note.with("live_bytes", usage.live_bytes));
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), SegmentError> {
        let Some(compaction) = &mut self.compaction else {
            return Ok(());
        };
        if compaction.step(&mut self.segments, &self.state)? {
            return Ok(());
        }
        let segment = compaction.segment();
        self.compaction = None;
        let left = self.state.lock().ledger.disk().segment(segment);
        if left.live_records > 0 {
            self.skipped.insert(segment);
            let note = LogEvent::new("segment_damaged").with("segment", segment);
            let note = note.with("records_left", left.live_records);
            let remedy = "it stays until these expire; check the disk";
            log::note(&self.node, &note.with("remedy", remedy));
        }
        Ok(())
    }

    fn remove_dead(&mut self) -> Result<(), SegmentError> {
        let current = self.segments.current();
        let dead = self.state.lock().ledger.disk().dead(current);
        for segment in dead {
            self.segments.remove(segment)?;
            self.state.lock().ledger.remove_segment(segment);
            self.skipped.remove(&segment);
        }
        Ok(())
    }
}
