//! Decision logic of the limpetferry scheduler: which process owns a program,
//! which calls may run, where and in what order, and what is recorded of them.
//!
//! This crate does no I/O, reads no clock and starts no threads. Each role is a
//! state machine that takes the current time and an event and returns effects as
//! data; `limpetferry-net` carries them out.

pub mod admission;
pub mod allowance;
pub mod allowance_counter;
pub mod budget;
pub mod cached;
pub mod call;
mod candidate;
pub mod chain_cache;
pub mod keeper_protocol;
mod shard_planner;
#[rustfmt::skip]
pub mod code;
mod call_end;
mod call_start;
pub mod callers;
pub mod concurrency_limit;
pub mod criteria;
pub mod dispatch_queue;
pub mod document;
pub mod effect;
pub mod entry;
pub mod events;
pub mod explain;
pub mod fair_refusal;
pub mod fleet;
pub mod handoff;
pub mod handoff_target;
mod hash;
pub mod history;
pub mod id;
pub mod idle_limit;
pub mod ledger;
pub mod load_estimator;
pub mod load_map;
pub mod load_report;
pub mod load_shed;
pub mod member;
pub mod membership;
pub mod message;
mod orders;
mod other_load;
pub mod outcome;
pub mod outlier;
pub mod overload;
mod own_history;
pub mod owner;
pub mod pace;
pub mod patch;
pub mod place;
mod place_log;
pub mod placement;
pub mod program;
mod program_requests;
pub mod queue;
pub mod rank;
pub mod rate_limiter;
pub mod regression;
mod replication;
pub mod report_schedule;
pub mod request_rates;
pub mod retry_budget;
pub mod retry_hint;
pub mod routing;
pub mod rules;
pub mod server;
mod server_messages;
pub mod server_version;
pub mod service_time;
pub mod shard_copies;
pub mod shard_map;
pub mod side;
pub mod sliding_window;
pub mod speed;
pub mod sse;
pub mod store_watch;
pub mod switches;
mod takeover;
pub mod time;
pub mod turn_admission;
pub mod turn_cost;
pub mod urgency;
pub mod workspace;
