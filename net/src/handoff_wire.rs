//! What gateways say to each other about a request that one hands over: an h2
//! stream with the caller's head and body, and headers of their own.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use h2::Reason;
use h2::RecvStream;
use h2::SendStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use limpetferry_lib::id::Digest;

use crate::http::Cut;

/// Requests that one gateway hands to another one at once.
pub const MAX_STREAMS: usize = 100;
/// Bytes of the headers of a request or an answer.
pub const MAX_HEAD: u32 = 64 << 10;
/// Bytes of an answer that are held while its caller does not read.
pub const ANSWER_WINDOW: u32 = 16 << 10;
/// Bytes of a body under way to the gateway that serves it.
pub const BODY_WINDOW: u32 = 64 << 10;

/// Digest of the peers' key.
const KEY: HeaderName = HeaderName::from_static("limpetferry-key");
/// Gateway that handed the request over; it is not handed over again.
const FROM: HeaderName = HeaderName::from_static("limpetferry-from");
/// Milliseconds of the caller's time that had passed.
const SPENT: HeaderName = HeaderName::from_static("limpetferry-spent-ms");
/// Version of the routing by which the gateway in `FROM` goes.
const VERSION: HeaderName = HeaderName::from_static("limpetferry-version");
/// In the trailers of an answer, that its source broke off.
const CUT: HeaderName = HeaderName::from_static("limpetferry-cut");
/// In an answer, milliseconds from the request's head to that of the answer.
const TOOK: HeaderName = HeaderName::from_static("limpetferry-took-ms");

/// The way that a request took before it came here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Gateway that took it from its caller.
    pub from: Arc<str>,
    /// Time that had passed when it was handed over.
    pub spent: Duration,
    /// Version of the routing by which that gateway goes; zero if it did not
    /// say.
    pub version: u64,
}

impl Hop {
    /// Returns whether the gateway that handed the request over reads in trailers
    /// that an answer broke off: builds that say their version do.
    pub fn reads_cuts(&self) -> bool {
        self.version > 0
    }
}

/// Says in a request which way it took.
pub fn set_hop(headers: &mut HeaderMap, key: &Digest, hop: &Hop) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(KEY, value);
    }
    if let Ok(value) = HeaderValue::from_str(&hop.from) {
        headers.insert(FROM, value);
    }
    headers.insert(SPENT, millis(hop.spent));
    headers.insert(VERSION, HeaderValue::from(hop.version));
}

/// Takes the way out of a request's headers; `None` if it does not carry the
/// peers' key.
pub fn take_hop(headers: &mut HeaderMap, key: &Digest) -> Option<Hop> {
    let told = headers.remove(KEY)?;
    let from = headers.remove(FROM)?;
    let spent = headers.remove(SPENT)?;
    let version = headers.remove(VERSION);
    if told.as_bytes() != key.to_string().as_bytes() {
        return None;
    }
    Some(Hop {
        from: from.to_str().ok()?.into(),
        spent: read_millis(&spent)?,
        version: version.as_ref().and_then(read_number).unwrap_or(0),
    })
}

/// Says in an answer how long its gateway took.
pub fn set_took(headers: &mut HeaderMap, took: Duration) {
    headers.insert(TOOK, millis(took));
}

/// Takes out of an answer's headers how long its gateway took.
pub fn take_took(headers: &mut HeaderMap) -> Duration {
    let took = headers.remove(TOOK);
    took.as_ref().and_then(read_millis).unwrap_or_default()
}

fn millis(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_millis() as u64)
}

fn read_millis(value: &HeaderValue) -> Option<Duration> {
    read_number(value).map(Duration::from_millis)
}

fn read_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

/// A body that comes from another gateway. It takes no more than its reader
/// has read.
#[derive(Debug)]
pub struct PeerBody {
    stream: RecvStream,
    size: Option<u64>,
}

impl PeerBody {
    /// Makes a body of a stream, with what the head says of its length.
    pub fn new(stream: RecvStream, headers: &HeaderMap) -> Self {
        let size = headers.get(http::header::CONTENT_LENGTH);
        let size = size.and_then(|value| value.to_str().ok()?.parse().ok());
        Self { stream, size }
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let stream = &mut self.stream;
        Poll::Ready(match ready!(stream.poll_data(cx)) {
            None => {
                let trailers = ready!(stream.poll_trailers(cx));
                let is_cut = trailers.map_or(true, |found| {
                    found.is_some_and(|trailers| trailers.contains_key(CUT))
                });
                is_cut.then_some(Err(Cut))
            }
            Some(Ok(bytes)) => match stream.flow_control().release_capacity(bytes.len()) {
                Ok(()) => Some(Ok(Frame::data(bytes))),
                Err(_) => Some(Err(Cut)),
            },
            // A server resets a stream so after the end of its answer, if it
            // has not read the request to its end.
            Some(Err(error)) if error.reason() == Some(Reason::NO_ERROR) => None,
            Some(Err(_)) => Some(Err(Cut)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.stream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Why a body did not go over whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// Its source broke off.
    Source,
    /// The other end takes no more of it.
    Peer,
}

/// Sends a body as fast as the other end takes it.
///
/// # Errors
///
/// Returns a [`Stopped`] if it did not go over whole.
pub async fn send_body(
    send: &mut SendStream<Bytes>,
    body: &mut (impl Body<Data = Bytes> + Unpin),
) -> Result<(), Stopped> {
    loop {
        let frame = poll_fn(|cx| {
            if send.poll_reset(cx).is_ready() {
                return Poll::Ready(Err(Stopped::Peer));
            }
            Pin::new(&mut *body).poll_frame(cx).map(Ok)
        });
        let Some(frame) = frame.await? else {
            break;
        };
        let frame = frame.map_err(|_| Stopped::Source)?;
        if let Ok(bytes) = frame.into_data() {
            send_piece(send, bytes).await?;
        }
    }
    send.send_data(Bytes::new(), true)
        .map_err(|_| Stopped::Peer)
}

/// Ends an answer whose source broke off, behind all that was sent of it. A
/// reset would overtake what still waits to be sent.
///
/// # Errors
///
/// Returns [`Stopped::Peer`] if the other end takes no more of it.
pub fn send_cut(send: &mut SendStream<Bytes>) -> Result<(), Stopped> {
    let mut trailers = HeaderMap::new();
    trailers.insert(CUT, HeaderValue::from_static("1"));
    send.send_trailers(trailers).map_err(|_| Stopped::Peer)
}

async fn send_piece(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Stopped> {
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        let free = poll_fn(|cx| send.poll_capacity(cx)).await;
        let Some(Ok(free)) = free else {
            return Err(Stopped::Peer);
        };
        let piece = bytes.split_to(free.min(bytes.len()));
        send.send_data(piece, false).map_err(|_| Stopped::Peer)?;
    }
    Ok(())
}
