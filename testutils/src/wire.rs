//! A TCP proxy between two processes. It forwards bytes until a test makes its
//! connections lose data, delays them or closes them.

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

/// Largest number of bytes forwarded at once.
const BUFFER_SIZE: usize = 16 << 10;

/// Direction in which data is lost. The client is the end that connected to the
/// proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the client to the server.
    Forth,
    /// From the server to the client.
    Back,
    /// Both directions.
    Both,
}

#[derive(Debug, Default)]
struct Shared {
    /// Number of connections accepted so far; they are numbered from 0.
    accepted: AtomicU64,
    /// Data that the client sends on connections below this number is lost.
    muted_from_client: AtomicU64,
    /// Data that the server sends on connections below this number is lost.
    muted_from_server: AtomicU64,
    /// Whether new connections lose their data too, as in a network partition.
    partitioned: AtomicBool,
    /// Milliseconds by which each read is delayed.
    delay_ms: AtomicU64,
    /// Both ends of the connections that may still be open.
    streams: Mutex<Vec<TcpStream>>,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Wire {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Wire {
    /// Starts a proxy that forwards to `to`.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn to(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has one");
        let shared = Arc::new(Shared::default());
        smol::spawn(accept(listener, to, shared.clone())).detach();
        Self { address, shared }
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn made(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Discards all further data on the current connections in this direction.
    /// They stay open at both ends and never recover.
    pub fn silence(&self, way: Way) {
        let accepted = self.made();
        if way != Way::Back {
            self.shared
                .muted_from_client
                .store(accepted, Ordering::SeqCst);
        }
        if way != Way::Forth {
            self.shared
                .muted_from_server
                .store(accepted, Ordering::SeqCst);
        }
    }

    /// Starts or ends a network partition. Connections that exist at the change
    /// lose all further data; those made after the end of the partition work.
    pub fn set_cut(&self, cut: bool) {
        self.shared.partitioned.store(cut, Ordering::SeqCst);
        self.silence(Way::Both);
    }

    /// Delays each further read by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Closes all current connections.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn reset(&self) {
        let mut streams = self.shared.streams.lock().expect("no panic while locked");
        for stream in streams.drain(..) {
            // Either end may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        if shared.partitioned.load(Ordering::SeqCst) {
            shared
                .muted_from_client
                .fetch_max(number + 1, Ordering::SeqCst);
            shared
                .muted_from_server
                .fetch_max(number + 1, Ordering::SeqCst);
        }
        let Ok(server) = TcpStream::connect(to).await else {
            continue;
        };
        let mut streams = shared.streams.lock().expect("no panic while locked");
        streams.retain(|stream| stream.peer_addr().is_ok());
        streams.extend([client.clone(), server.clone()]);
        drop(streams);
        let from_client = {
            let shared = shared.clone();
            forward(client.clone(), server.clone(), shared.clone(), move || {
                shared.muted_from_client.load(Ordering::SeqCst) > number
            })
        };
        let from_server = {
            let shared = shared.clone();
            forward(server, client, shared.clone(), move || {
                shared.muted_from_server.load(Ordering::SeqCst) > number
            })
        };
        smol::spawn(from_client).detach();
        smol::spawn(from_server).detach();
    }
}

/// Forwards bytes. Whatever is read while `is_muted` returns true is discarded,
/// the end of the stream included.
async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: Arc<Shared>,
    is_muted: impl Fn() -> bool,
) {
    let mut bytes = vec![0; BUFFER_SIZE];
    loop {
        let size = from.read(&mut bytes).await.unwrap_or(0);
        let delay_ms = shared.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        if is_muted() {
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
