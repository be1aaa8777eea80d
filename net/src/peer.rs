//! Links between the system's own processes: one h2 stream each, with
//! bincode frames, and pings that find a silent one.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::future;
use futures_lite::future::poll_fn;
use h2::Ping;
use h2::PingPong;
use h2::RecvStream;
use h2::SendStream;
use http::Request;
use http::Response;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::message::Message;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use thiserror::Error;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::frames;
use crate::sockets;
use crate::sockets::Stream;
use crate::strangers::Strangers;
use crate::timeout::within;

/// Largest frame.
const MAX_FRAME: usize = frames::MAX_RECORD;
/// Largest first frame: it comes before the other end has shown the key.
const MAX_HELLO: usize = 4 << 10;
/// Bytes of the headers with which a link begins.
const MAX_HEAD: u32 = 16 << 10;
/// Connections of a listener that have not said hello.
pub const MAX_STRANGERS: usize = 256;
/// Messages that wait for one link; above it the link is given up.
pub const MAX_WAITING: usize = 65_536;
/// Bytes under way before the other end has read them.
pub const WINDOW: u32 = 8 << 20;
/// Bytes written at once.
const BATCH: usize = 256 << 10;
/// Wait for a connection. An opening packet that comes while the other VM
/// starts is lost, and the kernel sends the next one after a second: a new
/// connection is there sooner (after a power cut 0.25 s instead of 1.0).
const CONNECT_WAIT: Duration = Duration::from_millis(250);
/// Wait for a link to be made.
const DIAL_WAIT: Duration = Duration::from_secs(3);
/// Time between pings while messages of work go by the link.
const PING_BUSY: Duration = Duration::from_millis(200);
/// Time between pings of an idle link.
const PING_IDLE: Duration = Duration::from_secs(1);
/// Least wait for the answer to a ping: a scheduler's hiccup is no silence.
const PING_LEAST: Duration = Duration::from_millis(300);
/// Longest wait for the answer to a ping, whatever was measured.
const PING_MOST: Duration = Duration::from_secs(2);
/// How many times the usual round trip counts as silence.
const PING_FACTOR: u32 = 8;

/// Says why a link ended or could not be made.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The other end takes no connection.
    #[error("no connection to {0}; check its address and that it runs")]
    Connect(String),
    /// The transport failed.
    #[error("the link broke: {0}; it is dialled anew")]
    Broken(#[from] h2::Error),
    /// A frame cannot be read.
    #[error("a frame is malformed: {0}; run the same version at both ends")]
    Frame(String),
    /// The other end does not have the peers' key.
    #[error("the other end has another peers' key; set the same key in all processes")]
    Key,
    /// Too many others dial.
    #[error("over {MAX_STRANGERS} connections have not said hello; this one waited longest")]
    Crowded,
    /// The other end went silent.
    #[error("no answer to a ping for {0:?}; the link is dialled anew")]
    Silent(Duration),
    /// The other end closed the link.
    #[error("the other end closed the link; it is dialled anew")]
    Closed,
}

/// Messages that this code understands; larger numbers are later ones.
const DIALECT: u32 = 6;

/// What both ends say first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process.
    pub node: NodeId,
    /// Its life.
    pub boot: Boot,
    /// Digest of the peers' key.
    pub key: Digest,
    /// Messages that it understands; zero for processes that do not say it. They
    /// read the fields before it, so that a roll from their code to this one
    /// keeps its links.
    pub dialect: u32,
}

impl Hello {
    /// Makes the hello of a process of this code.
    pub fn new(node: NodeId, boot: Boot, key: Digest) -> Self {
        Self {
            node,
            boot,
            key,
            dialect: DIALECT,
        }
    }

    /// Returns whether the process counts what workspaces send.
    pub fn counts_allowances(&self) -> bool {
        self.dialect >= 1
    }

    /// Returns whether the process takes reports of load.
    pub fn takes_load(&self) -> bool {
        self.dialect >= 2
    }

    /// Returns whether the process reports requests that ended servers.
    pub fn reports_ends(&self) -> bool {
        self.dialect >= 3
    }

    /// Returns whether the process understands that a keeper has no room.
    pub fn understands_full(&self) -> bool {
        self.dialect >= 4
    }

    /// Returns whether the process says which programs are still in use.
    pub fn agrees_on_removal(&self) -> bool {
        self.dialect >= 5
    }

    /// Returns whether the process reserves turns.
    pub fn reserves_turns(&self) -> bool {
        self.dialect >= 6
    }
}

/// Decodes the first frame of a link.
///
/// # Errors
///
/// Returns a [`LinkError`] if it is no hello.
pub fn decode_hello(frame: &[u8]) -> Result<Hello, LinkError> {
    decode(frame)
}

/// A message that is sent over a link.
pub trait Outgoing: Serialize {
    /// What is held until the transport has taken the message.
    type Held;

    /// Returns whether somebody waits for what it asks or says, so that a
    /// silent link has to be found soon.
    fn is_work(&self) -> bool;

    /// Drops the message after it was encoded, but for what is held.
    fn into_held(self) -> Self::Held;
}

impl Outgoing for Message {
    type Held = ();

    fn is_work(&self) -> bool {
        !matches!(self, Self::Beat(_))
    }

    fn into_held(self) {}
}

impl Outgoing for KeeperMessage {
    type Held = ();

    fn is_work(&self) -> bool {
        true
    }

    fn into_held(self) {}
}

/// A link that has said hello.
pub struct Link {
    /// What the other end said.
    pub peer: Hello,
    send: SendStream<Bytes>,
    recv: FrameReader,
    ping: PingPong,
    driver: smol::Task<()>,
}

/// Dials `address` and says hello.
///
/// # Errors
///
/// Returns a [`LinkError`] if the other end is not there or has another key.
pub async fn dial(address: &str, hello: &Hello) -> Result<Link, LinkError> {
    let refuse = || LinkError::Connect(address.to_owned());
    within(DIAL_WAIT, dial_now(address, hello))
        .await
        .ok_or_else(refuse)?
}

async fn dial_now(address: &str, hello: &Hello) -> Result<Link, LinkError> {
    let refuse = || LinkError::Connect(address.to_owned());
    let address: SocketAddr = address.parse().map_err(|_| refuse())?;
    let stream = within(CONNECT_WAIT, sockets::connect(address))
        .await
        .ok_or_else(refuse)?
        .map_err(|_| refuse())?;
    let _ = stream.set_nodelay(true);
    let (mut client, mut connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_header_list_size(MAX_HEAD)
        .handshake::<_, Bytes>(Stream::new(stream).compat())
        .await?;
    let ping = connection.ping_pong().ok_or(LinkError::Closed)?;
    let driver = smol::spawn(async move {
        let _ = connection.await;
    });
    poll_fn(|cx| client.poll_ready(cx)).await?;
    let request = Request::post("http://peer/link")
        .body(())
        .map_err(|error| LinkError::Frame(error.to_string()))?;
    let (response, mut send) = client.send_request(request, false)?;
    write(&mut send, encode(hello)?).await?;
    let mut recv = FrameReader::new(response.await?.into_body());
    let peer = read_hello(&mut recv, hello).await?;
    Ok(Link {
        peer,
        send,
        recv,
        ping,
        driver,
    })
}

/// Takes a connection that another process dialled, and says hello. At most `window`
/// bytes are under way to this process before it has read them. Connections that have not
/// said hello are among the `strangers` of their listener.
///
/// # Errors
///
/// Returns a [`LinkError`] if the other end has another key or breaks off.
pub async fn accept(
    stream: TcpStream,
    hello: &Hello,
    window: u32,
    strangers: &Strangers,
) -> Result<Link, LinkError> {
    let accepting = within(DIAL_WAIT, accept_now(stream, hello, window));
    let accepted = strangers.meet(accepting).await;
    accepted
        .ok_or(LinkError::Crowded)?
        .ok_or(LinkError::Closed)?
}

async fn accept_now(stream: TcpStream, hello: &Hello, window: u32) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut connection = h2::server::Builder::new()
        .initial_window_size(window)
        .initial_connection_window_size(window)
        .max_concurrent_streams(1)
        .max_header_list_size(MAX_HEAD)
        .handshake::<_, Bytes>(Stream::new(stream).compat())
        .await?;
    let ping = connection.ping_pong().ok_or(LinkError::Closed)?;
    let (request, mut respond) = connection.accept().await.ok_or(LinkError::Closed)??;
    // An error comes again at every call; going on would hold the thread.
    let driver = smol::spawn(async move { while let Some(Ok(_)) = connection.accept().await {} });
    let mut recv = FrameReader::new(request.into_body());
    let peer = read_hello(&mut recv, hello).await?;
    let mut send = respond.send_response(Response::new(()), false)?;
    write(&mut send, encode(hello)?).await?;
    Ok(Link {
        peer,
        send,
        recv,
        ping,
        driver,
    })
}

async fn read_hello(recv: &mut FrameReader, own: &Hello) -> Result<Hello, LinkError> {
    let frame = recv.next(MAX_HELLO).await?.ok_or(LinkError::Closed)?;
    let hello = decode_hello(&frame)?;
    if hello.key != own.key {
        return Err(LinkError::Key);
    }
    Ok(hello)
}

impl Link {
    /// Carries messages both ways until the link ends, and says why it did.
    /// Those that come go to `incoming`, each made an event by `wrap`.
    pub async fn run<O: Outgoing, I: DeserializeOwned, E>(
        self,
        outgoing: async_channel::Receiver<O>,
        incoming: &async_channel::Sender<E>,
        wrap: impl Fn(I) -> E,
    ) -> LinkError {
        let Self {
            mut send,
            mut recv,
            mut ping,
            driver,
            ..
        } = self;
        let work = AtomicU64::new(0);
        let writing = async {
            write_all(&mut send, &outgoing, &work)
                .await
                .err()
                .unwrap_or(LinkError::Closed)
        };
        let reading = async {
            loop {
                match recv
                    .next(MAX_FRAME)
                    .await
                    .and_then(|frame| frame.map(|frame| decode::<I>(&frame)).transpose())
                {
                    Ok(Some(message)) => {
                        let _ = incoming.send(wrap(message)).await;
                    }
                    Ok(None) => return LinkError::Closed,
                    Err(error) => return error,
                }
            }
        };
        let pinging = watch_silence(&mut ping, &work);
        let error = future::or(future::or(reading, writing), pinging).await;
        driver.cancel().await;
        error
    }
}

/// Pings the other end until it falls silent; the wait follows the round
/// trips that were measured. `work` counts the messages of work sent: a link
/// without any is pinged seldom.
pub(crate) async fn watch_silence(ping: &mut PingPong, work: &AtomicU64) -> LinkError {
    let mut usual = PING_LEAST / PING_FACTOR;
    loop {
        let wait = (usual * PING_FACTOR).clamp(PING_LEAST, PING_MOST);
        let sent = Instant::now();
        match within(wait, ping.ping(Ping::opaque())).await {
            Some(Ok(_)) => usual = (usual * 7 + sent.elapsed()) / 8,
            Some(Err(error)) => return LinkError::Broken(error),
            None => return LinkError::Silent(wait),
        }
        let before = work.load(Ordering::Relaxed);
        smol::Timer::after(PING_BUSY).await;
        let mut idle = PING_BUSY;
        while idle < PING_IDLE && work.load(Ordering::Relaxed) == before {
            smol::Timer::after(PING_BUSY).await;
            idle += PING_BUSY;
        }
    }
}

async fn write_all<O: Outgoing>(
    send: &mut SendStream<Bytes>,
    outgoing: &async_channel::Receiver<O>,
    work: &AtomicU64,
) -> Result<(), LinkError> {
    while let Ok(message) = outgoing.recv().await {
        if message.is_work() {
            work.fetch_add(1, Ordering::Relaxed);
        }
        let mut batch = BytesMut::new();
        append(&mut batch, &message)?;
        let mut held = vec![message.into_held()];
        while batch.len() < BATCH {
            let Ok(message) = outgoing.try_recv() else {
                break;
            };
            append(&mut batch, &message)?;
            held.push(message.into_held());
        }
        write(send, batch.freeze()).await?;
    }
    Ok(())
}

async fn write(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        let free = poll_fn(|cx| send.poll_capacity(cx))
            .await
            .ok_or(LinkError::Closed)??;
        let piece = bytes.split_to(free.min(bytes.len()));
        send.send_data(piece, false)?;
    }
    Ok(())
}

fn append(batch: &mut BytesMut, value: &impl Serialize) -> Result<(), LinkError> {
    let at = batch.len();
    batch.put_u32(0);
    let mut writer = batch.writer();
    bincode::serde::encode_into_std_write(value, &mut writer, bincode::config::standard())
        .map_err(|error| LinkError::Frame(error.to_string()))?;
    let batch = writer.into_inner();
    let size = batch.len() - at - 4;
    if size > MAX_FRAME {
        return Err(LinkError::Frame(format!("{size} bytes in one message")));
    }
    batch[at..at + 4].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(())
}

fn encode(value: &impl Serialize) -> Result<Bytes, LinkError> {
    let mut batch = BytesMut::new();
    append(&mut batch, value)?;
    Ok(batch.freeze())
}

fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T, LinkError> {
    frames::decode(frame).map_err(|error| LinkError::Frame(error.to_string()))
}

struct FrameReader {
    stream: RecvStream,
    have: BytesMut,
}

impl FrameReader {
    fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            have: BytesMut::new(),
        }
    }

    /// Returns the next frame, of at most `most` bytes; `None` at the end of the stream.
    async fn next(&mut self, most: usize) -> Result<Option<Bytes>, LinkError> {
        loop {
            if self.have.len() >= 4 {
                let size =
                    u32::from_be_bytes([self.have[0], self.have[1], self.have[2], self.have[3]]);
                let size = size as usize;
                if size > most {
                    return Err(LinkError::Frame(format!("{size} bytes in one message")));
                }
                if self.have.len() >= 4 + size {
                    self.have.advance(4);
                    return Ok(Some(self.have.split_to(size).freeze()));
                }
            }
            let Some(piece) = self.stream.data().await else {
                return Ok(None);
            };
            let piece = piece?;
            self.stream.flow_control().release_capacity(piece.len())?;
            self.have.extend_from_slice(&piece);
        }
    }
}
