//! Processes that have no file descriptors left.

use futures_util::future::join_all;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_site::routing;
use smol::net::TcpStream;

/// Descriptors of a process, and connections that would need more.
const DESCRIPTORS: usize = 100;
const CONNECTIONS: usize = 200;

// Guards against a keeper that takes a lack of descriptors for a failed disk, and ends.
#[test]
fn a_keeper_waits_for_a_descriptor_to_write_a_file() {
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        site.process("keeper-0").limit_descriptors(DESCRIPTORS);
        let peers = site.keeper_settings(0).common.peers;
        let connecting = (0..CONNECTIONS).map(|_| TcpStream::connect(peers));
        let strangers = join_all(connecting).await;
        while site.process("keeper-0").descriptors() < DESCRIPTORS {
            smol::future::yield_now().await;
        }

        site.store.put("op/config", &routing(2));
        site.wait_for_log("keeper-0", "event=descriptors_short")
            .await;
        drop(strangers);
        site.wait_for_keeper_gauge(0, "whole", 1).await;

        assert_eq!(site.ended(), Vec::<String>::new());
        let logged = site.logged("keeper-0", "event=disk_failed");
        assert_eq!(logged, None);
    });
}
