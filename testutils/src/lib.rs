//! Fakes of the platform and of backend servers with fault injection, sites for
//! tests, and load generators. Nothing in this crate is part of a release.

pub mod check;
pub mod client;
pub mod endless;
pub mod engine;
pub mod experiment;
pub mod folder;
pub mod listen;
pub mod platform_server;
pub mod platform_site;
pub mod platform_store;
pub mod probe;
pub mod process;
pub mod service;
pub mod site;
pub mod sized;
pub mod soak;
mod soak_caller;
mod soak_fatal;
pub mod store;
pub mod supervisor;
pub mod template;
pub mod vms;
pub mod wire;
