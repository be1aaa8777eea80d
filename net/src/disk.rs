//! The thread that writes a keeper's records, many with one sync.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::RequestId;
use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::ledger::StoredRecord;

use crate::log;
use crate::segments::SegmentError;
use crate::segments::Segments;

/// Jobs written with one sync: a bound on what one writer waits for.
const MAX_BATCH: usize = 1_024;
/// Exit code of a process whose disk fails: what it acknowledged is on the
/// disk, what it holds in memory may not be.
const DISK_FAILED: i32 = 4;

/// What the thread is asked to do.
pub enum Job {
    /// Put records on disk, and then say so.
    Keep {
        /// The records.
        records: Vec<StoredRecord>,
        /// Whom to tell.
        tell: Option<(async_channel::Sender<KeeperMessage>, RequestId)>,
    },
    /// Note on disk that the keeper has all that it ever acknowledged.
    SetWhole(async_channel::Sender<()>),
    /// Put what is known from the platform's store on disk.
    Site(Snapshot),
    /// Write these records anew in place of all that was written before.
    Rewrite(Vec<StoredRecord>),
}

/// Hands jobs to the thread.
#[derive(Clone)]
pub struct Disk {
    jobs: async_channel::Sender<Job>,
    bytes: Arc<AtomicU64>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(node: &str, folder: PathBuf, segments: Segments) -> std::io::Result<Self> {
        let (jobs, queue) = async_channel::unbounded();
        let bytes = Arc::new(AtomicU64::new(segments.bytes()));
        let (node, shared) = (node.to_owned(), bytes.clone());
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || {
                if let Err(error) = write_all(segments, &queue, &shared) {
                    let note = LogEvent::new("disk_failed").with("folder", folder.display());
                    log::note(&node, &note.with("why", error));
                    log::flush();
                    std::process::exit(DISK_FAILED);
                }
            })?;
        Ok(Self { jobs, bytes })
    }

    /// Hands a job over.
    pub fn send(&self, job: Job) {
        // The thread ends only with the process.
        let _ = self.jobs.try_send(job);
    }

    /// Returns the bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.jobs.len()
    }
}

fn write_all(
    mut segments: Segments,
    queue: &async_channel::Receiver<Job>,
    bytes: &AtomicU64,
) -> Result<(), SegmentError> {
    while let Ok(first) = queue.recv_blocking() {
        let mut told = Vec::new();
        let mut next = Some(first);
        let mut count = 0;
        while let Some(job) = next.take() {
            match job {
                Job::Keep { records, tell } => {
                    segments.append(&records)?;
                    told.extend(tell);
                }
                Job::SetWhole(done) => {
                    segments.sync()?;
                    segments.set_whole()?;
                    let _ = done.try_send(());
                }
                Job::Site(snapshot) => segments.write_site(&snapshot)?,
                Job::Rewrite(live) => segments.rewrite(&live)?,
            }
            count += 1;
            if count < MAX_BATCH {
                next = queue.try_recv().ok();
            }
        }
        segments.sync()?;
        bytes.store(segments.bytes(), Ordering::Relaxed);
        for (sender, ticket) in told {
            // The asker may have left.
            let _ = sender.try_send(KeeperMessage::Tell(ticket, KeeperReply::Synced));
        }
    }
    Ok(())
}
