//! Connections of those that are no part of the site, at the listener for its own
//! processes.

use std::net::SocketAddr;

use futures_util::future::join_all;
use http::Request;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::NodeId;
use limpetferry_net::peer;
use limpetferry_net::peer::Hello;
use limpetferry_net::peer::MAX_STRANGERS;
use limpetferry_testutils::platform_site::PlatformSite;
use smol::net::TcpStream;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

/// Bytes of a first frame that names no process.
const LONG_HELLO: usize = 60 << 20;
/// Bytes of a head that no process sends.
const LONG_HEAD: usize = 12 << 20;
/// Strangers that send one at once.
const SENDERS: usize = 6;
/// Memory that a keeper may use with a few turns, in bytes.
const KEEPER_MEMORY: u64 = 48 << 20;

// Guards against a keeper whose memory is used up by those that do not have its key.
#[test]
fn long_first_frames_of_strangers_are_refused_before_they_are_held() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        let peers = site.keeper_settings(0).common.peers.to_string();
        let name = "x".repeat(LONG_HELLO);
        let hello = Hello::new(NodeId::new(&name), Boot(1), Digest::of(b"no key"));

        let dialling = (0..SENDERS).map(|_| peer::dial(&peers, &hello));
        let links = join_all(dialling).await;

        assert!(links.iter().all(Result::is_err));
        let peak = site.process("keeper-0").peak_memory();
        assert!(peak < KEEPER_MEMORY, "{} kB", peak >> 10);
    });
}

/// Begins a link with a long head.
async fn send_head(address: SocketAddr) {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let shaken = h2::client::handshake(stream.compat()).await;
    let (client, connection) = shaken.expect("it speaks h2");
    let mut client = client.ready().await.expect("it takes a request");
    let request = Request::post("http://peer/link")
        .header("x-long", "x".repeat(LONG_HEAD))
        .body(())
        .expect("a valid head");
    let sent = client.send_request(request, true);
    let (response, _) = sent.expect("it can be sent");
    let carrying = async {
        let _ = connection.await;
    };
    let answered = async {
        let _ = response.await;
    };
    futures_lite::future::or(carrying, answered).await;
}

// Guards against a keeper whose memory the heads of such requests use up.
#[test]
fn long_heads_of_strangers_are_refused_before_they_are_held() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        let peers = site.keeper_settings(0).common.peers;

        join_all((0..SENDERS).map(|_| send_head(peers))).await;

        let peak = site.process("keeper-0").peak_memory();
        assert!(peak < KEEPER_MEMORY, "{} kB", peak >> 10);
    });
}

// Guards against strangers that use up a keeper's descriptors.
#[test]
fn the_oldest_of_too_many_strangers_gives_way() {
    smol::block_on(async {
        let site = PlatformSite::start(1, 3, 1).await;
        let peers = site.keeper_settings(0).common.peers;

        let connecting = (0..=MAX_STRANGERS).map(|_| TcpStream::connect(peers));
        let strangers = join_all(connecting).await;

        assert!(strangers.iter().all(Result::is_ok));
        site.wait_for_log("keeper-0", "event=link_refused why=\"over 256")
            .await;
    });
}
