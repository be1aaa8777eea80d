//! Listeners of the stand-ins.

use std::net::SocketAddr;

use limpetferry_net::http::Bounds;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve;
use limpetferry_net::links::bind;

/// Bounds that no test reaches.
const BOUNDS: Bounds = Bounds {
    connections: 10_000,
    head: 64 << 10,
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
