//! Bounds on the memory of one gateway.

/// Part of a gateway's memory for connections of callers: their buffers and the state of
/// the request that is under way on each. What is not given here is for code, stacks, the
/// routing document, the list of servers and free space between allocations.
const CONNECTION_SHARE: f64 = 0.42;
/// Part of the memory for request heads that are not whole.
const HEAD_SHARE: f64 = 0.04;
/// Part of the memory for request bodies.
const BODY_SHARE: f64 = 0.12;
/// Part of the memory for answers that were read from servers and not written to callers.
const ANSWER_SHARE: f64 = 0.13;
/// Part of the memory for bytes that have arrived from servers, keepers, other gateways
/// and the platform's store and were not handled.
const ARRIVING_SHARE: f64 = 0.08;
/// Part of the memory for histories of programs that are kept for their next turns.
const HISTORY_SHARE: f64 = 0.10;
/// Most memory for these histories, in bytes: some 600 programs, which last some four
/// seconds each.
const MAX_HISTORIES: u64 = 16 << 20;
/// Part of the memory for log lines that are not written.
const LOG_SHARE: f64 = 0.02;
/// Memory of one connection with a request under way and the connection to its server, in
/// bytes, without the request's body and its answer.
pub const CONNECTION_BYTES: u64 = 64 << 10;
/// Part of the memory for bodies or answers that one of them may have, as a divisor.
const SINGLE_DIVISOR: u64 = 2;
/// Least memory that a gateway can work with, in bytes.
pub const MIN_MEMORY: u64 = 48 << 20;

/// A part of a gateway's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayPart {
    /// Connections of callers.
    Connections,
    /// Request heads that are not whole.
    Heads,
    /// Request bodies.
    Bodies,
    /// Answers that were not written to callers.
    Answers,
    /// Bytes from servers, keepers, other gateways and the platform's store.
    Arriving,
    /// Histories of programs that are kept for their next turns.
    Histories,
    /// Log lines that are not written.
    Logs,
}

impl GatewayPart {
    /// All parts.
    pub const ALL: [Self; 7] = [
        Self::Connections,
        Self::Heads,
        Self::Bodies,
        Self::Answers,
        Self::Arriving,
        Self::Histories,
        Self::Logs,
    ];

    /// Returns its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Answers => "answers",
            Self::Arriving => "arriving",
            Self::Histories => "histories",
            Self::Logs => "logs",
        }
    }

    /// Returns what remedies a lack of it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Connections | Self::Bodies | Self::Histories => "raise memory_mb or add gateways",
            Self::Heads => "find the callers that send heads slowly",
            Self::Answers => "find the callers that do not read their answers",
            Self::Arriving => "find the server that sends long answers or add gateways",
            Self::Logs => "give the log file a faster disk",
        }
    }
}

/// Bounds on what one gateway uses, in bytes where nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayBudget {
    /// Connections of callers at once.
    pub connections: usize,
    /// Memory for request heads that are not whole.
    pub heads: u64,
    /// Memory for request bodies.
    pub bodies: u64,
    /// Memory for answers that were not written to callers.
    pub answers: u64,
    /// Memory for bytes from servers, keepers, other gateways and the platform's store.
    pub arriving: u64,
    /// Memory for histories of programs that are kept for their next turns.
    pub histories: u64,
    /// Memory for log lines that are not written.
    pub logs: u64,
}

impl GatewayBudget {
    /// Divides the memory of a gateway, in bytes.
    pub fn new(memory: u64) -> Self {
        Self {
            connections: (part(memory, CONNECTION_SHARE) / CONNECTION_BYTES) as usize,
            heads: part(memory, HEAD_SHARE),
            bodies: part(memory, BODY_SHARE),
            answers: part(memory, ANSWER_SHARE),
            arriving: part(memory, ARRIVING_SHARE),
            histories: part(memory, HISTORY_SHARE).min(MAX_HISTORIES),
            logs: part(memory, LOG_SHARE),
        }
    }

    /// Lowers the bounds to what the settings allow: connections, and bytes of bodies.
    #[must_use]
    pub fn limited(mut self, connections: Option<usize>, bodies: Option<u64>) -> Self {
        self.connections = connections.map_or(self.connections, |most| most.min(self.connections));
        self.bodies = bodies.map_or(self.bodies, |most| most.min(self.bodies));
        self
    }

    /// Returns the bound on a part, in bytes.
    pub fn bytes(&self, of: GatewayPart) -> u64 {
        match of {
            GatewayPart::Connections => self.connections as u64 * CONNECTION_BYTES,
            GatewayPart::Heads => self.heads,
            GatewayPart::Bodies => self.bodies,
            GatewayPart::Answers => self.answers,
            GatewayPart::Arriving => self.arriving,
            GatewayPart::Histories => self.histories,
            GatewayPart::Logs => self.logs,
        }
    }

    /// Returns the most bytes that one answer, or the kept output of one stream, may have.
    pub fn answer(&self) -> u64 {
        self.answers / SINGLE_DIVISOR
    }
}

fn part(whole: u64, share: f64) -> u64 {
    (whole as f64 * share) as u64
}
