//! Requests that wait in a gateway for a server with room.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Sender;
use limpetferry_lib::concurrency_limit::ConcurrencyLimit;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::dispatch_queue::DispatchQueue;
use limpetferry_lib::dispatch_queue::EntryKey;
use limpetferry_lib::dispatch_queue::QueueBounds;
use limpetferry_lib::dispatch_queue::QueueRefusal;
use limpetferry_lib::dispatch_queue::QueuedRequest;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::fleet::Room;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::time::Time;

use crate::clock::Clock;
use crate::site::Site;
use crate::timeout::within;

/// Most requests that wait for one service: more than end there while the most
/// patient caller waits.
const MAX_QUEUED: usize = 512;

/// What a request that waits is told.
type Verdict = Result<Permit, QueueRefusal>;

/// The queues of a gateway, one for each service.
pub struct Dispatch {
    on: bool,
    bounds: QueueBounds,
    site: Arc<Site>,
    clock: Clock,
    services: Mutex<BTreeMap<Arc<str>, ServiceQueue>>,
}

struct ServiceQueue {
    limit: ConcurrencyLimit,
    queue: DispatchQueue<Sender<Verdict>>,
    /// Requests at each server.
    servers: BTreeMap<ServerKey, u32>,
    /// When the queue is looked at without a request that ends.
    timer: Option<Time>,
}

impl ServiceQueue {
    /// Returns how many requests are at servers that do not answer.
    fn lost(&self, now: Time, fleet: &Fleet) -> u32 {
        let servers = self.servers.iter();
        let lost = servers.filter(|(key, _)| fleet.is_lost(now, **key));
        lost.map(|(_, count)| count).sum()
    }

    /// Returns whether one more request may go to a server.
    fn is_open(&self, room: Option<Room>, lost: u32) -> bool {
        let there: u32 = self.servers.values().sum();
        let choosing = self.limit.running().saturating_sub(there);
        // Without servers nothing is to be waited for.
        let open = room.is_none_or(|room| choosing < room.spare);
        self.limit.limit().is_none() || open && self.limit.has_room(lost)
    }
}

/// The queue of a service, for a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueState {
    /// The service.
    pub service: Arc<str>,
    /// Requests that wait.
    pub length: usize,
    /// How long the oldest one has been there.
    pub oldest: Duration,
    /// Requests at servers.
    pub running: u32,
    /// Requests that may be there, if that is limited.
    pub limit: Option<f64>,
}

impl QueueState {
    /// Returns its line.
    pub fn note(&self) -> LogEvent {
        LogEvent::new("queued")
            .with("service", &self.service)
            .with("length", self.length)
            .with("oldest_ms", self.oldest.as_millis())
            .with("running", self.running)
            .with("limit", format!("{:.1}", self.limit.unwrap_or(0.0)))
    }
}

/// The right to have a request at a server, until this is dropped.
pub struct Permit {
    dispatch: Arc<Dispatch>,
    service: Arc<str>,
    server: Option<ServerKey>,
    since: Time,
    outcome: ServerOutcome,
}

impl Permit {
    /// Says to which server the request goes.
    pub fn set_server(&mut self, key: ServerKey) {
        self.server = Some(key);
        let mut services = self.dispatch.services();
        let queue = self.dispatch.queue(&mut services, &self.service);
        *queue.servers.entry(key).or_default() += 1;
    }

    /// Gives the right back, and says how the request ended.
    pub fn end(mut self, outcome: ServerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.dispatch.leave(self);
    }
}

/// What becomes of a request that comes.
enum Arrival {
    Goes(Permit),
    Waits {
        key: EntryKey,
        /// When its caller is to come back if it waits in vain.
        after: Duration,
    },
}

/// A request in its queue, which it leaves when this is dropped.
struct Place<'a> {
    dispatch: &'a Dispatch,
    service: &'a str,
    key: EntryKey,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut services = self.dispatch.services();
        let queue = services.get_mut(self.service);
        let removed = queue.and_then(|queue| queue.queue.remove(self.key));
        drop(services);
        drop(removed);
    }
}

impl Dispatch {
    /// Makes the queues of a gateway, all empty, which hold `bytes` of bodies for
    /// each service; none is used unless they are `on`.
    pub fn new(on: bool, bytes: usize, site: Arc<Site>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            on,
            bounds: QueueBounds {
                length: MAX_QUEUED,
                bytes,
            },
            site,
            clock,
            services: Mutex::default(),
        })
    }

    /// Returns whether requests wait here.
    pub fn is_on(&self) -> bool {
        self.on
    }

    fn services(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, ServiceQueue>> {
        self.services.lock().expect("no panic while locked")
    }

    /// Returns how many requests wait for a service.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn queued(&self, service: &str) -> u32 {
        let services = self.services();
        let length = services.get(service).map_or(0, |queue| queue.queue.len());
        u32::try_from(length).unwrap_or(u32::MAX)
    }

    /// Returns the queues that are not empty.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn states(&self) -> Vec<QueueState> {
        let now = self.clock.now();
        let services = self.services();
        let used = services.iter().filter(|(_, queue)| !queue.queue.is_empty());
        let states = used.map(|(service, queue)| QueueState {
            service: service.clone(),
            length: queue.queue.len(),
            oldest: queue.queue.oldest(now),
            running: queue.limit.running(),
            limit: queue.limit.limit(),
        });
        states.collect()
    }

    /// Waits until a server of a service has room.
    ///
    /// # Errors
    ///
    /// Returns a [`QueueRefusal`] if that does not come in time, or if too many
    /// wait.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn enter(
        self: &Arc<Self>,
        service: &Arc<str>,
        waiting: QueuedRequest,
    ) -> Result<Permit, QueueRefusal> {
        let left = waiting.send_by.since(self.clock.now());
        let (sender, verdict) = async_channel::bounded(1);
        let (key, after) = match self.arrive(service, waiting, sender)? {
            Arrival::Goes(permit) => return Ok(permit),
            Arrival::Waits { key, after } => (key, after),
        };
        let _place = Place {
            dispatch: self,
            service,
            key,
        };
        self.pump(service);
        match within(left, verdict.recv()).await {
            Some(Ok(verdict)) => verdict,
            Some(Err(_)) | None => Err(QueueRefusal::Late { retry_after: after }),
        }
    }

    fn arrive(
        self: &Arc<Self>,
        service: &Arc<str>,
        waiting: QueuedRequest,
        sender: Sender<Verdict>,
    ) -> Result<Arrival, QueueRefusal> {
        let now = self.clock.now();
        let known = self.site.known();
        let mut services = self.services();
        let queue = self.queue(&mut services, service);
        let room = known.fleet.room(now, service, queue.limit.limit());
        let lost = queue.lost(now, &known.fleet);
        drop(known);
        if queue.queue.is_empty() && queue.is_open(room, lost) {
            queue.limit.begin();
            return Ok(Arrival::Goes(self.permit(now, service)));
        }
        let rate = queue.limit.rate(now);
        let pushed = queue.queue.push(now, waiting, rate, sender)?;
        let after = queue.queue.retry_after(rate);
        drop(services);
        for displaced in pushed.displaced {
            tell(&displaced, Err(QueueRefusal::Full { retry_after: after }));
        }
        let key = pushed.key;
        Ok(Arrival::Waits { key, after })
    }

    /// Counts a request that goes to a server in any case.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn enter_now(self: &Arc<Self>, service: &Arc<str>) -> Permit {
        let mut services = self.services();
        self.queue(&mut services, service).limit.begin();
        drop(services);
        self.permit(self.clock.now(), service)
    }

    fn queue<'a>(
        &self,
        services: &'a mut BTreeMap<Arc<str>, ServiceQueue>,
        service: &Arc<str>,
    ) -> &'a mut ServiceQueue {
        let bounds = self.bounds;
        services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue {
                limit: ConcurrencyLimit::default(),
                queue: DispatchQueue::new(bounds),
                servers: BTreeMap::new(),
                timer: None,
            })
    }

    fn permit(self: &Arc<Self>, now: Time, service: &Arc<str>) -> Permit {
        Permit {
            dispatch: self.clone(),
            service: service.clone(),
            server: None,
            since: now,
            outcome: ServerOutcome::Abandoned,
        }
    }

    /// Takes a permit back.
    fn leave(self: &Arc<Self>, permit: &Permit) {
        let now = self.clock.now();
        let room = self.site.known().fleet.room(now, &permit.service, None);
        let places = room.map_or(0, |room| room.capacity);
        let mut services = self.services();
        let queue = self.queue(&mut services, &permit.service);
        if let Some(key) = permit.server
            && let Some(count) = queue.servers.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                queue.servers.remove(&key);
            }
        }
        let wait = queue.queue.oldest(now);
        queue
            .limit
            .end(now, permit.since, permit.outcome, places, wait);
        if queue.queue.is_empty() {
            queue.limit.lift_if_idle(now);
            return;
        }
        drop(services);
        self.pump(&permit.service);
    }

    /// Lets those go that there is room for, and those leave whose time does not
    /// cover their work any more.
    fn pump(self: &Arc<Self>, service: &Arc<str>) {
        let now = self.clock.now();
        let mut told = Vec::new();
        let known = self.site.known();
        let mut services = self.services();
        let queue = self.queue(&mut services, service);
        let room = known.fleet.room(now, service, queue.limit.limit());
        let lost = queue.lost(now, &known.fleet);
        let silence = known.fleet.silence(service);
        drop(known);
        let after = queue.queue.retry_after(queue.limit.rate(now));
        for late in queue.queue.expire(now) {
            told.push((late, Err(QueueRefusal::Late { retry_after: after })));
        }
        while queue.is_open(room, lost)
            && let Some(next) = queue.queue.pop(now)
        {
            queue.limit.begin();
            told.push((next, Ok(self.permit(now, service))));
        }
        let opens = room.and_then(|room| room.available_at);
        // A server that dies says nothing; its requests are lost after a while.
        let due = opens.unwrap_or(now + silence);
        let planned = queue.timer.filter(|&due| due > now);
        let is_next = !queue.queue.is_empty() && planned.is_none_or(|other| due < other);
        let wake = is_next.then_some(due);
        queue.timer = wake.or(planned);
        drop(services);
        if let Some(due) = wake {
            self.pump_after(due.since(now), service);
        }
        for (sender, verdict) in told {
            tell(&sender, verdict);
        }
    }

    fn pump_after(self: &Arc<Self>, wait: Duration, service: &Arc<str>) {
        let this = self.clone();
        let service = service.clone();
        smol::spawn(async move {
            within(wait, pending::<()>()).await;
            this.pump(&service);
        })
        .detach();
    }
}

/// Tells a request what becomes of it. One that has left meanwhile gives its
/// permit back.
fn tell(sender: &Sender<Verdict>, verdict: Verdict) {
    drop(sender.try_send(verdict));
}
