//! Whether the process at a server's address is the start that its entry describes.

use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::Full;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::start_doubts::StartEvidence;
use limpetferry_platform::document;
use limpetferry_platform::header;

use crate::http::Sender;
use crate::http::read_body;
use crate::lease::Lease;
use crate::relay::Job;
use crate::timeout::within;

/// Longest wait for what a server says of itself. It needs no room there.
const CHECK_WAIT: Duration = Duration::from_millis(250);
/// Longest report that is read, in bytes.
const MAX_REPORT: usize = 256 << 10;

impl Job {
    /// Returns whether its stream depends on the version of a server that is in doubt.
    pub(crate) fn needs_start_check(&self, lease: &Lease) -> bool {
        let now = self.now();
        self.is_resumable() && self.gateway.doubts().is_in_doubt(now, lease.key)
    }

    /// Asks the server at the other end of a connection which start it is.
    pub(crate) async fn check_start(&self, sender: &mut Sender, lease: &Lease) -> StartEvidence {
        let asked = self.now();
        let wait = CHECK_WAIT.min(self.left());
        let told = within(wait, ask_start(sender, &lease.server)).await;
        let evidence = told.unwrap_or(Told::Nothing).compare(lease);
        let checks = &self.gateway.meters.start_checks;
        checks.with_label_values(&[evidence.label()]).inc();
        match evidence {
            StartEvidence::Same => self.gateway.doubts().confirm(asked, lease.key),
            StartEvidence::Other => {
                let note = LogEvent::new("server_outdated").with("server", &lease.server);
                let note = note.with("version", &lease.origin.version);
                let remedy = "none: it is not used until its entry follows";
                self.gateway.note(note.with("remedy", remedy));
            }
            StartEvidence::Unknown => {}
        }
        evidence
    }
}

/// What a server said of its start.
enum Told {
    /// When it started, if it ever started again under its id.
    Start(Option<u64>),
    /// Another server has the address.
    Another,
    Nothing,
}

impl Told {
    fn compare(self, lease: &Lease) -> StartEvidence {
        match self {
            Self::Start(start) => StartEvidence::of(lease.started_at, Some(start)),
            Self::Another => StartEvidence::Other,
            Self::Nothing => StartEvidence::of(lease.started_at, None),
        }
    }
}

async fn ask_start(sender: &mut Sender, server: &str) -> Told {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = header::REPORT_PATH.parse().unwrap_or_default();
    *request.headers_mut() = header::encode_report(server);
    if sender.ready().await.is_err() {
        return Told::Nothing;
    }
    let Ok(response) = sender.send_request(request).await else {
        return Told::Nothing;
    };
    let status = response.status();
    let Ok(text) = read_body(response.into_body(), MAX_REPORT).await else {
        return Told::Nothing;
    };
    match status {
        StatusCode::MISDIRECTED_REQUEST => Told::Another,
        StatusCode::OK => document::decode_start(&text).map_or(Told::Nothing, Told::Start),
        _ => Told::Nothing,
    }
}
