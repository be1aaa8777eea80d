//! The version of a server's software.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Version of the software that a server runs. Two versions are equal or
/// different; they have no order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerVersion(Arc<str>);

impl ServerVersion {
    /// Creates a version from its name.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }
}

impl fmt::Display for ServerVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
