//! Tells a gateway's admission of programs how loaded services are.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::load_report::ServiceLoads as _;
use limpetferry_lib::overload::Congestion;
use limpetferry_lib::time::Time;

use crate::gateway::Gateway;

/// Time between two looks at the services: what is known of them changes a few
/// times a second.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Looks at the services that programs came for, for as long as the process
/// runs.
pub async fn watch(gateway: Arc<Gateway>) {
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let now = gateway.clock.now();
        let services: Vec<Arc<str>> = {
            let Some(mut overload) = gateway.overload() else {
                return;
            };
            overload.expire(now);
            overload.services().cloned().collect()
        };
        let shares = services
            .iter()
            .filter_map(|service| look(&gateway, now, service));
        let least = shares.fold(1.0, f64::min);
        gateway.meters.admitted.set((least * 100.0).round() as i64);
    }
}

/// Looks at one service, and returns the share of its programs that begin.
fn look(gateway: &Gateway, now: Time, service: &str) -> Option<f64> {
    let estimate = gateway.loads.estimate(now, service);
    let slowdown = estimate.and_then(|estimate| {
        let known = gateway.site.known();
        known.fleet.slowdown(service, estimate.utilization())
    });
    let strain = estimate
        .zip(slowdown)
        .map(|(estimate, slowdown)| Congestion::new(&estimate, slowdown));
    let (state, changed) = gateway.overload()?.observe(now, service, strain)?;
    if changed {
        let event = if state.overloaded {
            "overload"
        } else {
            "overload_over"
        };
        let note = LogEvent::new(event)
            .with("service", service)
            .with("share", format!("{:.2}", state.admitted))
            .with("load", format!("{:.2}", state.load))
            .with("lost", format!("{:.2}", state.lost_share));
        gateway.note(match estimate.zip(slowdown) {
            Some((estimate, slowdown)) => note
                .with("slowdown_ms", slowdown.as_millis())
                .with("wait_ms", estimate.wait().as_millis())
                .with("utilization", format!("{:.2}", estimate.utilization()))
                .with("age_ms", estimate.age.as_millis()),
            None => note.with("known", false),
        });
    }
    Some(state.admitted)
}
