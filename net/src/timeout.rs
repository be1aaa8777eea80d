//! Bounds on how long a future may take.
//!
//! Nearly all of them are dropped before they are due, some ten for each
//! request. All wait behind one timer of the reactor, since each timer that the
//! reactor is given costs system calls at once: counted with strace under a
//! steady load, a gateway makes 38 for each request so, and 50 otherwise.

use std::collections::BTreeMap;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Once;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt as _;
use hyper::rt::Sleep;
use hyper::rt::Timer;
use limpetferry_lib::time::MAX_SPAN;

use crate::essential;

/// How much later than asked a bound may take effect, so that those that fall
/// together share a wake-up: little against the shortest bound, 30 ms.
const GRAIN: Duration = Duration::from_millis(4);

static WAITING: Mutex<Waiting> = Mutex::new(Waiting {
    next: 0,
    bounds: BTreeMap::new(),
    planned: None,
    driver: None,
});
static DRIVER: Once = Once::new();

/// Waits for `future`, at most for `limit`; `None` if it took longer.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expire = async {
        Expiry::new(due(limit)).await;
        None
    };
    async { Some(future.await) }.or(expire).await
}

/// Returns when `limit` ends. One that is longer than [`MAX_SPAN`] may not fit the clock.
fn due(limit: Duration) -> Instant {
    Instant::now() + limit.min(MAX_SPAN)
}

/// Place of a bound among those that wait: when it is due, and its number.
type Place = (Instant, u64);

/// All bounds that somebody waits for.
struct Waiting {
    next: u64,
    bounds: BTreeMap<Place, Waker>,
    /// When the driver wakes next.
    planned: Option<Instant>,
    driver: Option<Waker>,
}

fn waiting() -> MutexGuard<'static, Waiting> {
    WAITING.lock().expect("no panic while locked")
}

impl Waiting {
    fn add(&mut self, due: Instant, waker: Waker) -> Place {
        let place = (due, self.next);
        self.next += 1;
        self.bounds.insert(place, waker);
        if self.planned.is_none_or(|planned| due + GRAIN < planned)
            && let Some(driver) = self.driver.take()
        {
            driver.wake();
        }
        place
    }

    /// Takes out those that are due.
    fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let later = self.bounds.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut self.bounds, later);
        due.into_values().collect()
    }

    fn plan(&mut self, now: Instant) -> Option<Instant> {
        let first = self.bounds.first_key_value();
        self.planned = first.map(|((due, _), _)| (*due).max(now + GRAIN));
        self.planned
    }
}

/// Wakes those whose time has come, for as long as the process runs.
async fn drive() {
    let mut timer = smol::Timer::never();
    poll_fn(|context| {
        loop {
            let now = Instant::now();
            let mut all = waiting();
            let due = all.take_due(now);
            let planned = all.plan(now);
            all.driver = Some(context.waker().clone());
            drop(all);
            due.into_iter().for_each(Waker::wake);
            match planned {
                Some(planned) => timer.set_at(planned),
                None => timer = smol::Timer::never(),
            }
            if Pin::new(&mut timer).poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await
}

/// The bounds that hyper sets.
#[derive(Clone, Copy, Debug)]
pub struct HttpTimer;

impl Timer for HttpTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(due(duration))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(Expiry::new(deadline))
    }
}

impl Sleep for Expiry {}

/// Completes at a point of time, or a little later.
struct Expiry {
    due: Instant,
    place: Option<Place>,
}

impl Expiry {
    fn new(due: Instant) -> Self {
        DRIVER.call_once(|| {
            smol::spawn(essential::without_panic("", "timers", drive())).detach();
        });
        Self { due, place: None }
    }
}

impl Future for Expiry {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.due {
            return Poll::Ready(());
        }
        let waker = context.waker();
        let mut all = waiting();
        let known = self.place.and_then(|place| all.bounds.get_mut(&place));
        match known {
            Some(known) => known.clone_from(waker),
            None => self.place = Some(all.add(self.due, waker.clone())),
        }
        Poll::Pending
    }
}

impl Drop for Expiry {
    fn drop(&mut self) {
        if let Some(place) = self.place {
            waiting().bounds.remove(&place);
        }
    }
}
