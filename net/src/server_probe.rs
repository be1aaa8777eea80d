//! Finds out whether a server whose connection broke has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;

use crate::sockets;
use crate::timeout::within;

/// Wait for an answer to the attempt to connect.
const CONNECT_WAIT: Duration = Duration::from_millis(250);
/// How long a new connection is watched. A process that ends closes its sockets one
/// after the other, so that its listener may still take a connection.
const SETTLE_WAIT: Duration = Duration::from_millis(10);
/// Connections made before the state of a server stays unclear.
const MAX_CONNECTIONS: usize = 3;

/// What a new connection to a server's address shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Nobody listens there: the server's process has ended.
    Refused,
    /// A process listens there.
    Listening,
    /// There is no answer.
    Silent,
}

impl ProbeResult {
    /// Returns its name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Listening => "listening",
            Self::Silent => "silent",
        }
    }
}

/// Connects to a server whose connection broke, without sending anything.
pub async fn probe(address: SocketAddr) -> ProbeResult {
    for _ in 0..MAX_CONNECTIONS {
        match within(CONNECT_WAIT, sockets::connect(address)).await {
            Some(Ok(mut stream)) => {
                let closed = within(SETTLE_WAIT, stream.read(&mut [0])).await;
                if closed.is_none() {
                    return ProbeResult::Listening;
                }
            }
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeResult::Refused;
            }
            Some(Err(_)) | None => return ProbeResult::Silent,
        }
    }
    ProbeResult::Listening
}
