//! Starts and stops of real processes: signals and addresses at the wrong time.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use limpetferry_net::timeout::within;
use limpetferry_testutils::folder::Folder;
use limpetferry_testutils::platform_server::Behaviour;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::process::Process;

/// Longest wait for something that has to happen.
const LIMIT: Duration = Duration::from_secs(30);
/// Exit code of a stop that a second SIGINT cut short.
const CUT_SHORT: i32 = 3;
/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
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
    let headers = [
        ("x-program-id", "program"),
        ("x-session-id", "line"),
        ("x-token-budget", "100000"),
        ("x-token-usage", "100,50"),
        ("x-deadline-ms", "3000"),
    ];
    let turn = site.send(0, "POST", "/stream/kept/a", &headers, "in;");
    let begun = |site: &PlatformSite| site.engines.iter().any(|e| !e.runs().is_empty());
    let interfering = async {
        site.wait_until(begun).await;
        interfere(gateway).await;
    };
    let (answer, ()) = futures_lite::future::zip(turn, interfering).await;
    answer.ok()
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
