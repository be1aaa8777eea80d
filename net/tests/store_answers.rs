//! Answers of the platform's store that have no end.

use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_store::PlatformFaults;

/// Memory of a gateway of the smallest deployments, in bytes.
const MEMORY: u64 = 88 << 20;

// Guards against processes whose memory a list without an end uses up, all at once.
#[test]
fn a_list_without_an_end_is_given_up() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        let faults = PlatformFaults {
            endless_pages: true,
            ..PlatformFaults::default()
        };

        site.store.set_faults(faults);
        site.store.compact();
        site.wait_until(|site| !site.logged_anywhere("event=store_lost").is_empty())
            .await;
        site.store.set_faults(PlatformFaults::default());
        site.wait_until(|site| !site.logged_anywhere("event=store_regained").is_empty())
            .await;

        let answer = site.send(0, "GET", "/read/1", &[], "").await;
        assert_eq!(answer.expect("an answer").status, 200);
        for node in ["keeper-0", "keeper-1", "keeper-2", "gateway-0"] {
            let peak = site.process(node).peak_memory();
            assert!(peak < MEMORY, "{node}: {} kB", peak >> 10);
        }
    });
}
