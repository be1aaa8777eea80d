//! A wire between two processes: passes bytes on, until a test makes the
//! connections that it carries silent, slow or broken.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::listen::any_port;

/// Bytes passed on at once.
const PIECE: usize = 16 << 10;

/// Which way a wire loses what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the end that dialled.
    Forth,
    /// To the end that dialled.
    Back,
    /// Both.
    Both,
}

#[derive(Debug, Default)]
struct Shared {
    /// Number of connections so far.
    made: AtomicU64,
    /// Connections below this number lose what the dialling end sends.
    mute_forth: AtomicU64,
    /// Connections below this number lose what the other end sends.
    mute_back: AtomicU64,
    /// Whether new connections are silent too, as on a network that is cut.
    cut: AtomicBool,
    /// Milliseconds that each piece takes longer.
    delay: AtomicU64,
    /// Both ends of the connections that may still be open.
    open: Mutex<Vec<TcpStream>>,
}

/// A wire to one address.
#[derive(Clone, Debug)]
pub struct Wire {
    at: SocketAddr,
    shared: Arc<Shared>,
}

impl Wire {
    /// Makes a wire that leads to `to`.
    ///
    /// # Panics
    ///
    /// Panics if the system has no port left.
    pub async fn to(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await;
        let listener = listener.expect("a port is free");
        let at = listener.local_addr().expect("a bound listener has one");
        let shared = Arc::new(Shared::default());
        smol::spawn(take(listener, to, shared.clone())).detach();
        Self { at, shared }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Returns the number of connections so far.
    pub fn made(&self) -> u64 {
        self.shared.made.load(Ordering::SeqCst)
    }

    /// Makes the connections that there are silent for good: both ends keep
    /// them open, and nothing that is sent by them arrives.
    pub fn silence(&self, way: Way) {
        let made = self.made();
        if way != Way::Back {
            self.shared.mute_forth.store(made, Ordering::SeqCst);
        }
        if way != Way::Forth {
            self.shared.mute_back.store(made, Ordering::SeqCst);
        }
    }

    /// Cuts the wire, or mends it: connections of that time stay silent for
    /// good, new ones work once it is mended.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::SeqCst);
        self.silence(Way::Both);
    }

    /// Has each piece take so much longer from now on.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay.store(millis, Ordering::SeqCst);
    }

    /// Breaks all connections that there are.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn reset(&self) {
        let mut open = self.shared.open.lock().expect("no panic while locked");
        for stream in open.drain(..) {
            // It may have ended by itself.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

async fn take(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        let number = shared.made.fetch_add(1, Ordering::SeqCst);
        if shared.cut.load(Ordering::SeqCst) {
            shared.mute_forth.fetch_max(number + 1, Ordering::SeqCst);
            shared.mute_back.fetch_max(number + 1, Ordering::SeqCst);
        }
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let mut open = shared.open.lock().expect("no panic while locked");
        open.retain(|stream| stream.peer_addr().is_ok());
        open.extend([near.clone(), far.clone()]);
        drop(open);
        let forth = {
            let shared = shared.clone();
            pass(near.clone(), far.clone(), shared.clone(), move || {
                shared.mute_forth.load(Ordering::SeqCst) > number
            })
        };
        let back = {
            let shared = shared.clone();
            pass(far, near, shared.clone(), move || {
                shared.mute_back.load(Ordering::SeqCst) > number
            })
        };
        smol::spawn(forth).detach();
        smol::spawn(back).detach();
    }
}

/// Passes bytes on; what comes while `is_mute` holds is lost, and so is the
/// end of the stream.
async fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: Arc<Shared>,
    is_mute: impl Fn() -> bool,
) {
    let mut bytes = vec![0; PIECE];
    loop {
        let size = from.read(&mut bytes).await.unwrap_or(0);
        let delay = shared.delay.load(Ordering::SeqCst);
        if delay > 0 {
            smol::Timer::after(Duration::from_millis(delay)).await;
        }
        if is_mute() {
            if size == 0 {
                return;
            }
            continue;
        }
        if size == 0 || to.write_all(&bytes[..size]).await.is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
