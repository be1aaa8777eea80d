//! What one process knows of the site, told by the platform's store and by
//! keepers at the same time.

use std::sync::Arc;

use assert_matches::assert_matches;
use async_channel::Sender;
use limpetferry_lib::keeper_protocol::Change;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::store_watch::MAX_HOLD;
use limpetferry_lib::workspace::KeyDigester;
use limpetferry_net::clock::Clock;
use limpetferry_net::platform_store::PlatformStore;
use limpetferry_net::site::Site;
use limpetferry_testutils::listen::any_port;
use limpetferry_testutils::listen::listen;
use limpetferry_testutils::platform_site::routing;
use limpetferry_testutils::platform_store::PlatformFaults;
use limpetferry_testutils::platform_store::StandInPlatform;
use limpetferry_testutils::site::eventually;
use serde_json::json;

/// Servers in the store, more than it gives on one page.
const SERVERS: usize = 15;
/// Bytes of a long routing document.
const LONG_DOCUMENT: usize = 400 << 10;
/// Bytes that changes may hold for those that follow, beside the newest one.
const LOG_BYTES: usize = 4 << 20;
/// A server whose entry is on the first page.
const EARLY: &str = "servers/server-00";

fn store() -> StandInPlatform {
    let store = StandInPlatform::default();
    store.put("op/config", &routing(1));
    for number in 0..SERVERS {
        let entry = json!({"Service": "engine", "Address": format!("127.0.0.1:{}", 9_000 + number),
                           "Zone": "here", "Version": "v1", "Slots": 8, "State": "ready",
                           "ColdLeftMs": 0, "Seq": 1});
        store.put(&format!("servers/server-{number:02}"), &entry);
    }
    store
}

fn site() -> Arc<Site> {
    let (changed, _changes) = async_channel::bounded(1);
    let digester = KeyDigester::new(b"key");
    Site::new("gateway", Clock::default(), digester, changed)
}

/// Makes a site that has read the store, two pages, and watches it. The store
/// answers for as long as the channel is open.
async fn watching(store: &StandInPlatform) -> (Arc<Site>, Sender<()>) {
    let (at, open) = listen(any_port(), store.handler()).await;
    let site = site();
    let following = site.clone().follow(PlatformStore::new(at), MAX_HOLD);
    smol::spawn(following).detach();
    eventually("the store is watched", async || store.calls() == 3).await;
    (site, open)
}

fn removal(key: &str, revision: u64) -> Change {
    Change {
        key: key.to_owned(),
        value: None,
        revision,
        lapsed: false,
    }
}

// Guards against a reading of the store that takes back what a keeper told
// while it went on: a server that left is used again, and changes in between
// are never asked for.
#[test]
fn a_server_that_left_while_the_store_was_read_stays_gone() {
    smol::block_on(async {
        let store = store();
        let (site, _open) = watching(&store).await;
        store.set_faults(PlatformFaults {
            hold_pages: true,
            ..PlatformFaults::default()
        });
        store.compact();
        eventually("a second page is asked for", async || store.calls() == 5).await;

        let left = store.remove(EARLY);
        site.take_changes(vec![removal(EARLY, left)], left, "keeper");
        let read = site.wait_news();
        store.set_faults(PlatformFaults::default());
        eventually("the store was read", async || read.is_closed()).await;
        let revision = site.known().revision;
        // The keeper's next answer, without news.
        site.take_changes(Vec::new(), left, "keeper");

        assert_eq!(site.known().fleet.ready("engine"), SERVERS - 1);
        assert_eq!(revision, left);
    });
}

// Guards against servers that left being kept as if the store had been away,
// where only the watch of one process lagged.
#[test]
fn a_server_that_left_while_a_watch_lagged_is_not_kept() {
    smol::block_on(async {
        let store = store();
        let (site, _open) = watching(&store).await;
        store.set_faults(PlatformFaults {
            mute: true,
            ..PlatformFaults::default()
        });

        let left = store.remove(EARLY);
        site.note_revision(left);
        eventually("it is heard of", async || site.known().revision == left).await;

        assert_eq!(site.known().fleet.ready("engine"), SERVERS - 1);
    });
}

// Guards against a process that starts without any routing, as the newest one
// is invalid and has taken the place of the last good one.
#[test]
fn an_invalid_routing_does_not_take_the_place_of_the_last_good_one() {
    let mut invalid = routing(2);
    invalid["Routes"][0]["Type"] = json!("unheard of");
    let changes = [routing(1), invalid].into_iter().zip(1..);
    let changes = changes.map(|(document, revision)| Change {
        key: "op/config".to_owned(),
        value: Some(document.to_string().into()),
        revision,
        lapsed: false,
    });
    let keeper = site();
    keeper.take_changes(changes.collect(), 2, "store");

    let starting = site();
    starting.take_snapshot(keeper.snapshot(), "keeper");

    let known = starting.known();
    let routing = known.routing.as_ref().expect("a routing");
    assert_eq!(routing.version, 1);
}

// Guards against processes that exceed their memory while long routing documents come
// in quick succession.
#[test]
fn changes_for_those_that_follow_are_bounded_in_bytes() {
    let site = site();
    let versions = 1..=60_u64;
    for version in versions.clone() {
        let mut document = routing(version);
        document["Note"] = json!("x".repeat(LONG_DOCUMENT));
        let change = Change {
            key: "op/config".to_owned(),
            value: Some(document.to_string().into()),
            revision: version,
            lapsed: false,
        };
        site.take_changes(vec![change], version, "keeper");
    }

    for after in versions {
        let Some(KeeperReply::Changes { changes, .. }) = site.news(after) else {
            continue;
        };
        let values = changes.iter().filter_map(|change| change.value.as_ref());
        let bytes: usize = values.map(|value| value.len()).sum();
        assert!(
            bytes <= LOG_BYTES + 2 * LONG_DOCUMENT,
            "after {after}: {bytes}"
        );
        assert_eq!(changes.len() as u64, 60 - after);
    }
    let far_back = site.news(1);
    assert_matches!(far_back, Some(KeeperReply::Snapshot { .. }));
}
