//! Takes requests that other gateways hand over.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future;
use h2::Reason;
use h2::RecvStream;
use h2::server::Connection;
use h2::server::SendResponse;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Body as _;
use limpetferry_lib::id::Digest;
use smol::net::TcpListener;
use smol::net::TcpStream;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::handoff_wire::BODY_WINDOW;
use crate::handoff_wire::Hop;
use crate::handoff_wire::MAX_HEAD;
use crate::handoff_wire::MAX_STREAMS;
use crate::handoff_wire::PeerBody;
use crate::handoff_wire::Stopped;
use crate::handoff_wire::send_body;
use crate::handoff_wire::send_cut;
use crate::handoff_wire::set_took;
use crate::handoff_wire::take_hop;
use crate::http::Answering;
use crate::sockets;
use crate::sockets::Stream;
use crate::timeout::within;

/// What answers requests that were handed over; `None` for one that it does not
/// take.
pub type HopHandler = Arc<dyn Fn(Request<PeerBody>, Hop) -> Option<Answering> + Send + Sync>;

/// Connections of other gateways at once.
const MAX_PEERS: usize = 1_024;
/// Wait for the first bytes of a connection.
const SHAKE_WAIT: Duration = Duration::from_secs(3);
/// Longest time for which a connection without requests is kept.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Wait before a listener that fails is asked again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time between looks whether all connections have ended.
const END_LOOK: Duration = Duration::from_millis(20);

type Peer = Connection<Compat<Stream>, Bytes>;

/// Takes requests until `stop` says so, and returns once those under way have
/// ended. The others are told that they have not run.
pub async fn serve(
    listener: TcpListener,
    key: Digest,
    handler: HopHandler,
    stop: async_channel::Receiver<()>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let accepted = future::or(stopped, async { Some(listener.accept().await) }).await;
        match accepted {
            None => break,
            Some(Err(error)) => {
                log::warn!("event=handoff_listener why={:?}", error.to_string());
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
            Some(Ok(_)) if open.load(Ordering::Relaxed) >= MAX_PEERS => {
                log::warn!("event=handoff_refused why=\"too many connections\"");
            }
            Some(Ok((stream, _))) => {
                open.fetch_add(1, Ordering::Relaxed);
                let (open, handler, stop) = (open.clone(), handler.clone(), stop.clone());
                smol::spawn(async move {
                    if let Err(error) = serve_peer(stream, key, handler, stop).await {
                        log::info!("event=handoff_link_ended why={:?}", error.to_string());
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                })
                .detach();
            }
        }
    }
    drop(listener);
    while open.load(Ordering::Relaxed) > 0 {
        smol::Timer::after(END_LOOK).await;
    }
}

async fn serve_peer(
    stream: TcpStream,
    key: Digest,
    handler: HopHandler,
    stop: async_channel::Receiver<()>,
) -> eyre::Result<()> {
    sockets::watch_silence(&stream)?;
    let shaking = h2::server::Builder::new()
        .initial_window_size(BODY_WINDOW)
        .initial_connection_window_size(BODY_WINDOW * MAX_STREAMS as u32)
        .max_concurrent_streams(MAX_STREAMS as u32)
        .max_header_list_size(MAX_HEAD)
        .handshake::<_, Bytes>(Stream::new(stream).compat());
    let shaken = within(SHAKE_WAIT, shaking).await;
    let mut peer = shaken.ok_or_else(|| eyre::eyre!("it said nothing"))??;
    while let Some((request, respond)) = next_request(&mut peer, &stop).await? {
        smol::spawn(answer(request, respond, key, handler.clone())).detach();
    }
    Ok(())
}

/// Waits for a request; `None` once the connection has ended.
async fn next_request(
    peer: &mut Peer,
    stop: &async_channel::Receiver<()>,
) -> Result<Option<(Request<RecvStream>, SendResponse<Bytes>)>, h2::Error> {
    let mut stopping = false;
    loop {
        let stopped = async {
            if stopping {
                future::pending::<()>().await;
            }
            let _ = stop.recv().await;
            None
        };
        let accepting = async { Some(within(IDLE_WAIT, peer.accept()).await) };
        match future::or(accepting, stopped).await {
            Some(Some(accepted)) => return accepted.transpose(),
            Some(None) if peer.has_streams() => {}
            Some(None) => peer.graceful_shutdown(),
            None => {
                stopping = true;
                peer.graceful_shutdown();
            }
        }
    }
}

async fn answer(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    key: Digest,
    handler: HopHandler,
) {
    let begun = Instant::now();
    let (mut head, stream) = request.into_parts();
    let Some(hop) = take_hop(&mut head.headers, &key) else {
        log::warn!("event=handoff_refused why=\"another peers' key\"");
        refuse(&mut respond);
        return;
    };
    let body = PeerBody::new(stream, &head.headers);
    let reads_cuts = hop.reads_cuts();
    let Some(answering) = handler(Request::from_parts(head, body), hop) else {
        respond.send_reset(Reason::REFUSED_STREAM);
        return;
    };
    let left = async {
        let _ = poll_fn(|cx| respond.poll_reset(cx)).await;
        None
    };
    let Some(response) = future::or(left, async { Some(answering.await) }).await else {
        return;
    };
    let (mut head, mut body) = response.into_parts();
    leave_out_hops(&mut head.headers);
    if let Some(size) = body.size_hint().exact() {
        let size = http::HeaderValue::from(size);
        head.headers.insert(http::header::CONTENT_LENGTH, size);
    }
    set_took(&mut head.headers, begun.elapsed());
    let sent = respond.send_response(Response::from_parts(head, ()), false);
    let mut send = match sent {
        Ok(send) => send,
        Err(error) => {
            // Its gateway has left, or takes it for an unknown end.
            log::info!("event=handoff_unsent why={:?}", error.to_string());
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        }
    };
    if send_body(&mut send, &mut body).await == Err(Stopped::Source)
        && !(reads_cuts && send_cut(&mut send).is_ok())
    {
        send.send_reset(Reason::INTERNAL_ERROR);
    }
}

fn refuse(respond: &mut SendResponse<Bytes>) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::FORBIDDEN;
    if let Err(error) = respond.send_response(response, true) {
        log::info!("event=handoff_unsent why={:?}", error.to_string());
    }
}

/// Leaves out the headers that h2 does not carry.
fn leave_out_hops(headers: &mut HeaderMap) {
    for name in ["connection", "keep-alive", "transfer-encoding", "upgrade"] {
        headers.remove(name);
    }
}
