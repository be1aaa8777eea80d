//! Listeners of the stand-ins.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use limpetferry_net::http::Bounds;
use limpetferry_net::http::FLUSH_WAIT;
use limpetferry_net::http::HEAD_WAIT;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve;
use limpetferry_net::links::bind;

/// Bounds that no test reaches.
const BOUNDS: Bounds = Bounds {
    connections: 10_000,
    head: 64 << 10,
    wait: HEAD_WAIT,
    flush: FLUSH_WAIT,
};

/// Serves `handler` at `address` until the returned sender is dropped;
/// returns the address, with the port that the system gave.
///
/// # Panics
///
/// Panics if the address is taken.
pub async fn listen(
    address: SocketAddr,
    handler: Handler,
) -> (SocketAddr, async_channel::Sender<()>) {
    let listener = bind("the stand-in", address).expect("the address is free");
    let address = listener.local_addr().expect("a bound listener has one");
    let (stop, stopped) = async_channel::bounded(1);
    smol::spawn(serve(listener, BOUNDS, handler, stopped)).detach();
    (address, stop)
}

/// Returns an address of the loopback interface whose port the system picks.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address with a port that the system gave. The loopback address
/// is drawn anew each time, so that no outgoing connection takes the port
/// before the process that it is for.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free() -> SocketAddr {
    let _ports = hold_ports();
    let ip = Ipv4Addr::new(
        127,
        rand::random_range(1..255),
        rand::random_range(0..255),
        rand::random_range(1..255),
    );
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("a bound listener has one")
}

/// Keeps processes from being started while a port is looked for: until it runs its
/// own program, a new process holds all that its parent had open, and the port
/// with it.
///
/// # Panics
///
/// Panics if another thread panicked while it held the ports.
pub fn hold_ports() -> MutexGuard<'static, ()> {
    static PORTS: Mutex<()> = Mutex::new(());
    PORTS.lock().expect("no panic while locked")
}
