//! A deterministic simulation around the reducers. Tests use it to reorder,
//! drop, duplicate and delay the reducers' inputs.

pub mod action;
pub mod backend;
pub mod caller;
pub mod invariant;
pub mod net;
pub mod store;
pub mod world;
