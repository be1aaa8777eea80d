//! Connections of a listener that have not said who they are. When there are too many, the
//! one that has waited longest gives way to a new one.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_channel::Receiver;
use async_channel::Sender;

/// The connections of one listener that have not said who they are.
#[derive(Clone, Debug)]
pub struct Strangers {
    most: usize,
    /// In the order in which they came. Closing one makes its connection give way.
    waiting: Arc<Mutex<VecDeque<Sender<()>>>>,
}

impl Strangers {
    /// Makes those of a listener, at most `most` at once.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            waiting: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Sender<()>>> {
        self.waiting.lock().expect("no panic while locked")
    }

    /// Waits until a new connection has said who it is. Returns `None` if it gives way to
    /// others before.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn meet<T>(&self, introduction: impl Future<Output = T>) -> Option<T> {
        let place = self.add();
        let displaced = async {
            let _ = place.recv().await;
            None
        };
        futures_lite::future::or(displaced, async { Some(introduction.await) }).await
    }

    /// Adds a connection, which leaves once its place is dropped.
    fn add(&self) -> Receiver<()> {
        let (keep, place) = async_channel::bounded(1);
        let mut waiting = self.lock();
        waiting.retain(|keep| !keep.is_closed());
        while waiting.len() >= self.most {
            if let Some(oldest) = waiting.pop_front() {
                oldest.close();
            }
        }
        waiting.push_back(keep);
        place
    }
}
