//! Starts and stops of real processes: signals and addresses at the wrong time.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use limpetferry_net::timeout::within;
use limpetferry_testutils::folder::Folder;
use limpetferry_testutils::listen::any_loopback;
use limpetferry_testutils::listen::free;
use limpetferry_testutils::platform_server::Behaviour;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::process::Process;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Longest wait for something that has to happen.
const LIMIT: Duration = Duration::from_secs(30);
/// Exit code of a stop that a second SIGINT cut short.
const CUT_SHORT: i32 = 3;
/// Exit code of settings that the machine refuses.
const REFUSED: i32 = 5;
/// Overlapping restarts of all processes.
const RESTARTS: usize = 10;
/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Headers of turns of one program.
const PROGRAM: [(&str, &str); 5] = [
    ("x-program-id", "program"),
    ("x-session-id", "line"),
    ("x-token-budget", "100000"),
    ("x-token-usage", "100,50"),
    ("x-deadline-ms", "3000"),
];
const PROGRAMS: [&str; 4] = [
    "limpetferry-gateway",
    "limpetferry-keeper",
    "limpetferry-entry",
    "limpetferry-side",
];

/// A process that reads its settings from a pipe, and waits for them.
struct Reading {
    process: Process,
    pipe: File,
    file: PathBuf,
}

impl Reading {
    /// Starts a program, and returns once it reads its settings.
    async fn start(program: &str, folder: &Path) -> Self {
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
        let file = folder.join(format!("{program}.json"));
        let made = Command::new("mkfifo").arg(&file).status();
        assert!(made.is_ok_and(|status| status.success()));
        let process = Process::spawn_file(program, &file, &folder.join(format!("{program}.log")));
        let opened = file.clone();
        // It opens once the other end does.
        let open = smol::unblock(move || OpenOptions::new().write(true).open(opened));
        let pipe = within(LIMIT, open).await.expect("it reads its settings");
        Self {
            process,
            pipe: pipe.expect("the pipe can be written"),
            file,
        }
    }

    /// Gives it its settings, also when it reads them again.
    fn give(mut self, settings: &str) -> Process {
        std::fs::remove_file(&self.file).expect("the pipe is there");
        std::fs::write(&self.file, settings).expect("the temporary folder can be written");
        // Nobody reads it any more if a signal ended the process.
        let _ = self.pipe.write_all(settings.as_bytes());
        self.process
    }
}

fn gateway_settings(site: &PlatformSite) -> String {
    serde_json::to_string(site.gateway_settings(0)).expect("settings can be serialised")
}

/// Sends a turn to the site's first gateway that its engine answers slowly, and runs
/// `interfere` with the gateway while the turn is under way.
async fn slow_turn(
    site: &PlatformSite,
    gateway: &mut Process,
    interfere: impl AsyncFnOnce(&mut Process),
) -> Option<Answer> {
    for engine in &site.engines {
        engine.behave([Behaviour::Slowly]);
    }
    let turn = site.send(0, "POST", "/stream/kept/a", &PROGRAM, "in;");
    let begun = |site: &PlatformSite| site.engines.iter().any(|e| !e.runs().is_empty());
    let interfering = async {
        site.wait_until(begun).await;
        interfere(gateway).await;
    };
    let (answer, ()) = futures_lite::future::zip(turn, interfering).await;
    answer.ok()
}

/// Sends a turn with kept history, as callers do, until it is served, and returns its id.
async fn served_turn(site: &PlatformSite, gateway: usize, previous: Option<&str>) -> String {
    let serve = async {
        loop {
            let id = site.attempt();
            let mut headers = vec![("x-attempt-id", id.as_str())];
            headers.extend(PROGRAM);
            headers.extend(previous.map(|previous| ("x-previous-turn", previous)));
            let path = "/stream/kept/a";
            let answer = site.send_raw(gateway, "POST", path, &headers, "in;").await;
            match answer {
                Ok(answer) if answer.status == 200 && answer.whole => return id,
                // Says when to send it again.
                Ok(answer) if answer.headers.contains_key("retry-after") => {
                    answer.wait_to_return().await;
                }
                Ok(answer) => panic!("refused: {answer:?}"),
                Err(_) => drop(smol::Timer::after(POLL_INTERVAL).await),
            }
        }
    };
    within(LIMIT, serve).await.expect("it is served in time")
}

/// Connects from `address` as another program does, which does not let others reuse it.
fn connect_from(address: SocketAddr) -> (Socket, TcpListener) {
    let other_end = TcpListener::bind(any_loopback()).expect("a port is free");
    let target = other_end.local_addr().expect("a bound listener has one");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).expect("the address is free");
    socket
        .connect(&target.into())
        .expect("the other end listens");
    (socket, other_end)
}

/// Closes a connection without leaving anything of it to the system.
fn reset(socket: Socket) {
    let set = socket.set_linger(Some(Duration::ZERO));
    set.expect("the option can be set");
}

/// Returns addresses of a gateway and of a keeper, each with its process and setting.
fn addresses(site: &PlatformSite) -> [(&'static str, &'static str, SocketAddr); 4] {
    let (gateway, keeper) = (site.gateway_settings(0), site.keeper_settings(0));
    [
        ("gateway-0", "callers", gateway.callers),
        ("gateway-0", "ready", gateway.ready),
        ("gateway-0", "common.metrics", gateway.common.metrics),
        ("keeper-0", "common.peers", keeper.common.peers),
    ]
}

fn start(site: &mut PlatformSite, node: &str) {
    match node {
        "gateway-0" => site.start_gateway(0),
        _ => site.start_keeper(0),
    }
}

// Guards against programs that SIGHUP kills until they have read their settings.
#[test]
fn a_hangup_while_settings_are_read_ends_no_program() {
    smol::block_on(async {
        let folder = Folder::default();
        for program in PROGRAMS {
            let mut reading = Reading::start(program, &folder).await;

            reading.process.hang_up();
            let mut process = reading.give("{}");
            let status = within(LIMIT, process.exit_status()).await;

            let status = status.expect("it refuses the settings in time");
            assert!(
                status.code().is_some(),
                "{program} ended by a signal: {status}"
            );
        }
    });
}

// Guards against a start that SIGHUP ends at any moment after the program runs.
#[test]
fn a_gateway_that_is_hung_up_throughout_its_start_serves() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        site.process("gateway-0").kill();
        let folder = Folder::default();
        let mut reading = Reading::start("limpetferry-gateway", &folder).await;

        reading.process.hang_up();
        let mut process = reading.give(&gateway_settings(&site));
        let ready = async {
            while !process.has_ended() && !site.is_ready(0).await {
                process.hang_up();
            }
        };
        within(LIMIT, ready).await.expect("it is ready in time");

        assert!(!process.has_ended());
        assert!(site.is_ready(0).await);
    });
}

// Guards against a stop before the start is over that counts as a failure.
#[test]
fn a_gateway_that_is_stopped_while_it_reads_its_settings_ends_in_order() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        site.process("gateway-0").kill();
        let folder = Folder::default();
        let mut reading = Reading::start("limpetferry-gateway", &folder).await;

        reading.process.ask_stop().await;
        let mut process = reading.give(&gateway_settings(&site));
        let status = within(LIMIT, process.exit_status()).await;

        assert_eq!(status.expect("it ends in time").code(), Some(0));
    });
}

// Guards against a planned stop that a supervisor's second SIGTERM cuts short.
#[test]
fn a_repeated_terminate_cuts_off_nothing() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        let mut gateway = site.take_process("gateway-0");

        let answer = slow_turn(&site, &mut gateway, async |gateway| {
            gateway.ask_stop().await;
            site.wait_for_log("gateway-0", "event=stopping").await;
            gateway.ask_stop().await;
            let noted = || site.logged("gateway-0", "event=stop_repeated").is_some();
            while !gateway.has_ended() && !noted() {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        })
        .await;
        let status = within(LIMIT, gateway.exit_status()).await;

        let answer = answer.expect("the answer comes");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(status.expect("it ends in time").code(), Some(0));
        assert!(site.logged("gateway-0", "event=stop_repeated").is_some());
    });
}

#[test]
fn a_second_interrupt_ends_a_gateway_at_once() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        let mut gateway = site.take_process("gateway-0");

        gateway.interrupt();
        site.wait_for_log("gateway-0", "event=stopping").await;
        gateway.interrupt();
        let status = within(LIMIT, gateway.exit_status()).await;

        assert_eq!(status.expect("it ends in time").code(), Some(CUT_SHORT));
    });
}

// Guards against a start that ends at once because another program's outgoing connection
// has an address.
#[test]
fn a_gateway_waits_for_an_address_that_a_connection_has() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        for setting in ["callers", "ready", "common.metrics"] {
            site.process("gateway-0").kill();
            // Nothing of earlier connections is left at an address that is new.
            let address = free();
            site.change_gateway_settings(0, |settings| match setting {
                "callers" => settings.callers = address,
                "ready" => settings.ready = address,
                _ => settings.common.metrics = address,
            });
            let (connection, _other_end) = connect_from(address);

            site.start_gateway(0);
            let in_use = format!("event=address_in_use setting={setting}");
            site.wait_for_log_or_end("gateway-0", &in_use).await;
            reset(connection);
            let bound = format!("event=address_bound setting={setting}");
            site.wait_for_log_or_end("gateway-0", &bound).await;
            site.wait_ready().await;

            assert_eq!(site.logged_anywhere(&in_use).len(), 1);
        }
        served_turn(&site, 0, None).await;
    });
}

// Guards against a start that says nothing while it waits for one of its addresses.
#[test]
fn a_gateway_that_waits_for_its_callers_address_says_that_it_is_not_ready() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        site.process("gateway-0").kill();
        let held = TcpListener::bind(site.gateway_settings(0).callers);
        let held = held.expect("the address is free");

        site.start_gateway(0);
        let waits = r#"limpetferry_address_waiting{setting="callers"} 1"#;
        site.wait_for_metric_line(0, waits).await;
        let answer = site.ask_ready(0).await;
        drop(held);
        site.wait_ready().await;

        assert_eq!(answer.map(|answer| answer.status).ok(), Some(503));
    });
}

// Guards against a process that cannot be stopped, or fails, while it waits for an address.
#[test]
fn a_process_that_waits_for_its_address_stops_in_order() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        for (node, setting, address) in addresses(&site) {
            site.process(node).kill();
            let held = TcpListener::bind(address).expect("the address is free");

            start(&mut site, node);
            let in_use = format!("event=address_in_use setting={setting}");
            site.wait_for_log_or_end(node, &in_use).await;
            site.process(node).ask_stop().await;
            let status = within(LIMIT, site.process(node).exit_status()).await;

            assert_eq!(
                status.expect("it ends in time").code(),
                Some(0),
                "{setting}"
            );
            drop(held);
            start(&mut site, node);
            site.wait_ready().await;
        }
    });
}

// Guards against a wrong address that is tried again, or that no line names.
#[test]
fn an_address_of_another_machine_ends_a_start_with_a_line_that_names_its_setting() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        let mut settings = site.gateway_settings(0).clone();
        settings.callers = SocketAddr::from(([192, 0, 2, 1], settings.callers.port()));
        let text = serde_json::to_string(&settings).expect("settings can be serialised");
        site.process("gateway-0").kill();
        let folder = Folder::default();
        std::fs::create_dir_all(&*folder).expect("the temporary folder can be written");
        let (file, log) = (folder.join("settings.json"), folder.join("log"));
        std::fs::write(&file, text).expect("the temporary folder can be written");

        let mut process = Process::spawn_file("limpetferry-gateway", &file, &log);
        let status = within(LIMIT, process.exit_status()).await;

        let lines = std::fs::read_to_string(&log).expect("the log can be read");
        let failed = lines.lines().filter(|l| l.contains("event=start_failed"));
        let failed: Vec<&str> = failed.collect();
        assert_eq!(status.expect("it ends in time").code(), Some(REFUSED));
        assert_eq!(failed.len(), 1, "{lines}");
        assert!(failed[0].contains("callers"), "{lines}");
    });
}

// Guards against a start that ends because its predecessor still ends.
#[test]
fn a_gateway_that_is_started_while_its_predecessor_ends_serves_after_it() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        site.process("gateway-0").ask_stop().await;
        site.wait_for_log("gateway-0", "event=stopping").await;

        let mut predecessor = site.start_successor("gateway-0");
        site.wait_for_log_or_end("gateway-0", "event=address_in_use setting=callers")
            .await;
        let ended = within(LIMIT, predecessor.ended()).await;
        served_turn(&site, 0, None).await;

        assert_eq!(ended, Some(true));
        assert!(site.ended().is_empty());
    });
}

// Guards against a keeper that reads its folder while its predecessor still writes there.
#[test]
fn a_keeper_reads_its_folder_once_its_predecessor_has_ended() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 1, 0).await;
        let first = served_turn(&site, 0, None).await;
        let mut predecessor = site.start_successor("keeper-0");
        site.wait_for_log_or_end("keeper-0", "event=address_in_use setting=common.peers")
            .await;

        let second = served_turn(&site, 0, Some(&first)).await;
        predecessor.kill();
        site.wait_for_log_or_end("keeper-0", "event=started").await;
        // Only the keeper knows the turns now.
        site.change_gateway(0, |_| {}).await;
        served_turn(&site, 0, Some(&second)).await;

        let started = site.logged("keeper-0", "event=started");
        assert!(started.is_some_and(|line| line.contains("torn_bytes=0")));
        assert!(site.ended().is_empty());
    });
}

// Guards against processes that end by themselves when a supervisor starts them again
// without waiting for their end.
#[test]
fn a_site_serves_after_overlapping_restarts_in_series() {
    smol::block_on(async {
        let mut site = PlatformSite::start(2, 3, 1).await;
        let mut last = served_turn(&site, 0, None).await;

        for _ in 0..RESTARTS {
            let mut ending = Vec::new();
            for node in site.nodes() {
                site.process(&node).ask_stop().await;
                ending.push(site.start_successor(&node));
            }
            site.wait_ready().await;
            for mut predecessor in ending {
                assert_eq!(within(LIMIT, predecessor.ended()).await, Some(true));
            }
            assert!(site.ended().is_empty(), "{:?}", site.ended());
        }
        for gateway in 0..2 {
            last = served_turn(&site, gateway, Some(&last)).await;
        }
    });
}
