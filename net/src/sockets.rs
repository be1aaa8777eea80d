//! Options of sockets that find a silent peer.

use std::io;
use std::time::Duration;

use smol::net::TcpStream;
use socket2::SockRef;
use socket2::TcpKeepalive;

/// Idle time before the kernel probes a connection, and time between probes;
/// the kernel takes whole seconds.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;
/// Longest time that sent bytes may wait for their acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Makes a connection send at once, and fail when its peer falls silent.
///
/// # Errors
///
/// Returns the system's error if an option cannot be set.
pub fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
