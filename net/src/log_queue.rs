//! Log lines on their way to a stream that may block: a bounded queue, and a
//! thread that empties it. Whoever logs never waits for the reader.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Bytes of lines that wait; lines above it are dropped and counted. It is
/// some ten seconds of a gateway at its full load.
const MAX_WAITING: usize = 1 << 20;
/// How long lines gather before they are written at once, so that a line does
/// not cost a wake-up and a system call of its own.
const GATHER: Duration = Duration::from_millis(50);
/// Longest wait for the last lines of a process.
const FLUSH_WAIT: Duration = Duration::from_millis(300);
/// Time between looks whether they were written.
const FLUSH_LOOK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    filled: Condvar,
}

/// A queue of log lines.
#[derive(Clone, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl Shared {
    /// Returns the lines, locked. A panic elsewhere is logged too, so a lock that a
    /// panic poisoned is used on: bytes and counts stay valid at each step.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogQueue {
    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let queue = Self::default();
        let shared = queue.shared.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&shared, output))?;
        Ok(queue)
    }

    /// Adds a line, or drops it if too many wait.
    pub fn push(&self, line: &[u8]) {
        let mut waiting = self.shared.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.shared.filled.notify_one();
        }
    }

    /// Returns the number of lines dropped since the last line that told it.
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits a moment for all lines to be written.
    pub fn flush(&self) {
        let start = Instant::now();
        while start.elapsed() < FLUSH_WAIT {
            {
                let waiting = self.shared.lock();
                if waiting.bytes.is_empty() && !waiting.writing {
                    return;
                }
            }
            std::thread::sleep(FLUSH_LOOK);
        }
    }
}

fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let mut waiting = shared.lock();
        while waiting.bytes.is_empty() {
            waiting = shared
                .filled
                .wait(waiting)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(waiting);
        std::thread::sleep(GATHER);
        let mut waiting = shared.lock();
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        waiting.writing = true;
        drop(waiting);
        if dropped > 0 {
            bytes.extend_from_slice(format!("event=log_dropped lines={dropped}\n").as_bytes());
        }
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        let mut waiting = shared.lock();
        waiting.writing = false;
    }
}

/// Hands log records to a queue.
pub struct QueueAppender {
    /// Where the lines go.
    pub queue: LogQueue,
    /// How a record becomes a line.
    pub encoder: Box<dyn Encode>,
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("QueueAppender")
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.queue.push(&line.0);
        Ok(())
    }

    fn flush(&self) {
        self.queue.flush();
    }
}
