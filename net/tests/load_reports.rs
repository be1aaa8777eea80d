//! Reports of load over real links, to keepers that fail or are of an earlier
//! release.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::id::Boot;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::load_report::LoadSummary;
use limpetferry_lib::load_report::ServiceLoad;
use limpetferry_lib::load_report::ServiceLoads as _;
use limpetferry_lib::membership::Keeper;
use limpetferry_lib::membership::MemberState;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::switches::Switches;
use limpetferry_lib::workspace::KeyDigester;
use limpetferry_net::clock::Clock;
use limpetferry_net::load_reporter::LoadReporter;
use limpetferry_net::load_reports::LoadReports;
use limpetferry_net::peer;
use limpetferry_net::peer::Hello;
use limpetferry_net::peer::LinkError;
use limpetferry_net::replicas::Replicas;
use limpetferry_net::site::Site;
use limpetferry_net::strangers::Strangers;
use limpetferry_net::timeout::within;
use limpetferry_testutils::platform_site::PlatformSite;
use smol::net::TcpListener;

/// Longest wait for what has to come; a test that needs more has failed.
const LONG: Duration = Duration::from_secs(30);
/// Time between looks.
const LOOK: Duration = Duration::from_millis(10);

fn hello(name: &str) -> Hello {
    Hello::new(NodeId::new(name), Boot(1), Digest::of(b"key"))
}

/// A keeper that answers each report alike. It ends with its task.
struct FakeKeeper {
    member: Keeper,
    asked: Arc<AtomicUsize>,
    task: smol::Task<()>,
}

impl FakeKeeper {
    /// Starts a keeper of a release that says that so many `reporters` have so
    /// many requests `running`.
    async fn start(hello: Hello, reporters: u32, running: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let member = Keeper {
            node: hello.node.as_str().into(),
            address: listener.local_addr().expect("a bound listener has one"),
            standing: MemberState::Member,
            ready: true,
        };
        let summary = LoadSummary {
            reporters,
            services: vec![ServiceLoad {
                service: "engine".into(),
                running,
                queued: 0,
                rate: 0.0,
                shed_rate: 0.0,
                growth: 0.0,
            }],
            ..LoadSummary::default()
        };
        let asked = Arc::new(AtomicUsize::new(0));
        let task = smol::spawn(serve(listener, hello, summary, asked.clone()));
        Self {
            member,
            asked,
            task,
        }
    }

    fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }
}

async fn serve(listener: TcpListener, hello: Hello, summary: LoadSummary, asked: Arc<AtomicUsize>) {
    let strangers = Strangers::new(peer::MAX_STRANGERS);
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(link) = peer::accept(stream, &hello, peer::WINDOW, &strangers).await else {
            continue;
        };
        let (sender, outgoing) = async_channel::unbounded();
        let (incoming, questions) = async_channel::unbounded();
        let answering = async {
            while let Ok(message) = questions.recv().await {
                if let KeeperMessage::Ask(ticket, KeeperRequest::Load(_)) = message {
                    asked.fetch_add(1, Ordering::Relaxed);
                    let reply = KeeperReply::Loads(summary.clone());
                    let _ = sender.try_send(KeeperMessage::Tell(ticket, reply));
                }
            }
            LinkError::Closed
        };
        let running = link.run(outgoing, &incoming, |message: KeeperMessage| message);
        futures_lite::future::or(running, answering).await;
    }
}

/// A gateway's reporter before one server.
struct Gateway {
    loads: Arc<LoadReports>,
    clock: Clock,
    _task: smol::Task<()>,
}

impl Gateway {
    fn start(keepers: &[&FakeKeeper]) -> Self {
        let clock = Clock::default();
        let (changed, _changes) = async_channel::bounded(1);
        let site = Site::new("gateway", clock, KeyDigester::new(b"key"), changed);
        site.known().fleet.put(Server {
            id: "server".into(),
            started_at: None,
            service: "engine".into(),
            version: ServerVersion::new("v1"),
            address: ([127, 0, 0, 1], 9).into(),
            centre: "here".into(),
            slots: 16,
            state: ServerState::Ready,
        });
        let membership = Membership {
            epoch: 1,
            open: true,
            keepers: keepers.iter().map(|keeper| keeper.member.clone()).collect(),
            ..Membership::default()
        };
        let replicas = Replicas::new(hello("gateway"), clock);
        replicas.dial(&membership);
        site.take_keepers(membership, 1);
        let loads = LoadReports::new();
        let settled = GatewayState {
            node: "gateway".into(),
            centre: "here".into(),
            address: None,
            link_mbps: 0,
            cpu_milli: 0,
            late_ms: 0,
            requests: 0,
        };
        let reporter = LoadReporter::new(loads.clone(), site, replicas, clock, settled);
        Self {
            loads,
            clock,
            _task: smol::spawn(reporter.follow()),
        }
    }

    /// Returns how many requests it believes to be under way.
    fn running(&self) -> Option<f64> {
        let estimate = self.loads.estimate(self.clock.now(), "engine");
        estimate.map(|estimate| estimate.running)
    }
}

async fn wait_until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            smol::Timer::after(LOOK).await;
        }
    };
    within(LONG, wait).await.expect("it comes about in time");
}

#[test]
fn load_is_known_from_the_other_keeper_once_one_is_lost() {
    smol::block_on(async {
        // The first one knows more, so that it is believed while it is there.
        let lost = FakeKeeper::start(hello("keeper-1"), 20, 11).await;
        let other = FakeKeeper::start(hello("keeper-2"), 10, 22).await;
        let gateway = Gateway::start(&[&lost, &other]);
        wait_until(|| gateway.running() == Some(11.0)).await;

        drop(lost.task);

        wait_until(|| gateway.running() == Some(22.0)).await;
    });
}

#[test]
fn load_is_not_known_once_all_keepers_are_lost() {
    smol::block_on(async {
        let lost = FakeKeeper::start(hello("keeper-1"), 20, 11).await;
        let gateway = Gateway::start(&[&lost]);
        wait_until(|| gateway.running() == Some(11.0)).await;

        drop(lost.task);

        wait_until(|| gateway.running().is_none()).await;
    });
}

#[test]
fn a_keeper_of_an_earlier_release_is_sent_no_report() {
    smol::block_on(async {
        let earlier = Hello {
            dialect: 1,
            ..hello("keeper-1")
        };
        let earlier = FakeKeeper::start(earlier, 20, 11).await;
        let present = FakeKeeper::start(hello("keeper-2"), 10, 22).await;

        let gateway = Gateway::start(&[&earlier, &present]);
        wait_until(|| present.asked() > 2).await;

        wait_until(|| gateway.running() == Some(22.0)).await;
        assert_eq!(earlier.asked(), 0);
    });
}

#[test]
fn gateways_of_a_site_know_its_load_once_they_are_told_to_report() {
    smol::block_on(async {
        let reports = Switches {
            reports: true,
            ..Switches::default()
        };

        let site = PlatformSite::start_switched(2, 3, 1, reports).await;

        // Two engines of eight slots each.
        let line = "event=load service=engine slots=16";
        site.wait_for_log("gateway-0", line).await;
        site.wait_for_log("gateway-1", line).await;
    });
}

#[test]
fn gateways_that_are_not_told_to_report_do_not() {
    smol::block_on(async {
        let site = PlatformSite::start(1, 3, 1).await;

        site.wait_for_log("gateway-0", "event=summary").await;

        assert_eq!(site.logged("gateway-0", "event=load"), None);
    });
}
