//! Connections of callers at one listener: what each does, and which is closed when the
//! listener's memory is used up.

use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::caller_connections::Activity;
use limpetferry_lib::caller_connections::Phase;
use limpetferry_lib::caller_connections::choose_closed;
use limpetferry_lib::gateway_budget::GatewayPart;
use smol::Async;

use crate::clock::Clock;
use crate::held::Held;
use crate::held::Hold;

/// Pause until a connection that is being closed has given its memory back.
const CLOSE_PAUSE: Duration = Duration::from_millis(2);
/// Pauses after which a new connection is closed as too many.
const CLOSE_PAUSES: usize = 10;

/// Part of the connections that is kept free for new ones, as a divisor.
const SPARE_DIVISOR: usize = 16;

type Socket = Arc<Async<std::net::TcpStream>>;
/// Takes notice of each connection that is closed for want of a part.
pub type CloseNotice = Box<dyn Fn(GatewayPart) + Send + Sync>;

/// The connections of one listener.
pub struct Connections {
    /// Most connections at once.
    most: usize,
    /// Most bytes of heads that are not whole.
    most_heads: usize,
    clock: Clock,
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    /// Bytes of heads that are not whole.
    heads: Held,
    next: AtomicU64,
    closed: CloseNotice,
}

impl Connections {
    /// Makes the connections of a listener. `closed` learns of each that is closed early.
    pub fn new(most: usize, most_heads: usize, clock: Clock, closed: CloseNotice) -> Arc<Self> {
        Arc::new(Self {
            most,
            most_heads,
            clock,
            open: Mutex::default(),
            heads: Held::default(),
            next: AtomicU64::new(0),
            closed,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.open.lock().expect("no panic while locked")
    }

    /// Returns how many are open.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the bytes of heads that are not whole.
    pub fn head_bytes(&self) -> usize {
        self.heads.bytes()
    }

    /// Adds a connection, for which another one is closed if there are too many; `None` if
    /// none may be.
    pub async fn add(self: &Arc<Self>, socket: Socket) -> Option<Guard> {
        let count = self.count();
        if count >= self.most {
            if !self.wait_for_room().await {
                (self.closed)(GatewayPart::Connections);
                return None;
            }
        } else if count >= self.most - self.most / SPARE_DIVISOR {
            self.close_one(GatewayPart::Connections);
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection {
            id,
            socket,
            all: self.clone(),
            closing: AtomicBool::new(false),
            state: Mutex::new(State {
                activity: Activity {
                    since: self.clock.now(),
                    ..Activity::default()
                },
                head: self.heads.none(),
            }),
        });
        self.lock().insert(id, connection.clone());
        Some(Guard(connection))
    }

    async fn wait_for_room(&self) -> bool {
        if !self.close_one(GatewayPart::Connections) {
            return false;
        }
        for _ in 0..CLOSE_PAUSES {
            smol::Timer::after(CLOSE_PAUSE).await;
            if self.count() < self.most {
                return true;
            }
        }
        false
    }

    /// Closes the connection that keeps most of a part from others. Returns whether there
    /// is one.
    pub fn close_one(&self, part: GatewayPart) -> bool {
        let now = self.clock.now();
        let open = self.lock();
        let listed = open.values().map(|one| (one, one.activity()));
        let Some(chosen) = choose_closed(now, part, listed).cloned() else {
            return false;
        };
        drop(open);
        chosen.close();
        (self.closed)(part);
        true
    }
}

struct State {
    activity: Activity,
    /// Bytes of its head, while that is not whole.
    head: Hold,
}

/// One connection.
pub struct Connection {
    id: u64,
    socket: Socket,
    all: Arc<Connections>,
    closing: AtomicBool,
    state: Mutex<State>,
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    fn activity(&self) -> Activity {
        Activity {
            closing: self.closing.load(Ordering::Relaxed),
            ..self.lock().activity
        }
    }

    /// Ends it for both sides, so that reads and writes that wait return.
    fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        // Fails if the caller has closed it already.
        let _ = self.socket.get_ref().shutdown(Shutdown::Both);
    }

    /// Notes what it does from now on.
    pub fn enter(&self, phase: Phase) {
        let now = self.all.clock.now();
        let mut state = self.lock();
        state.activity.phase = phase;
        state.activity.since = now;
        state.head.clear();
    }

    /// Notes that its caller has sent `bytes`.
    pub fn received(&self, bytes: usize) {
        let now = self.all.clock.now();
        let mut state = self.lock();
        match state.activity.phase {
            Phase::Idle => {
                state.activity.phase = Phase::Head;
                state.activity.since = now;
            }
            Phase::Body => state.activity.since = now,
            Phase::Head | Phase::Work | Phase::Answer => {}
        }
        if state.activity.phase != Phase::Head {
            return;
        }
        let fits = state.head.grow(bytes, self.all.most_heads);
        if !fits {
            state.head.grow(bytes, usize::MAX);
        }
        drop(state);
        if !fits {
            self.all.close_one(GatewayPart::Heads);
        }
    }

    /// Notes that its caller has taken bytes of an answer.
    pub fn sent(&self) {
        let now = self.all.clock.now();
        let mut state = self.lock();
        if state.activity.phase == Phase::Answer {
            state.activity.since = now;
        }
    }
}

/// A connection that is listed until this is dropped.
pub struct Guard(Arc<Connection>);

impl Guard {
    /// Returns the connection.
    pub fn connection(&self) -> Arc<Connection> {
        self.0.clone()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.all.lock().remove(&self.0.id);
    }
}
