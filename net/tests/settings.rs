//! Values of settings files in each of their forms, without a process.

use std::time::Duration;

use limpetferry_net::gateway_settings::GatewaySettings;
use limpetferry_net::gateway_settings::KeeperSettings;
use limpetferry_net::settings::Check;
use limpetferry_net::settings::SettingsError;
use limpetferry_net::settings::read;
use limpetferry_testutils::check::example;
use limpetferry_testutils::folder::Folder;
use serde_json::Value;
use serde_json::json;

/// Reads settings that are those of the example but for one value.
fn changed<S: Check>(name: &str, pointer: &str, value: Value) -> Result<S, SettingsError> {
    let mut settings = example(name);
    settings["data"]["folder"] = json!(std::env::temp_dir());
    if name == "platform/gateway.json" {
        let table = settings.as_object_mut().expect("a table");
        table.remove("data");
    }
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    settings.pointer_mut(parent).expect("a table")[field] = value;
    read_text(&settings.to_string())
}

fn gateway(pointer: &str, value: Value) -> Result<GatewaySettings, SettingsError> {
    changed("platform/gateway.json", pointer, value)
}

fn keeper(pointer: &str, value: Value) -> Result<KeeperSettings, SettingsError> {
    changed("platform/keeper.json", pointer, value)
}

fn read_text<S: Check>(text: &str) -> Result<S, SettingsError> {
    let folder = Folder::default();
    std::fs::create_dir_all(&*folder).expect("the temporary folder can be written");
    let file = folder.join("settings.json");
    std::fs::write(&file, text).expect("the temporary folder can be written");
    read(&file)
}

fn line<S>(read: Result<S, SettingsError>) -> String {
    let error = read.err().expect("the settings have a fault");
    format!("{:?}", error.notes())
}

#[test]
fn megabytes_take_each_form_and_are_rounded_down() {
    let forms = [
        json!(110),
        json!(110.0),
        json!(110.9),
        json!("110"),
        json!(" 110.5 "),
    ];
    for form in forms {
        let read = keeper("/memory_mb", form.clone()).expect("no fault");
        assert_eq!(read.memory_mb, Some(110), "{form}");
        let read = keeper("/data/max_mb", form.clone()).expect("no fault");
        assert_eq!(read.data.most, 110, "{form}");
        let read = gateway("/bodies_mb", form.clone()).expect("no fault");
        assert_eq!(read.bodies_mb, Some(110), "{form}");
    }
    for missing in [json!(null), json!("")] {
        let read = keeper("/memory_mb", missing.clone()).expect("no fault");
        assert_eq!(read.memory_mb, None);
        let read = keeper("/data/max_mb", missing).expect("no fault");
        assert_eq!(read.data.most, 1_024);
    }
}

#[test]
fn durations_take_each_form_and_that_of_earlier_builds() {
    let stop = |stop_s: Value, stop_ms: Value| {
        let mut common = example("platform/gateway.json")["common"].clone();
        common["stop_s"] = stop_s;
        common["stop_ms"] = stop_ms;
        gateway("/common", common).map(|read| read.common.stop_limit())
    };
    let seconds = Duration::from_secs_f64;
    let cases = [
        (json!(9), json!(null), seconds(9.0)),
        (json!(9.0), json!(null), seconds(9.0)),
        (json!(8.5), json!(""), seconds(8.5)),
        (json!("8.5"), json!(null), seconds(8.5)),
        (json!(null), json!(7_000), seconds(7.0)),
        (json!(""), json!(7_000.0), seconds(7.0)),
        (json!(null), json!(null), seconds(8.0)),
    ];
    for (stop_s, stop_ms, limit) in cases {
        let read = stop(stop_s, stop_ms).expect("no fault");
        assert_eq!(read, limit);
    }
    let both = line(stop(json!(8), json!(8_000)));
    assert!(both.contains("common.stop_ms"), "{both}");
}

#[test]
fn numbers_out_of_range_are_faults() {
    let numbers = [
        json!(-1),
        json!(-0.5),
        json!(1e300),
        json!("inf"),
        json!("NaN"),
        json!("ten"),
    ];
    for number in numbers.iter().chain([&json!(true), &json!([1])]) {
        let lines = [
            ("memory_mb", line(keeper("/memory_mb", number.clone()))),
            ("data.max_mb", line(keeper("/data/max_mb", number.clone()))),
            (
                "common.stop_s",
                line(keeper("/common/stop_s", number.clone())),
            ),
            (
                "common.faults",
                line(keeper("/common/faults", number.clone())),
            ),
            (
                "common.watch_ms",
                line(keeper("/common/watch_ms", number.clone())),
            ),
            ("connections", line(gateway("/connections", number.clone()))),
        ];
        for (setting, line) in lines {
            assert!(
                line.contains(&format!("(\"setting\", \"{setting}")),
                "{number}: {line}"
            );
        }
    }
}

#[test]
fn addresses_are_a_list_or_text() {
    let seeds = [
        json!(["10.1.0.38:8144", "10.2.0.40:8144"]),
        json!("10.1.0.38:8144, 10.2.0.40:8144"),
    ];
    for form in seeds {
        let read = gateway("/common/seeds", form).expect("no fault");
        assert_eq!(read.common.seeds.len(), 2);
    }
    for form in [json!([]), json!(""), json!([""]), json!(null)] {
        let read = gateway("/common/seeds", form).expect("no fault");
        assert_eq!(read.common.seeds, []);
    }
    let line = line(gateway(
        "/common/seeds",
        json!(["10.1.0.38:8144", "nowhere"]),
    ));
    assert!(
        line.contains("common.seeds.1") && line.contains("nowhere"),
        "{line}"
    );
}

#[test]
fn a_capacity_is_known_whole_or_not_at_all() {
    let known = json!({ "link_mbps": "200", "cpu_share": 0.5 });
    let read = gateway("/capacity", known).expect("no fault");
    let known = read
        .capacity
        .map(|capacity| (capacity.link_mbps, capacity.cpu_share));
    assert_eq!(known, Some((200.0, 0.5)));
    let unknown = [
        json!(null),
        json!({}),
        json!({ "link_mbps": 200 }),
        json!({ "link_mbps": 0, "cpu_share": 0.5 }),
        json!({ "link_mbps": "", "cpu_share": "" }),
    ];
    for form in unknown {
        let read = gateway("/capacity", form).expect("no fault");
        assert_eq!(read.capacity, None);
        assert!(read.missing().contains(&("capacity", "unknown".to_owned())));
    }
}

#[test]
fn the_first_start_is_told_and_never_assumed() {
    let cases = [
        (json!(true), true),
        (json!("true"), true),
        (json!(false), false),
        (json!("false"), false),
        (json!(""), false),
        (json!(null), false),
    ];
    for (form, first) in cases {
        let read = keeper("/first", form).expect("no fault");
        assert_eq!(read.first, first);
    }
    let line = line(keeper("/first", json!("perhaps")));
    assert!(
        line.contains("\"first\"") && line.contains("perhaps"),
        "{line}"
    );
}

/// Guards against keys in the lines that say why a start failed.
#[test]
fn keys_are_not_shown() {
    let line = line(gateway("/common/key", json!("secret")));

    assert!(
        line.contains("common.key") && !line.contains("secret"),
        "{line}"
    );
}

/// Guards against faults that are only positions, where a template leaves no value.
#[test]
fn a_place_without_a_value_is_named() {
    let text = example("platform/gateway.json").to_string();
    let store = text.find("\"store\":").expect("the example has it") + "\"store\":".len();
    let end = text[store..].find(',').expect("others follow") + store;

    let without = format!("{}{}", &text[..store], &text[end..]);

    let line = line(read_text::<GatewaySettings>(&without));
    assert!(line.contains("(\"setting\", \"common.store\")"), "{line}");
}

#[test]
fn a_file_in_place_of_the_data_folder_is_a_fault() {
    let file = std::env::current_exe().expect("a test has a path");
    for folder in [file.clone(), file.join("below"), "".into()] {
        let line = line(keeper("/data/folder", json!(folder)));
        assert!(line.contains("data.folder"), "{line}");
    }
    let missing = std::env::temp_dir().join("limpetferry-not-there/nor/this");
    assert!(keeper("/data/folder", json!(missing)).is_ok());
}
