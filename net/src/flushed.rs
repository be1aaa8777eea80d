//! Answers that break off only once what came before the break has left the
//! process: the HTTP library drops what it has not written when a body fails.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::rt::ReadBufCursor;
use limpetferry_lib::caller_connections::Phase;
use smol_hyper::rt::FuturesIo;

use crate::connections::Connection;
use crate::http::Body;
use crate::http::Cut;
use crate::http::whole;
use crate::sockets::Stream;
use crate::timeout::within;

#[derive(Debug)]
struct State {
    flushed: bool,
    /// Whether the body of an answer has not ended.
    answering: bool,
    waker: Option<Waker>,
}

/// Whether all that a connection was given has been written.
#[derive(Clone)]
pub struct Flushes {
    state: Arc<Mutex<State>>,
    limit: Duration,
    connection: Arc<Connection>,
}

impl Flushes {
    /// Makes that of a new connection, whose caller is given `limit` to take what
    /// comes before a break.
    pub fn new(limit: Duration, connection: Arc<Connection>) -> Self {
        let state = State {
            flushed: true,
            answering: false,
            waker: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            limit,
            connection,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Notes that there is more to be written.
    fn begin(&self) {
        let was_flushed = std::mem::replace(&mut self.lock().flushed, false);
        if was_flushed {
            self.connection.enter(Phase::Answer);
        }
    }

    fn end(&self) {
        let mut state = self.lock();
        let was_flushed = std::mem::replace(&mut state.flushed, true);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        if was_flushed {
            return;
        }
        // A caller that has taken all that came waits for the server, as before its head.
        self.connection.enter(if state.answering {
            Phase::Work
        } else {
            Phase::Idle
        });
    }

    /// Notes that the body of an answer has ended, or will not be written.
    fn end_answer(&self) {
        let mut state = self.lock();
        state.answering = false;
        if state.flushed {
            self.connection.enter(Phase::Idle);
        }
    }

    /// Waits until all has been written, so that the next request of a caller that does
    /// not read is not worked on.
    pub async fn all_written(&self) {
        poll_fn(|cx| {
            let mut state = self.lock();
            if state.flushed {
                return Poll::Ready(());
            }
            state.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    async fn wait(self) {
        within(self.limit, self.all_written()).await;
    }

    /// Makes a body that breaks off only once what came before is written, or
    /// its caller does not take it.
    pub fn before_cut(&self, body: Body) -> Body {
        self.connection.enter(Phase::Answer);
        let mut state = self.lock();
        state.flushed = false;
        state.answering = true;
        drop(state);
        FlushedBody {
            body,
            flushes: self.clone(),
            cut: None,
        }
        .boxed_unsync()
    }
}

/// The stream of a connection that notes when all was written.
pub struct FlushedStream {
    io: Stream,
    flushes: Flushes,
}

impl FlushedStream {
    /// Makes the stream of a connection whose bodies wait for `flushes`.
    pub fn new(io: Stream, flushes: Flushes) -> Self {
        Self { io, flushes }
    }
}

impl AsyncRead for FlushedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        if read > 0 {
            self.flushes.connection.received(read);
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for FlushedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, bytes))?;
        self.flushes.connection.sent();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, buffers))?;
        self.flushes.connection.sent();
        Poll::Ready(Ok(written))
    }

    /// The HTTP library flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.flushes.end();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}

/// A stream as the HTTP library takes it, that writes several buffers at once. Without
/// that the library copies each body into a buffer that it keeps as long as the connection.
pub struct VectoredIo(FuturesIo<FlushedStream>);

impl VectoredIo {
    /// Makes that of a stream.
    pub fn new(stream: FlushedStream) -> Self {
        Self(FuturesIo::new(stream))
    }
}

impl hyper::rt::Read for VectoredIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl hyper::rt::Write for VectoredIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write_vectored(cx, buffers)
    }
}

type Waiting = Pin<Box<dyn Future<Output = ()> + Send>>;

struct FlushedBody {
    body: Body,
    flushes: Flushes,
    /// A break that waits until it may be told.
    cut: Option<(Cut, Waiting)>,
}

impl Drop for FlushedBody {
    fn drop(&mut self) {
        self.flushes.end_answer();
    }
}

impl hyper::body::Body for FlushedBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.cut.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(cut)) => {
                    // What the answer held is free meanwhile.
                    self.body = whole("");
                    let waiting = self.flushes.clone().wait();
                    self.cut = Some((cut, Box::pin(waiting)));
                }
                frame => {
                    self.flushes.begin();
                    return Poll::Ready(frame);
                }
            }
        }
        if let Some((_, waiting)) = &mut self.cut {
            ready!(waiting.as_mut().poll(cx));
        }
        Poll::Ready(self.cut.take().map(|(cut, _)| Err(cut)))
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
