//! Where the system's values stand in the key-value service.

use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::Version;

/// Start of everything that entries watch.
pub const WATCHED: &str = "limpetferry/";
/// Start of the registrations of processes.
pub const NODES: &str = "limpetferry/nodes/";
/// Start of the shard blocks.
pub const SHARDS: &str = "limpetferry/shards/";
/// Start of the operators' documents.
pub const CONFIG: &str = "limpetferry/config/";
/// Start of the names of servers that operators drain.
pub const DRAINS: &str = "limpetferry/drains/";

/// Returns the key of a process's registration.
pub fn node(id: &NodeId) -> String {
    format!("{NODES}{id}")
}

/// Returns the key of a shard block.
pub fn block(block: u16) -> String {
    format!("{SHARDS}{block:05}")
}

/// Returns the key of an operator's document.
pub fn config(operator: &Operator) -> String {
    format!("{CONFIG}{operator}")
}

/// Returns the key of a drain.
pub fn drain(id: &NodeId) -> String {
    format!("{DRAINS}{id}")
}

/// Returns the start of an operator's audit trail, which nobody watches.
pub fn audits(operator: &Operator) -> String {
    format!("limpetferry-audit/{operator}/")
}

/// Returns the key of a line of the audit trail.
pub fn audit(operator: &Operator, version: Version) -> String {
    format!("{}{:020}", audits(operator), version.0)
}
