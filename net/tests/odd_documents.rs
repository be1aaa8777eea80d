//! Routing documents with numbers that no one means, at real processes.

use limpetferry_testutils::platform_site::HOST;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_site::routing;
use serde_json::Value;
use serde_json::json;

/// Gateways of the site.
const GATEWAYS: usize = 2;
/// Keepers of the site.
const KEEPERS: usize = 3;
/// Version of the first odd document; the site starts with a lower one.
const FIRST_ODD: u64 = 10;
/// Version of the correct document that follows all odd ones.
const CORRECT: u64 = 1_000;

async fn site() -> PlatformSite {
    PlatformSite::start(GATEWAYS, KEEPERS, 1).await
}

/// Returns JSON texts of numbers at the ends of their types and beyond.
fn odd_numbers() -> [&'static str; 8] {
    [
        "1e300",
        "1e20",
        "18446744073709551615",
        "18446744073709551616",
        "1e308",
        "-1e300",
        "1e-320",
        "1e999",
    ]
}

/// Returns the text of a document in which the value at `place` is `number`.
fn with_number(version: u64, place: &str, number: &str) -> String {
    let mut document = routing(version);
    document["Routes"][0]["Split"] = json!([
        {"Service": "engine", "Weight": 1},
        {"Service": "engine", "Weight": 1e308},
    ]);
    *document
        .pointer_mut(place)
        .expect("a field of the document") = json!("the number");
    document.to_string().replace("\"the number\"", number)
}

/// Returns documents with an odd number in each field that holds one.
fn odd_documents() -> Vec<String> {
    let fields = [
        "/Routes/0/TimeoutMs",
        "/Routes/0/TargetLatencyMs",
        "/Routes/0/RetentionS",
        "/Routes/0/MaxAttempts",
        "/Routes/0/Priority",
        "/Routes/0/Split/0/Weight",
        "/Services/0/MaxConns",
        "/Services/0/Runtime/ChunkTokens",
        "/Limits/MaxHeaderBytes",
        "/Limits/MaxBodyBytes",
        "/Limits/HeaderTimeoutMs",
        "/Limits/IdleTimeoutMs",
    ];
    let pairs = fields
        .iter()
        .flat_map(|field| odd_numbers().map(|number| (*field, number)));
    let numbered = (FIRST_ODD..).zip(pairs);
    numbered
        .map(|(version, (field, number))| with_number(version, field, number))
        .collect()
}

/// Returns a correct document, with a route that none before it has.
fn correct(version: u64) -> Value {
    let mut document = routing(version);
    let mut added = document["Routes"][2].clone();
    added["Name"] = json!("added");
    added["PathPrefix"] = json!("/added/");
    added["Host"] = json!(HOST);
    let routes = document["Routes"].as_array_mut().expect("a list");
    routes.push(added);
    document
}

/// Adds a plain server, and ends the others and removes their entries.
async fn replace_plain_servers(site: &mut PlatformSite) {
    let former = site.plain.len();
    site.add_plain().await;
    for number in 0..former {
        site.store.remove(&format!("servers/plain-{number}"));
        site.plain[number].end();
    }
}

/// Restarts all processes after all of them were killed.
async fn restart_everything(site: &mut PlatformSite) {
    for number in 0..GATEWAYS {
        site.process(&format!("gateway-{number}")).kill();
    }
    for number in 0..KEEPERS {
        site.process(&format!("keeper-{number}")).kill();
    }
    for number in 0..KEEPERS {
        site.start_keeper(number);
    }
    for number in 0..GATEWAYS {
        site.start_gateway(number);
    }
    site.wait_ready().await;
}

/// Asserts that each gateway serves the route that the correct document added.
async fn assert_added_route_is_served(site: &PlatformSite) {
    for gateway in 0..GATEWAYS {
        let answer = site.send(gateway, "GET", "/added/7", &[], "").await;
        assert_eq!(answer.expect("an answer").status, 200, "gateway {gateway}");
    }
}

// Guards against keepers that follow the store no more, and gateways that follow them,
// after a document whose numbers fit no duration.
#[test]
fn a_correct_document_and_a_replaced_server_are_followed_after_odd_documents() {
    smol::block_on(async {
        let mut site = site().await;
        for document in odd_documents() {
            site.store.put_bytes("op/config", document.as_bytes());
        }

        site.store.put("op/config", &correct(CORRECT));
        for gateway in 0..GATEWAYS {
            site.wait_for_routing(gateway, CORRECT).await;
        }
        replace_plain_servers(&mut site).await;
        for gateway in 0..GATEWAYS {
            site.wait_for_servers(gateway, site.engines.len() as u64 + 1)
                .await;
        }

        assert_added_route_is_served(&site).await;
        for keeper in 0..KEEPERS {
            site.wait_for_keeper_gauge(keeper, "panics_total", 0).await;
        }
        assert_eq!(site.ended(), Vec::<String>::new());
        assert_eq!(site.logged_anywhere("event=panicked"), Vec::<String>::new());
    });
}

/// Returns the site after everything was killed and restarted while the store held this
/// document, whose predecessor is the correct one.
async fn restarted_with(odd: &str) -> PlatformSite {
    let mut site = site().await;
    site.store.put("op/config", &correct(2));
    let is_stored = |site: &PlatformSite| {
        let stored = site.files_with("/added/");
        let stored = stored.iter().filter(|path| path.ends_with("site"));
        stored.count() == KEEPERS
    };
    site.wait_until(is_stored).await;
    site.store.put_bytes("op/config", odd.as_bytes());
    site.store.compact();
    restart_everything(&mut site).await;
    replace_plain_servers(&mut site).await;
    for gateway in 0..GATEWAYS {
        site.wait_for_servers(gateway, site.engines.len() as u64 + 1)
            .await;
    }
    site
}

// Guards against processes that end in a row because each one meets the same document
// when it starts.
#[test]
fn a_site_starts_while_the_store_holds_an_odd_document() {
    smol::block_on(async {
        let odd = with_number(CORRECT, "/Routes/0/TimeoutMs", "1e300");

        let mut site = restarted_with(&odd).await;

        for gateway in 0..GATEWAYS {
            site.wait_for_routing(gateway, CORRECT).await;
        }
        let answer = site.send(0, "GET", "/read/7", &[], "").await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(site.ended(), Vec::<String>::new());
    });
}

// Guards against the same by a document that is refused: the one before stays in force,
// and the log and a metric tell of it.
#[test]
fn the_routing_in_force_stays_while_the_store_holds_a_refused_document() {
    smol::block_on(async {
        let refused = with_number(CORRECT, "/Routes/0/TimeoutMs", "-1");

        let mut site = restarted_with(&refused).await;

        assert_added_route_is_served(&site).await;
        for keeper in 0..KEEPERS {
            site.wait_for_keeper_gauge(keeper, "routing_unread", 1)
                .await;
        }
        let lines = site.logged_anywhere("node=keeper-0 event=routing_unread ");
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].contains("-1 is negative"), "{lines:?}");
        assert_eq!(site.ended(), Vec::<String>::new());

        site.store.put("op/config", &correct(CORRECT + 1));
        for gateway in 0..GATEWAYS {
            site.wait_for_routing(gateway, CORRECT + 1).await;
        }
        for keeper in 0..KEEPERS {
            site.wait_for_keeper_gauge(keeper, "routing_unread", 0)
                .await;
        }
    });
}
