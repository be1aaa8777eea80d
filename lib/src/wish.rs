//! What a request asks of the server that it is to go to.

use slotmap::new_key_type;

use crate::call::Part;

new_key_type! {
    /// Names a server among those that one process knows.
    pub struct ServerKey;
}

/// Tells to which servers there is a connection that nobody uses.
pub trait Connected {
    /// Returns whether there is one to this start of the server.
    fn has(&self, server: ServerKey) -> bool;
}

/// What the choice of a server depends on besides its load.
#[derive(Clone, Copy, Default)]
pub struct Wish<'a> {
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// The object that the request concerns.
    pub object: Option<&'a str>,
    /// Servers that were tried and are not to be tried again.
    pub tried: &'a [ServerKey],
    /// Idle connections of the chooser, if it keeps any.
    pub connected: Option<&'a dyn Connected>,
    /// Data centre of the chooser.
    pub centre: &'a str,
    /// A number from 0 up to 1 that breaks ties.
    pub draw: f64,
}
