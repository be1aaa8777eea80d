//! Sockets, files and signals around the decisions of `limpetferry-lib`:
//! bytes become events, and effects become bytes. Nothing is decided here.

pub mod answers;
pub mod backend;
pub mod callers;
pub mod clock;
pub mod copies;
pub mod entry_node;
pub mod http;
pub mod keys;
pub mod links;
pub mod log;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod registration;
pub mod settings;
pub mod side_node;
pub mod signals;
pub mod start;
pub mod status;
pub mod store;
pub mod timeout;
pub mod vms;
