//! The version of a server's software.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Recorded in place of a version that is not known; entries of servers should not use it.
const UNKNOWN: &str = "\u{1f}unknown";

/// Version of the software that a server runs. Two versions are equal or
/// different; they have no order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerVersion(Arc<str>);

impl ServerVersion {
    /// Creates a version from its name.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Creates the version of a server that may have started again since its entry was
    /// written. No server has it.
    pub fn unknown() -> Self {
        Self(UNKNOWN.into())
    }

    /// Returns whether it is [`Self::unknown`].
    pub fn is_unknown(&self) -> bool {
        &*self.0 == UNKNOWN
    }
}

impl fmt::Display for ServerVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
