//! Fake of the platform's VM list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use http_body_util::BodyExt as _;
use limpetferry_net::http::Handler;
use limpetferry_net::http::json as json_answer;
use serde_json::Value;
use serde_json::json;

/// The fake VM list; clones share their state. It changes only by [`Self::set`],
/// so that a test can simulate a stale list by calling that late.
#[derive(Clone, Default)]
pub struct StandInVms {
    vms: Arc<Mutex<BTreeMap<String, String>>>,
}

impl StandInVms {
    /// Sets the state of a VM: `live`, `leaving` or `gone`.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn set(&self, name: &str, state: &str) {
        let mut vms = self.vms.lock().expect("no panic while locked");
        if state == "gone" {
            vms.remove(name);
        } else {
            vms.insert(name.to_owned(), state.to_owned());
        }
    }

    fn list(&self) -> Value {
        let vms = self.vms.lock().expect("no panic while locked");
        let rows = vms
            .iter()
            .map(|(name, state)| json!({"name": name, "state": state}));
        Value::Array(rows.collect())
    }

    /// Returns the request handler: `GET /vms` returns the list, and `POST /vms`
    /// with `{"name", "state"}` sets the state of a VM, for manual tests.
    pub fn handler(&self) -> Handler {
        let this = self.clone();
        Arc::new(move |request| {
            let this = this.clone();
            Box::pin(async move {
                let body = request.into_body().collect().await;
                let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
                if let Ok(change) = serde_json::from_slice::<Value>(&bytes) {
                    let text = |field: &str| change[field].as_str().unwrap_or_default().to_owned();
                    this.set(&text("name"), &text("state"));
                }
                json_answer(200, &this.list())
            })
        })
    }
}
