//! Which of a gateway's connections is closed when a part of its memory is used up.

use std::time::Duration;

use crate::gateway_budget::GatewayPart;
use crate::time::Time;

/// Idle time after which a connection may be closed for a new one. Callers that use a
/// connection again do so sooner, and see its close as a broken request.
const MIN_IDLE: Duration = Duration::from_millis(150);
/// Time without a byte after which a caller counts as one that does not send or read.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Shortest wait of a caller that is refused until a stalled one is closed.
const RETRY: Duration = Duration::from_millis(500);

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// There is no request.
    #[default]
    Idle,
    /// A request's head has begun and is not whole.
    Head,
    /// A request's body is read.
    Body,
    /// A request is under way, and its caller waits.
    Work,
    /// An answer is written.
    Answer,
}

/// State of a connection of a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// What it is doing.
    pub phase: Phase,
    /// When the phase began or, for bodies and answers, when a byte last moved.
    pub since: Time,
    /// Whether it is being closed.
    pub closing: bool,
}

/// Returns the connection to close so that there is room in `part`; `None` if none of
/// them may be closed.
pub fn choose_closed<T>(
    now: Time,
    part: GatewayPart,
    connections: impl Iterator<Item = (T, Activity)>,
) -> Option<T> {
    let ranked = connections.filter_map(|(connection, activity)| {
        let rank = rank(now, part, &activity)?;
        Some((rank, activity.since, connection))
    });
    let first = ranked.min_by_key(|(rank, since, _)| (*rank, *since));
    first.map(|(.., connection)| connection)
}

/// Returns when a caller that is refused for lack of `part` finds room again.
pub fn retry_after(part: GatewayPart) -> Duration {
    match part {
        GatewayPart::Bodies | GatewayPart::Answers | GatewayPart::Connections => RETRY,
        GatewayPart::Heads | GatewayPart::Arriving | GatewayPart::Histories | GatewayPart::Logs => {
            RETRY / 2
        }
    }
}

/// Returns the order in which a connection is closed for a part, lowest first; `None` if
/// it is not.
fn rank(now: Time, part: GatewayPart, activity: &Activity) -> Option<u8> {
    let stalled = now.since(activity.since) >= MIN_STALL;
    let idle = now.since(activity.since) >= MIN_IDLE;
    if activity.closing {
        return None;
    }
    match (part, activity.phase) {
        (GatewayPart::Heads, Phase::Head) => Some(0),
        (GatewayPart::Bodies, Phase::Body) if stalled => Some(0),
        (GatewayPart::Answers, Phase::Answer) if stalled => Some(0),
        (GatewayPart::Connections, Phase::Idle) if idle => Some(0),
        (GatewayPart::Connections, Phase::Head | Phase::Body | Phase::Answer) if stalled => Some(1),
        _ => None,
    }
}
