//! Bodies of callers in chunks, which are counted as they come.

use std::time::Duration;

use futures_util::future::join_all;
use limpetferry_net::timeout::within;
use limpetferry_testutils::platform_site::HOST;
use limpetferry_testutils::platform_site::PlatformSite;
use smol::io::AsyncReadExt as _;
use smol::net::TcpStream;

/// Callers that send at once.
const CALLERS: usize = 44;
/// Bytes that each has sent of its body, which goes on.
const SENT: usize = 90_000;
/// Megabytes that the gateway holds.
const HELD_MB: usize = 1;
/// Wait for an answer to a body that goes on; the callers' time is longer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Returns the status of an answer, if one comes.
async fn status(mut stream: TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    within(ANSWER_WAIT, stream.read_exact(&mut head))
        .await?
        .ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

// Guards against a gateway whose memory bodies without a length use up.
#[test]
fn bodies_in_chunks_beyond_what_a_gateway_holds_are_refused() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        let hold = |settings: &mut limpetferry_net::gateway_settings::GatewaySettings| {
            settings.bodies_mb = Some(HELD_MB);
        };
        site.change_gateway(0, hold).await;
        let piece = "x".repeat(SENT);
        let opened = (0..CALLERS).map(|_| async {
            let attempt = site.attempt();
            let head = format!(
                "POST /write/7 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n\
                 x-deadline-ms: 10000\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            let bytes = format!("{head}{SENT:x}\r\n{piece}\r\n");
            site.open(0, &bytes).await
        });
        let opened = join_all(opened).await;

        let statuses = join_all(opened.into_iter().map(status)).await;
        // The callers have left, and what was held of them is free again.
        let headers = [("x-attempt-id", "after"), ("x-deadline-ms", "3000")];
        let after = site.send_raw(0, "POST", "/write/7", &headers, &piece).await;

        let refused = statuses.iter().filter(|status| **status == Some(503));
        let most = HELD_MB * (1 << 20) / SENT;
        assert!(refused.count() >= CALLERS - most, "{statuses:?}");
        assert_eq!(after.expect("an answer").status, 200);
    });
}
