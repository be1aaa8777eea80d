//! A gateway stays within the memory of its VM and goes on serving, whatever callers send
//! or do not read.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use limpetferry_net::settings::Check as _;
use limpetferry_net::timeout::within;
use limpetferry_testutils::platform_site::HOST;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_site::SiteOptions;
use limpetferry_testutils::platform_site::routing;
use limpetferry_testutils::sized;
use limpetferry_testutils::sized::SizedServer;
use serde_json::json;
use smol::Async;
use smol::io::AsyncReadExt as _;
use smol::io::AsyncWriteExt as _;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Memory of the gateway's VM, the smallest one, in megabytes.
const MEMORY_MB: u64 = 88;
/// Largest peak of the gateway, in megabytes.
const PEAK_MB: u64 = 80;
/// Variable that asks for all loads at their whole size.
const WHOLE: &str = "LIMPETFERRY_MEMORY_LOAD";
/// Part of each load that is played unless the variable is set, as a divisor.
const DIVISOR: usize = 2;
/// Version of the routing document.
const ROUTING: u64 = 2;
/// Receive buffer of callers that do not read, in bytes; the kernel doubles it.
const WINDOW: usize = 2 << 10;
/// Receive buffer of a caller that reads later, in bytes.
const WIDE_WINDOW: usize = 64 << 10;
/// Requests of ordinary callers while a load lasts, and the pause between two of them.
const ORDINARY: usize = 200;
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);
/// Ordinary requests of which one may be refused.
const ONE_REFUSED_OF: usize = 20;
/// Requests of ordinary callers after a load, all of which are served.
const AFTERWARDS: usize = 20;
/// Connections that are opened at the same time.
const BATCH: usize = 100;
/// Longest wait until a caller has sent what the gateway reads.
const SEND_WAIT: Duration = Duration::from_secs(2);
/// Bytes of an answer that no socket buffer holds, and the wait for two of them.
const LONG_ANSWER: usize = 5 << 20;
const READ_WAIT: Duration = Duration::from_secs(30);
/// Connections, or bodies of this length, that use up a bound of the settings.
const FEW: usize = 11;
const LONG_BODY: usize = 94_000;
/// Tries of a caller and the pause between two, which end before any timeout does.
const TRIES: usize = 100;
const TRY_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of an answer to an ordinary request.
const ORDINARY_BYTES: usize = 200;

/// Runs one test after the other: they share a thread, and the callers of one load would
/// hold up the servers of another.
fn alone(test: impl Future<Output = ()>) {
    static TURN: Mutex<()> = Mutex::new(());
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(test);
}

/// Connections of callers at once, and what each of them sends.
struct Load {
    connections: usize,
    bytes: Box<dyn Fn(&str) -> String>,
}

fn head(attempt: &str, method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 20000\r\n"
    )
}

/// A request each whose answer of this length nobody reads.
fn unread(connections: usize, answer: usize) -> Load {
    pipelined(connections, answer, 1)
}

/// Requests in a row on each connection whose answers nobody reads.
fn pipelined(connections: usize, answer: usize, requests: usize) -> Load {
    let bytes = move |attempt: &str| {
        let request = |number| {
            let attempt = format!("{attempt}-{number}");
            head(&attempt, "GET", &format!("/sized/{answer}")) + "\r\n"
        };
        (0..requests).map(request).collect()
    };
    Load {
        connections,
        bytes: Box::new(bytes),
    }
}

/// A head on each connection that does not go on after this number of bytes.
fn unfinished_heads(connections: usize, size: usize) -> Load {
    let bytes = move |attempt: &str| {
        let begun = head(attempt, "GET", "/sized/2");
        format!("{begun}x-long: {}", "x".repeat(size))
    };
    Load {
        connections,
        bytes: Box::new(bytes),
    }
}

/// A body on each connection that does not go on after this number of bytes.
fn unfinished_bodies(connections: usize, size: usize) -> Load {
    let bytes = move |attempt: &str| {
        let begun = head(attempt, "POST", "/sized/2");
        let whole = size + 1;
        let body = "x".repeat(size);
        format!("{begun}content-length: {whole}\r\n\r\n{body}")
    };
    Load {
        connections,
        bytes: Box::new(bytes),
    }
}

async fn site() -> (PlatformSite, SizedServer) {
    let mut site = PlatformSite::start_with(1, 3, 1, SiteOptions::default()).await;
    let server = sized::start().await;
    let mut document = routing(ROUTING);
    let routes = document["Routes"].as_array_mut().expect("it has routes");
    let mut route = routes[2].clone();
    route["Name"] = json!("sized");
    route["PathPrefix"] = json!("/sized/");
    route["Service"] = json!("sized");
    route["TimeoutMs"] = json!(20_000);
    routes.push(route);
    let services = document["Services"].as_array_mut();
    services
        .expect("it has services")
        .push(json!({"Name": "sized"}));
    site.store.put("op/config", &document);
    let entry = json!({"Service": "sized", "Address": server.address.to_string(), "Zone": "here",
                       "Version": "v1", "Slots": 10_000, "State": "ready", "ColdLeftMs": 0,
                       "Seq": 1});
    site.store.put("servers/sized", &entry);
    site.change_gateway(0, |settings| {
        settings.memory_mb = Some(MEMORY_MB);
        settings.connections = Some(2_500);
        settings.bodies_mb = None;
    })
    .await;
    site.wait_for_routing(0, ROUTING).await;
    site.wait_for_servers(0, 5).await;
    (site, server)
}

type Caller = Async<std::net::TcpStream>;

/// Opens a connection with a receive buffer of `window` bytes, and sends what the gateway reads of
/// `bytes`.
async fn press(address: SocketAddr, window: usize, bytes: String) -> Option<Caller> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(window).ok()?;
    socket.set_nonblocking(true).ok()?;
    // It is in progress.
    let _ = socket.connect(&address.into());
    let mut caller = Async::new(std::net::TcpStream::from(socket)).ok()?;
    let sending = async {
        caller.writable().await?;
        caller.write_all(bytes.as_bytes()).await
    };
    // A caller that the gateway does not read, or closes, stays as it is.
    let _ = within(SEND_WAIT, sending).await;
    Some(caller)
}

/// Opens the connections of all loads, and returns them.
async fn press_all(site: &PlatformSite, loads: &[Load], divisor: usize) -> Vec<Caller> {
    let address = site.gateway_settings(0).callers;
    let mut callers = Vec::new();
    for load in loads {
        let count = load.connections / divisor;
        for first in (0..count).step_by(BATCH) {
            let batch = first..count.min(first + BATCH);
            let pressing = batch.map(|_| press(address, WINDOW, (load.bytes)(&site.attempt())));
            callers.extend(join_all(pressing).await.into_iter().flatten());
        }
    }
    callers
}

/// Sends an ordinary request on a connection of its own, and returns whether it is served.
async fn ordinary(site: &PlatformSite) -> bool {
    let headers = [("x-deadline-ms", "3000")];
    let path = format!("/sized/{ORDINARY_BYTES}");
    let answer = site.send(0, "GET", &path, &headers, "").await;
    answer.is_ok_and(|answer| {
        answer.status == 200 && answer.whole && answer.body.len() == ORDINARY_BYTES
    })
}

/// Sends ordinary requests until `is_over` says so, and for the whole number at least.
/// Returns how many were served and how many were sent.
async fn ordinary_callers(
    site: &PlatformSite,
    count: usize,
    is_over: &Cell<bool>,
) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while sent < count || !is_over.get() {
        served += usize::from(ordinary(site).await);
        sent += 1;
        smol::Timer::after(ORDINARY_PAUSE).await;
    }
    (served, sent)
}

/// Plays loads at once beside ordinary callers, and checks memory, service, and that the
/// parts that are used up are logged and have room afterwards.
fn play(name: &str, loads: Vec<Load>, full: &[&str]) {
    let whole = std::env::var_os(WHOLE).is_some();
    let divisor = if whole { 1 } else { DIVISOR };
    alone(async {
        let (mut site, _server) = site().await;
        let is_over = Cell::new(false);

        let pressing = async {
            let callers = press_all(&site, &loads, divisor).await;
            is_over.set(true);
            callers
        };
        let serving = ordinary_callers(&site, ORDINARY / divisor / divisor, &is_over);
        let (callers, (served, sent)) = join(pressing, serving).await;
        let open = callers.len();
        let peak = site.process("gateway-0").peak_memory() >> 20;
        println!("{name}: {open} connections, peak {peak} MB, {served} of {sent} served");
        for part in full {
            let line = format!("event=full part={part} ");
            site.wait_for_log("gateway-0", &line).await;
        }
        drop(callers);
        for part in full {
            let line = format!("event=has_room part={part}");
            site.wait_for_log("gateway-0", &line).await;
        }
        for part in ["heads", "bodies", "answers"] {
            let gauge = format!("memory_bytes{{part=\"{part}\"}}");
            site.wait_for_gauge(0, &gauge, 0).await;
        }
        let mut served_after = 0;
        for _ in 0..AFTERWARDS {
            served_after += usize::from(ordinary(&site).await);
        }

        assert!(peak <= PEAK_MB, "{name}: peak {peak} MB");
        assert!(
            sent - served <= sent / ONE_REFUSED_OF,
            "{name}: {served} of {sent} served"
        );
        assert_eq!(served_after, AFTERWARDS, "{name}");
    });
}

// Guards against a gateway whose memory grows with connections that stay open.
#[test]
fn short_answers_that_nobody_reads() {
    play("2 bytes", vec![unread(2_400, 2)], &["connections"]);
}

// Guards against a gateway that holds answers without a bound until callers read them.
#[test]
fn plain_answers_that_nobody_reads() {
    play("64 KB", vec![unread(2_400, 64 << 10)], &["answers"]);
    play("1 MB", vec![unread(2_400, 1 << 20)], &["answers"]);
}

#[test]
fn long_answers_that_nobody_reads() {
    play("2 MB", vec![unread(900, 2 << 20)], &["answers"]);
    play("4 MB", vec![unread(300, 4 << 20)], &["answers"]);
}

// Guards against heads that are bounded on each connection only.
#[test]
fn heads_that_do_not_end() {
    play("heads", vec![unfinished_heads(2_400, 15_000)], &["heads"]);
}

// Guards against callers that keep the room for bodies and send none.
#[test]
fn bodies_that_do_not_end() {
    play(
        "bodies",
        vec![unfinished_bodies(2_400, 60_000)],
        &["bodies"],
    );
}

#[test]
fn requests_in_a_row_whose_answers_nobody_reads() {
    play(
        "in a row",
        vec![pipelined(2_000, 200_000, 50)],
        &["answers"],
    );
}

#[test]
fn all_of_them_at_once() {
    let loads = vec![
        unread(600, 2),
        unread(400, 64 << 10),
        unread(400, 1 << 20),
        unread(100, 4 << 20),
        unfinished_heads(600, 15_000),
        unfinished_bodies(600, 60_000),
        pipelined(200, 200_000, 50),
    ];
    play("all", loads, &[]);
}

// Guards against requests that are sent to servers while their caller has not read the
// answers before them.
#[test]
fn the_next_request_of_a_connection_waits_until_the_answer_before_it_is_written() {
    alone(async {
        let (site, server) = site().await;
        let load = pipelined(1, LONG_ANSWER, 2);
        let address = site.gateway_settings(0).callers;

        let caller = press(address, WIDE_WINDOW, (load.bytes)(&site.attempt())).await;
        let mut caller = caller.expect("the gateway takes it");
        site.wait_until(|_| server.asked(LONG_ANSWER) > 0).await;
        for _ in 0..AFTERWARDS {
            assert!(ordinary(&site).await);
        }
        let before = server.asked(LONG_ANSWER);
        let mut answers = vec![0; 2 * LONG_ANSWER];
        let read = within(READ_WAIT, caller.read_exact(&mut answers)).await;

        assert_eq!(before, 1);
        assert!(read.is_some_and(|read| read.is_ok()));
        assert_eq!(server.asked(LONG_ANSWER), 2);
    });
}

/// Sends a request until it is served, as callers do. Returns whether it is within the
/// tries that callers have before any timeout ends.
async fn is_served_in_time(site: &PlatformSite, body: &str) -> bool {
    for _ in 0..TRIES {
        let answer = site.send(0, "POST", "/sized/2", &[("x-deadline-ms", "3000")], body);
        if answer.await.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
    false
}

// Guards against callers that get no connection while others keep theirs unused.
#[test]
fn an_idle_connection_is_closed_for_a_new_one() {
    alone(async {
        let (mut site, _server) = site().await;
        site.change_gateway(0, |settings| settings.connections = Some(FEW))
            .await;
        let address = site.gateway_settings(0).callers;
        let mut idle = Vec::new();
        for _ in 0..FEW {
            let load = unread(1, 2);
            idle.push(press(address, WINDOW, (load.bytes)(&site.attempt())).await);
        }

        let is_served = is_served_in_time(&site, "").await;

        assert!(is_served);
        assert_eq!(idle.iter().flatten().count(), FEW);
    });
}

// Guards against callers that keep the room for bodies from others and send nothing.
#[test]
fn a_caller_that_stops_sending_its_body_is_closed_for_others() {
    alone(async {
        let (mut site, _server) = site().await;
        site.change_gateway(0, |settings| settings.bodies_mb = Some(1))
            .await;
        let loads = [unfinished_bodies(FEW, LONG_BODY)];
        let callers = press_all(&site, &loads, 1).await;

        let is_served = is_served_in_time(&site, &"x".repeat(LONG_BODY)).await;

        assert!(is_served);
        assert_eq!(callers.len(), FEW);
    });
}

// Guards against callers that keep the room for answers from others and read nothing.
#[test]
fn a_caller_that_reads_nothing_is_closed_for_the_answers_of_others() {
    alone(async {
        let (site, server) = site().await;
        let load = unread(1, LONG_ANSWER);
        let address = site.gateway_settings(0).callers;
        let slow = press(address, WINDOW, (load.bytes)(&site.attempt())).await;
        site.wait_until(|_| server.asked(LONG_ANSWER) > 0).await;

        let path = format!("/sized/{LONG_ANSWER}");
        let headers = [("x-deadline-ms", "12000")];
        let answer = site.send(0, "GET", &path, &headers, "").await;

        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.body.len()), (200, LONG_ANSWER));
        assert!(slow.is_some());
    });
}

// Guards against settings files of earlier builds that are refused, and against settings
// that are lowered silently.
#[test]
fn settings_without_a_memory_are_served_and_too_little_is_refused() {
    alone(async {
        let (mut site, _server) = site().await;
        let mut small = site.gateway_settings(0).clone();
        small.memory_mb = Some(8);
        let mut faults = Vec::new();
        small.check(&mut faults);

        site.wait_for_log("gateway-0", "event=setting_lowered setting=connections")
            .await;
        site.change_gateway(0, |settings| settings.memory_mb = None)
            .await;
        site.wait_for_log("gateway-0", "event=setting_missing setting=memory_mb")
            .await;
        let is_served = ordinary(&site).await;

        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert!(faults.concat().contains("at least 48"), "{faults:?}");
        assert!(is_served);
    });
}
