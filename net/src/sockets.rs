//! Sockets: options that find a silent peer, and streams that do not ask the
//! system for bytes that are not there.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use rustix::io::Errno;
use smol::Async;
use smol::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Idle time before the kernel probes a connection, and time between probes;
/// the kernel takes whole seconds.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;
/// Bytes that one connection reads in a row before other tasks have their turn.
const READ_SLICE: usize = 64 << 10;
/// Longest time that sent bytes may wait for their acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Connects to `address`.
///
/// The system gives an outgoing connection a port on which a process may want to listen at
/// its next start. With the address marked as reusable, that process can bind it while this
/// connection is open and after its end.
///
/// # Errors
///
/// Returns the system's error if nobody takes the connection. One from the address to
/// itself, which the system makes where nobody listens on a port that it also gives to
/// outgoing connections, counts as refused.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if !is_in_progress(&error) => return Err(error),
        _ => {}
    }
    let stream = Async::new_nonblocking(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    if let Some(error) = stream.get_ref().take_error()? {
        return Err(error);
    }
    if stream.get_ref().local_addr()? == address {
        let why = "connected to itself, as nobody listens there";
        return Err(io::Error::new(io::ErrorKind::ConnectionRefused, why));
    }
    Ok(stream.into())
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::INPROGRESS.raw_os_error())
}

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

/// A connection whose reads wait for the system's word that bytes are there.
///
/// Connections of HTTP are polled whenever anything happens around them, and a
/// plain stream asks the system each time: three of four reads found nothing.
/// This one asks again only after it was told; a turn with two lookups costs a
/// gateway a third fewer system calls.
pub struct Stream {
    io: Arc<Async<std::net::TcpStream>>,
    /// The last read took all that was there.
    dry: bool,
    /// Bytes that were read since other tasks had their turn.
    in_row: usize,
    /// Bound on the head of an answer, on connections to servers.
    head: Option<HeadLimit>,
}

/// Bounds the bytes that arrive before the head of an answer, shared by a connection and
/// those who send on it.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// Bytes that may still arrive.
    left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }
}

impl HeadLimit {
    /// Lets at most `bytes` arrive until [`HeadLimit::lift`].
    pub fn set(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Lets any number of bytes arrive.
    pub fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let left = left.checked_sub(bytes);
        let left = left.ok_or_else(|| io::Error::other("the head of the answer has no end"))?;
        self.left.store(left, Ordering::Relaxed);
        Ok(())
    }
}

impl Stream {
    /// Makes a stream of a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            io: stream.into(),
            dry: true,
            in_row: 0,
            head: None,
        }
    }

    /// Returns the socket.
    pub fn socket(&self) -> Arc<Async<std::net::TcpStream>> {
        self.io.clone()
    }

    /// Makes a stream of a connection to a server, on which `head` bounds the heads of
    /// answers.
    pub fn with_head_limit(stream: TcpStream, head: HeadLimit) -> Self {
        Self {
            head: Some(head),
            ..Self::new(stream)
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // A peer that sends faster than its bytes are handled would keep the thread.
        if self.in_row >= READ_SLICE {
            self.in_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            if self.dry {
                let readable = self.io.poll_readable(cx)?;
                if readable.is_pending() {
                    self.in_row = 0;
                    return Poll::Pending;
                }
                self.dry = false;
            }
            match self.io.get_ref().read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.dry = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(size) => {
                    self.dry = size > 0 && size < buffer.len();
                    self.in_row += size;
                    if let Some(head) = &self.head {
                        head.take(size)?;
                    }
                    return Poll::Ready(Ok(size));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.io.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.io.poll_writable(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.io.get_ref().write_vectored(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.io.poll_writable(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.io.get_ref().shutdown(std::net::Shutdown::Write))
    }
}
