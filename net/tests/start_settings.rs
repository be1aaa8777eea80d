//! Processes started from the templates in `deploy/`, with each form of settings that
//! the platform may render.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use limpetferry_net::gateway_settings::GatewaySettings;
use limpetferry_net::gateway_settings::KeeperSettings;
use limpetferry_net::settings::read;
use limpetferry_net::timeout::within;
use limpetferry_testutils::folder::Folder;
use limpetferry_testutils::listen::lock_ports;
use limpetferry_testutils::process::Process;
use limpetferry_testutils::template::render;
use serde_json::Value;
use serde_json::json;
use smol::net::TcpStream;

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Gateway,
    Keeper,
}

impl Role {
    fn program(self) -> &'static str {
        match self {
            Self::Gateway => "limpetferry-gateway",
            Self::Keeper => "limpetferry-keeper",
        }
    }

    fn template(self) -> &'static str {
        match self {
            Self::Gateway => include_str!("../../deploy/gateway.json"),
            Self::Keeper => include_str!("../../deploy/keeper.json"),
        }
    }
}

/// A machine of the platform.
struct Machine {
    role: Role,
    folder: Folder,
    fields: Value,
}

impl Machine {
    /// Makes a machine whose numbers are integers.
    fn new(role: Role) -> Self {
        let ip = Ipv4Addr::new(
            127,
            rand::random_range(1..255),
            rand::random_range(0..255),
            rand::random_range(1..255),
        );
        let [front, ready, control, store, peers, metrics] = free_ports(ip);
        let folder = Folder::default();
        std::fs::create_dir_all(folder.join("disk")).expect("the temporary folder can be written");
        let mut fields = json!({
            "NodeName": "hall-osijek-1", "Zone": "hall-osijek", "Region": "slavonija",
            "Zones": { "hall-osijek": "slavonija", "hall-pozega": "slavonija" },
            "Ip": ip.to_string(),
            "PortRange": [peers, metrics],
            "Seeds": [format!("{ip}:{control}"), "127.2.0.40:8144"],
            "Bootstrap": true, "FaultCounted": false,
            "Limits": {
                "CpuShare": 0.19, "Cores": 1, "MemoryMb": 110, "MaxFds": 4100,
                "LinkMbps": 1000, "DiskMb": 0,
            },
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "platform"],
            "FaultTolerance": { "Machines": 1, "Zones": 0, "Regions": 0 },
            "Bounds": { "SeedLagS": 3, "CatchUpS": 4.9, "DrainMs": 2000, "GraceS": 8 },
            "Platform": { "Address": format!("{ip}:{store}"), "form": "kv" },
        });
        match role {
            Role::Gateway => {
                fields["Listen"] =
                    json!({ "Front": format!("{ip}:{front}"), "Ready": format!("{ip}:{ready}") });
            }
            Role::Keeper => {
                fields["Listen"] = json!({ "Control": format!("{ip}:{control}") });
                fields["DataDir"] = json!(folder.join("disk"));
                fields["Limits"]["DiskMb"] = json!(420);
            }
        }
        Self {
            role,
            folder,
            fields,
        }
    }

    /// Sets a field, or removes it if `value` is null.
    fn set(&mut self, pointer: &str, value: &Value) {
        let (parent, name) = pointer.rsplit_once('/').expect("a pointer has a slash");
        let parent = self.fields.pointer_mut(parent).expect("a table of fields");
        let table = parent.as_object_mut().expect("a table of fields");
        if value.is_null() {
            table.remove(name);
        } else {
            table.insert(name.to_owned(), value.clone());
        }
    }

    /// Writes the settings file as the platform does, and returns its path.
    fn render(&self) -> PathBuf {
        let file = self.folder.join("settings.json");
        let text = render(self.role.template(), &self.fields);
        std::fs::write(&file, text).expect("the temporary folder can be written");
        file
    }

    /// Starts the process under the descriptors that the machine allows.
    fn start(&self) -> Process {
        let file = self.render();
        let descriptors = self.fields["Limits"]["MaxFds"].as_u64();
        let descriptors = descriptors.expect("a number") as u32;
        let log = self.folder.join("node.log");
        Process::spawn_limited(self.role.program(), &file, &log, descriptors)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("node.log")).expect("the process has a log")
    }

    /// Returns where the process serves its metrics.
    fn metrics(&self) -> SocketAddr {
        let ip: IpAddr = self.fields["Ip"]
            .as_str()
            .and_then(|ip| ip.parse().ok())
            .expect("an IP address");
        let port = self.fields["PortRange"][1].as_u64().expect("a port");
        SocketAddr::from((ip, port as u16))
    }

    /// Starts the process, waits until it serves, and stops it.
    async fn assert_starts(&self, form: &str) {
        let mut process = self.start();
        let serving = async {
            while TcpStream::connect(self.metrics()).await.is_err() {
                if process.has_ended() {
                    return false;
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
            !process.has_ended()
        };
        let serving = within(CONDITION_TIMEOUT, serving).await;
        assert_eq!(serving, Some(true), "{form}: {}", self.log());
        let stopped = within(CONDITION_TIMEOUT, process.stop()).await;
        assert_eq!(stopped, Some(true), "{form}: {}", self.log());
        let log = self.log();
        let started = log.lines().find(|line| line.contains("event=started"));
        let started = started.unwrap_or_else(|| panic!("{form}: not started: {log}"));
        for key in ["version=", "pid=", "start_ms="] {
            assert!(started.contains(key), "no {key} in {started}");
        }
    }

    /// Starts the process, and asserts that it ends with the exit code `code` and a
    /// line that has each of `pairs`.
    async fn assert_fails(&self, code: i32, pairs: &[&str]) {
        let mut process = self.start();
        let ended = within(CONDITION_TIMEOUT, process.exit_status()).await;
        let log = self.log();
        assert_eq!(ended.and_then(|status| status.code()), Some(code), "{log}");
        let mut lines = log.lines();
        let line = lines.find(|line| line.contains("event=start_failed"));
        let line = line.unwrap_or_else(|| panic!("no event=start_failed in {log}"));
        for pair in pairs {
            assert!(line.contains(pair), "no {pair:?} in {line}");
        }
        assert!(!log.contains("panicked"), "{log}");
    }
}

/// Returns ports of an address that nobody uses.
fn free_ports<const N: usize>(ip: Ipv4Addr) -> [u16; N] {
    let _ports = lock_ports();
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a port is free"));
    listeners.map(|listener| {
        let address = listener.local_addr().expect("a bound listener has one");
        address.port()
    })
}

/// Numbers of the templates, in each kind that the platform may give them.
fn number_kinds() -> [(&'static str, Vec<(&'static str, Value)>); 2] {
    let fractions = vec![
        ("/Bounds/GraceS", json!(8.0)),
        ("/FaultTolerance/Machines", json!(1.0)),
        ("/Limits/MemoryMb", json!(110.0)),
        ("/Limits/DiskMb", json!(420.0)),
        ("/Limits/LinkMbps", json!(1000.0)),
    ];
    let texts = vec![
        ("/Bounds/GraceS", json!("8.0")),
        ("/FaultTolerance/Machines", json!("1")),
        ("/Limits/MemoryMb", json!("110")),
        ("/Limits/DiskMb", json!("420")),
        ("/Limits/LinkMbps", json!("1e+03")),
    ];
    [("fractions", fractions), ("texts", texts)]
}

fn settings(machine: &Machine) -> Result<Value, String> {
    let file = machine.render();
    let value = match machine.role {
        Role::Gateway => read::<GatewaySettings>(&file).map(serde_json::to_value),
        Role::Keeper => read::<KeeperSettings>(&file).map(serde_json::to_value),
    };
    let value = value.map_err(|error| error.to_string())?;
    Ok(value.expect("settings can be serialised"))
}

/// Guards against settings whose numbers are refused or mean something else because
/// the platform writes them as fractions, as in `"stop_ms": 8.0000`.
#[test]
fn each_kind_of_number_gives_the_same_settings() {
    for role in [Role::Gateway, Role::Keeper] {
        for (kind, values) in number_kinds() {
            let mut machine = Machine::new(role);
            let integers = settings(&machine);

            values
                .iter()
                .for_each(|(name, value)| machine.set(name, value));

            assert!(integers.is_ok(), "{role:?}: {integers:?}");
            assert_eq!(settings(&machine), integers, "{role:?}: {kind}");
        }
    }
}

/// Guards against processes that do not start because of the kind of a number.
#[test]
fn processes_start_with_each_kind_of_number() {
    smol::block_on(async {
        for role in [Role::Gateway, Role::Keeper] {
            Machine::new(role).assert_starts("integers").await;
            for (kind, values) in number_kinds() {
                let mut machine = Machine::new(role);
                values
                    .iter()
                    .for_each(|(name, value)| machine.set(name, value));
                machine.assert_starts(kind).await;
            }
        }
    });
}

/// Guards against processes that do not start with fractions, or without a value that
/// they can do without.
#[test]
fn processes_start_with_fractions_and_without_optional_values() {
    let forms = [
        vec![
            ("/Bounds/GraceS", json!(8.5)),
            ("/Limits/MemoryMb", json!(110.5)),
            ("/Limits/DiskMb", json!(420.9)),
            ("/Bounds/QuotaWindowS", json!(8)),
            ("/Bounds/QuotaOverrun", json!(0)),
            ("/Bounds/QuotaSlack", json!(20)),
        ],
        vec![
            ("/Seeds", json!([])),
            ("/Limits/LinkMbps", json!(0)),
            ("/Bounds/QuotaWindowS", json!(8.0)),
            ("/Bounds/QuotaSlack", json!(20.5)),
            ("/Bootstrap", json!(false)),
        ],
        vec![
            ("/Seeds", json!(null)),
            ("/Limits/CpuShare", json!(null)),
            ("/Limits/LinkMbps", json!(null)),
            ("/Limits/MemoryMb", json!(null)),
            ("/Limits/DiskMb", json!(null)),
            ("/Bounds/GraceS", json!(null)),
            ("/Bootstrap", json!(null)),
        ],
        vec![
            ("/Seeds", json!("")),
            ("/Limits/CpuShare", json!("")),
            ("/Limits/MemoryMb", json!("")),
            ("/Bounds/GraceS", json!("")),
            ("/Bounds/QuotaWindowS", json!("")),
        ],
        vec![
            ("/Bounds/GraceS", json!(false)),
            ("/Bounds/QuotaWindowS", json!(false)),
            ("/Bounds/QuotaOverrun", json!(false)),
            ("/Limits/LinkMbps", json!(false)),
        ],
        vec![("/Bounds/QuotaWindowS", json!(0))],
    ];
    smol::block_on(async {
        for role in [Role::Gateway, Role::Keeper] {
            for form in &forms {
                let mut machine = Machine::new(role);
                form.iter()
                    .for_each(|(name, value)| machine.set(name, value));
                machine.assert_starts(&format!("{role:?}: {form:?}")).await;
            }
        }
    });
}

/// Guards against processes that end because the platform has not finished their settings
/// file when they start.
#[test]
fn a_settings_file_that_is_still_written_is_waited_for() {
    smol::block_on(async {
        for role in [Role::Gateway, Role::Keeper] {
            let machine = Machine::new(role);
            let file = machine.render();
            let whole = std::fs::read(&file).expect("it was written");
            std::fs::write(&file, &whole[..whole.len() / 2]).expect("it can be written");
            let log = machine.folder.join("node.log");
            let mut process = Process::spawn_file(role.program(), &file, &log);
            let awaited = async {
                while !machine.log().contains("event=settings_awaited") && !process.has_ended() {
                    smol::Timer::after(POLL_INTERVAL).await;
                }
            };
            within(CONDITION_TIMEOUT, awaited).await;
            std::fs::write(&file, &whole).expect("it can be written");

            let started = async {
                while !machine.log().contains("event=started") && !process.has_ended() {
                    smol::Timer::after(POLL_INTERVAL).await;
                }
            };
            within(CONDITION_TIMEOUT, started).await;

            assert!(!process.has_ended(), "{role:?}: {}", machine.log());
            assert!(machine.log().contains("event=started"), "{}", machine.log());
        }
    });
}

/// Guards against numbers that overflow or panic, and against refusals that do not name
/// the setting and its value.
#[test]
fn impossible_settings_are_refused_by_name() {
    let cases = [
        (
            Role::Gateway,
            "/Bounds/GraceS",
            json!(1e300),
            "common.stop_s",
            "1e+300",
        ),
        (
            Role::Gateway,
            "/Bounds/GraceS",
            json!(-1),
            "common.stop_s",
            "-1",
        ),
        (
            Role::Gateway,
            "/Bounds/GraceS",
            json!("NaN"),
            "common.stop_s",
            "NaN",
        ),
        (
            Role::Gateway,
            "/Platform/Address",
            json!(null),
            "common.store",
            "\"\"",
        ),
        (
            Role::Gateway,
            "/FaultTolerance/Machines",
            json!(1.5),
            "common.faults",
            "1.5",
        ),
        (
            Role::Gateway,
            "/Limits/CpuShare",
            json!(-0.5),
            "capacity.cpu_share",
            "-0.5",
        ),
        (
            Role::Gateway,
            "/Bounds/QuotaWindowS",
            json!(1e300),
            "common.allowances.window_s",
            "1e+300",
        ),
        (
            Role::Keeper,
            "/Limits/DiskMb",
            json!(1e300),
            "data.max_mb",
            "1e+300",
        ),
        (
            Role::Keeper,
            "/Limits/DiskMb",
            json!(u64::MAX),
            "data.max_mb",
            "18446744073709551615",
        ),
        (
            Role::Keeper,
            "/Limits/MemoryMb",
            json!(-110.0),
            "memory_mb",
            "-110.0",
        ),
        (Role::Keeper, "/DataDir", json!(null), "data.folder", "\"\""),
    ];
    smol::block_on(async {
        for (role, field, value, setting, shown) in cases {
            let mut machine = Machine::new(role);
            machine.set(field, &value);
            let setting = format!("setting={setting} ");
            let shown = format!("value={shown} ");
            let pairs = [
                setting.as_str(),
                &shown,
                "node=hall-osijek-1 ",
                "why=",
                "remedy=",
            ];
            machine.assert_fails(5, &pairs).await;
        }
    });
}

/// Guards against keepers that end because their data folder is not there yet.
#[test]
fn a_missing_data_folder_is_created() {
    smol::block_on(async {
        let mut machine = Machine::new(Role::Keeper);
        let folder = machine.folder.join("not/there/yet");
        machine.set("/DataDir", &json!(folder));

        machine.assert_starts("missing folder").await;

        assert!(folder.join("whole").is_file());
        assert!(
            machine.log().contains("event=folder_created"),
            "{}",
            machine.log()
        );
    });
}

#[test]
fn an_unknown_folder_on_the_disk_is_left_alone() {
    smol::block_on(async {
        let machine = Machine::new(Role::Keeper);
        let unknown = machine.folder.join("disk/lost+found");
        std::fs::create_dir_all(&unknown).expect("the temporary folder can be written");

        machine.assert_starts("lost+found").await;

        assert!(unknown.is_dir());
    });
}

/// Guards against ends that say nothing about a data folder that cannot be used.
#[test]
fn a_data_folder_that_cannot_be_used_is_named() {
    smol::block_on(async {
        let mut machine = Machine::new(Role::Keeper);
        let file = machine.folder.join("file");
        std::fs::write(&file, "").expect("the temporary folder can be written");
        for folder in [
            &file,
            &file.join("below"),
            Path::new("/proc/limpetferry/data"),
        ] {
            machine.set("/DataDir", &json!(folder));

            let value = format!("value={} ", folder.display());
            let pairs = ["setting=data.folder ", &value, "remedy="];
            machine.assert_fails(5, &pairs).await;
        }
    });
}

/// Guards against ends after the start of the log that leave no line in it.
#[test]
fn a_start_that_fails_later_says_why() {
    smol::block_on(async {
        let machine = Machine::new(Role::Keeper);
        let records = machine.folder.join("disk/000000000001.turns");
        std::fs::create_dir_all(records).expect("the temporary folder can be written");

        let pairs = ["node=hall-osijek-1 ", "code=1 ", "000000000001.turns"];
        machine.assert_fails(1, &pairs).await;
    });
}
