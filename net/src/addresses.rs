//! Addresses that a process listens on, each bound as soon as it is free.

use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::time::Time;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use smol::net::TcpListener;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use thiserror::Error;

use crate::clock::Clock;
use crate::essential;
use crate::log;

/// Connections that wait to be taken.
const BACKLOG: i32 = 4_096;
/// Longest wait for an address: the system keeps that of a closed connection for 60 s, and
/// a predecessor's planned stop takes less.
pub const IN_USE_LIMIT: Duration = Duration::from_secs(90);
/// First wait before an address is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait before an address is tried again.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Exit code of settings that this machine refuses.
const EXIT_REFUSED: u8 = 5;
/// Exit code of an address that stayed in use.
const EXIT_IN_USE: u8 = 6;
/// What an operator may do about an address in use.
const IN_USE_REMEDY: &str = "end the process that has it, or name another address";

/// Says why a process cannot listen on an address.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The machine refuses the address.
    #[error("cannot listen on {address}, which {setting} names: {source}; {}", self.remedy())]
    Refused {
        /// Setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address was in use for too long.
    #[error("{address}, which {setting} names, was in use for {} s; {}", waited.as_secs(), self.remedy())]
    InUse {
        /// Setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// How long the process waited for it.
        waited: Duration,
    },
}

impl ListenError {
    /// Returns the setting that names the address.
    pub fn setting(&self) -> &'static str {
        match self {
            Self::Refused { setting, .. } | Self::InUse { setting, .. } => setting,
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Refused { address, .. } | Self::InUse { address, .. } => *address,
        }
    }

    /// Returns what an operator may do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "name an address of this machine that the process may use",
            Self::InUse { .. } => IN_USE_REMEDY,
        }
    }

    /// Returns the exit code of a process that ends with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => EXIT_REFUSED,
            Self::InUse { .. } => EXIT_IN_USE,
        }
    }
}

/// Whether a process can do its work without an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It ends if the address stays in use.
    Required,
    /// It goes on without the address, and takes it once it is free.
    Optional,
}

/// The wait for one address that is in use.
#[derive(Clone, Copy, Debug)]
pub struct AddressWait {
    since: Time,
    pause: Duration,
}

impl AddressWait {
    /// Begins to wait.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            pause: FIRST_PAUSE,
        }
    }

    /// Returns how long the process has waited.
    pub fn waited(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Returns the pause before the next try, or `None` if the wait is over.
    pub fn next_pause(&mut self, now: Time, need: Need) -> Option<Duration> {
        if need == Need::Required && self.waited(now) >= IN_USE_LIMIT {
            return None;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        Some(pause)
    }
}

/// Binds the addresses of one process, and tells which of them it still waits for.
pub struct Listeners {
    node: Arc<str>,
    clock: Clock,
    /// 1 for each setting whose address is waited for.
    waiting: IntGaugeVec,
    say_failure: Sender<ListenError>,
    failures: Receiver<ListenError>,
}

impl Listeners {
    /// Makes the listeners of a process, none yet. Its metric goes to `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error if `registry` has a metric of the same name.
    pub fn new(node: &str, clock: Clock, registry: &Registry) -> prometheus::Result<Arc<Self>> {
        let opts = Opts::new("address_waiting", "Addresses in use that are waited for");
        let waiting = IntGaugeVec::new(opts, &["setting"])?;
        registry.register(Box::new(waiting.clone()))?;
        let (say_failure, failures) = async_channel::unbounded();
        Ok(Arc::new(Self {
            node: node.into(),
            clock,
            waiting,
            say_failure,
            failures,
        }))
    }

    /// Binds the address that a setting names, and waits for it while it is in use.
    ///
    /// # Errors
    ///
    /// Returns a [`ListenError`] if the machine refuses the address, or it stays in use
    /// for [`IN_USE_LIMIT`] although it is needed.
    pub async fn bind(
        &self,
        setting: &'static str,
        address: SocketAddr,
        need: Need,
    ) -> Result<TcpListener, ListenError> {
        let mut wait = AddressWait::new(self.clock.now());
        let mut in_use = false;
        loop {
            match listen(address) {
                Ok(listener) => {
                    if in_use {
                        self.note_bound(setting, address, &wait);
                    }
                    return Ok(listener);
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(source) => {
                    return Err(ListenError::Refused {
                        setting,
                        address,
                        source,
                    });
                }
            }
            if !in_use {
                in_use = true;
                self.note_in_use(setting, address);
            }
            let now = self.clock.now();
            let Some(pause) = wait.next_pause(now, need) else {
                return Err(ListenError::InUse {
                    setting,
                    address,
                    waited: wait.waited(now),
                });
            };
            smol::Timer::after(pause).await;
        }
    }

    /// Runs `serve` with the listener of an address once that is bound. `stop` ends the
    /// wait when it is closed; what ends it otherwise is told by [`Listeners::until_stop`].
    pub fn spawn<F>(
        self: &Arc<Self>,
        setting: &'static str,
        address: SocketAddr,
        need: Need,
        stop: Receiver<()>,
        serve: impl FnOnce(TcpListener) -> F + Send + 'static,
    ) -> smol::Task<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let this = self.clone();
        smol::spawn(async move {
            let stopped = async {
                let _ = stop.recv().await;
                None
            };
            let bound = async { Some(this.bind(setting, address, need).await) };
            match future::or(stopped, bound).await {
                Some(Ok(listener)) => {
                    essential::without_panic(&this.node, setting, serve(listener)).await;
                }
                Some(Err(error)) => {
                    let _ = this.say_failure.send(error).await;
                }
                None => {}
            }
        })
    }

    /// Waits for `bound`. Returns `None` if `stop` is closed or says so before that.
    ///
    /// # Errors
    ///
    /// Returns the [`ListenError`] of `bound`, or of any address that the process needs.
    pub async fn until_stop<T>(
        &self,
        stop: &Receiver<()>,
        bound: impl Future<Output = Result<T, ListenError>>,
    ) -> Result<Option<T>, ListenError> {
        let stopped = async {
            let _ = stop.recv().await;
            Ok(None)
        };
        let failed = async {
            match self.failures.recv().await {
                Ok(error) => Err(error),
                Err(_) => future::pending().await,
            }
        };
        let bound = async { bound.await.map(Some) };
        future::or(stopped, future::or(failed, bound)).await
    }

    fn note_in_use(&self, setting: &str, address: SocketAddr) {
        self.waiting.with_label_values(&[setting]).set(1);
        let note = LogEvent::new("address_in_use").with("setting", setting);
        let note = note.with("address", address).with("remedy", IN_USE_REMEDY);
        log::note(&self.node, &note);
    }

    fn note_bound(&self, setting: &str, address: SocketAddr, wait: &AddressWait) {
        self.waiting.with_label_values(&[setting]).set(0);
        let waited = wait.waited(self.clock.now()).as_millis();
        let note = LogEvent::new("address_bound").with("setting", setting);
        let note = note.with("address", address).with("waited_ms", waited);
        log::note(&self.node, &note);
    }
}

/// Listens with a longer queue of connections than the standard library's: a
/// burst that overflows it leaves callers with connections that look made
/// and never answer.
///
/// # Errors
///
/// Returns the system's error if the address is in use or refused.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}
