//! A small world around the reducers, for tests that interleave, drop, double
//! and delay what reaches them.

pub mod action;
pub mod backend;
pub mod caller;
pub mod invariant;
pub mod net;
pub mod store;
pub mod world;
