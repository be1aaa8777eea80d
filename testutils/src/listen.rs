//! Listeners of the fakes, and free ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use limpetferry_net::addresses;
use limpetferry_net::http::Bounds;
use limpetferry_net::http::FLUSH_WAIT;
use limpetferry_net::http::HEAD_WAIT;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve;

/// Limits that no test reaches.
const BOUNDS: Bounds = Bounds {
    connections: 10_000,
    head: 64 << 10,
    wait: HEAD_WAIT,
    flush: FLUSH_WAIT,
};

/// Serves `handler` at `address` until the returned sender is dropped. Returns
/// the bound address, with the port that the operating system chose if `address`
/// has port 0.
///
/// # Panics
///
/// Panics if the address is in use.
pub async fn listen(
    address: SocketAddr,
    handler: Handler,
) -> (SocketAddr, async_channel::Sender<()>) {
    let listener = addresses::listen(address).expect("the address is free");
    let address = listener.local_addr().expect("a bound listener has one");
    let (stop, stop_requests) = async_channel::bounded(1);
    smol::spawn(serve(listener, BOUNDS, handler, stop_requests)).detach();
    (address, stop)
}

/// Returns the loopback address with port 0, for which the operating system
/// chooses a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a random loopback address with port 0, so that nobody else gets the
/// address once its listener has closed.
pub fn any_loopback() -> SocketAddr {
    let ip = Ipv4Addr::new(
        127,
        rand::random_range(1..255),
        rand::random_range(0..255),
        rand::random_range(1..255),
    );
    SocketAddr::from((ip, 0))
}

/// Returns a loopback address with a free port. The IP address is random for
/// each call, so that no outgoing connection is assigned the port before the
/// process that it is meant for binds it.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free() -> SocketAddr {
    let _ports = lock_ports();
    let ip = Ipv4Addr::new(
        127,
        rand::random_range(1..255),
        rand::random_range(0..255),
        rand::random_range(1..255),
    );
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("a bound listener has one")
}

/// Prevents child processes from being started while a free port is chosen. Until
/// it executes its program, a new child process holds all sockets that its parent
/// had open, which keeps the chosen port in use.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock.
pub fn lock_ports() -> MutexGuard<'static, ()> {
    static PORTS: Mutex<()> = Mutex::new(());
    PORTS.lock().expect("no panic while locked")
}
