//! Decision logic of the limpetferry scheduler: which process owns a program,
//! which calls may run, where and in what order, and what is recorded of them.
//!
//! This crate does no I/O, reads no clock and starts no threads. Each role is a
//! state machine that takes the current time and an event and returns effects as
//! data; `limpetferry-net` carries them out.

pub mod admission;
pub mod allowance;
pub mod allowance_book;
pub mod ask;
mod assign;
pub mod budget;
pub mod cached;
pub mod call;
mod candidate;
pub mod chains;
#[rustfmt::skip]
pub mod code;
pub mod concurrency;
pub mod dispatch_queue;
pub mod document;
pub mod effect;
mod ending;
pub mod entry;
pub mod events;
pub mod explain;
pub mod fair_refusal;
pub mod fleet;
pub mod front;
mod guard;
pub mod handoff;
pub mod handoff_target;
mod hash;
pub mod history;
pub mod id;
pub mod idle_limit;
pub mod keeper;
mod keeping;
pub mod ledger;
pub mod load_map;
pub mod load_report;
pub mod load_shed;
pub mod member;
pub mod membership;
pub mod message;
pub mod opening;
mod others;
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
mod progress;
pub mod queue;
pub mod rank;
pub mod recent;
pub mod regression;
pub mod report_times;
pub mod request_rates;
pub mod retry_budget;
pub mod retry_hint;
pub mod routing;
pub mod rules;
pub mod server;
pub mod service_loads;
pub mod service_time;
pub mod shard;
pub mod side;
pub mod speed;
pub mod spending;
pub mod sse;
pub mod store_watch;
mod submission;
pub mod switches;
mod takeover;
pub mod time;
mod turn;
pub mod turn_cost;
pub mod urgency;
pub mod wish;
pub mod workspace;
