//! What is told of a gateway's memory: its parts as metrics, and a line when one of them
//! is used up and when it has room again.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::gateway_budget::GatewayPart;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

use crate::log;
use crate::meters::GatewayMeters;

/// What is known of a gateway's memory.
pub struct GatewayMemory {
    node: String,
    used: IntGaugeVec,
    lacks: IntCounterVec,
    /// Parts that were logged as used up.
    full: Mutex<HashSet<GatewayPart>>,
}

impl GatewayMemory {
    /// Makes that of a gateway.
    pub fn new(node: &str, meters: &GatewayMeters) -> Arc<Self> {
        Arc::new(Self {
            node: node.to_owned(),
            used: meters.memory.clone(),
            lacks: meters.memory_lacks.clone(),
            full: Mutex::default(),
        })
    }

    /// Notes that a part is used up: something was refused, closed or has to wait. It is
    /// logged once until there is room again.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn lack(&self, part: GatewayPart) {
        self.lacks.with_label_values(&[part.label()]).inc();
        let mut full = self.full.lock().expect("no panic while locked");
        if full.insert(part) {
            let note = LogEvent::new("full").with("part", part.label());
            log::note(&self.node, &note.with("remedy", part.remedy()));
        }
    }

    /// Shows the bytes of a part, and logs that there is room again in one that was used
    /// up once less than half of its bound is used.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn show(&self, part: GatewayPart, used: u64, bound: u64) {
        let gauge = self.used.with_label_values(&[part.label()]);
        gauge.set(used as i64);
        if used >= bound / 2 {
            return;
        }
        let mut full = self.full.lock().expect("no panic while locked");
        if full.remove(&part) {
            let note = LogEvent::new("has_room").with("part", part.label());
            log::note(&self.node, &note);
        }
    }
}
