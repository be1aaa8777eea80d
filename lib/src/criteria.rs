//! Criteria for the choice of a server for a request.

use slotmap::new_key_type;

use crate::call::Part;
use crate::server::Server;
use crate::stream_origin::StreamOrigin;

new_key_type! {
    /// Identifies one start of a server among those known to a process.
    pub struct ServerKey;
}

/// Tells which servers have an idle connection.
pub trait IdleConnections {
    /// Returns whether there is an idle connection to this start of the server.
    fn has(&self, server: ServerKey) -> bool;
}

/// What the choice of a server depends on besides the servers' load.
#[derive(Clone, Copy, Default)]
pub struct Criteria<'a> {
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// The object that the request concerns.
    pub object: Option<&'a str>,
    /// Servers that were tried and must not be tried again.
    pub tried: &'a [ServerKey],
    /// Servers that are chosen only if there are no others.
    pub avoided: &'a [ServerKey],
    /// Origin of the stream that the request continues, if it does.
    pub origin: Option<&'a StreamOrigin>,
    /// The gateway's idle connections, if it keeps any.
    pub idle_connections: Option<&'a dyn IdleConnections>,
    /// The gateway's data centre.
    pub centre: &'a str,
    /// A random number from 0 up to 1 that breaks ties.
    pub draw: f64,
}

impl Criteria<'_> {
    /// Returns whether a server may serve the request by its version.
    pub fn allows(&self, server: &Server) -> bool {
        self.origin.is_none_or(|origin| origin.allows(server))
    }
}
