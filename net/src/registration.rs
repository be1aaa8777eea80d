//! How a process registers in the key-value service, and learns its boot
//! number from it.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use limpetferry_lib::id::Boot;
use limpetferry_lib::member::Node;

use crate::keys;
use crate::store::Store;
use crate::store::StoreError;

/// Life of a registration that is not renewed.
const LEASE_SECS: u64 = 1_800;
/// Time between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(600);
/// Wait before another try.
const PAUSE: Duration = Duration::from_millis(500);

/// Registers a process and keeps the registration for as long as `ended` is
/// open. The revision of the write is the process's boot number: no earlier
/// or later life of any process has the same.
///
/// The lease only tidies up after a process that never comes back; nothing
/// is concluded from it.
pub async fn register(store: Arc<dyn Store>, node: &Node, ended: Receiver<()>) -> Boot {
    let (lease, boot) = loop {
        match write(&*store, node).await {
            Ok(done) => break done,
            Err(error) => {
                log::warn!("event=register_failed why={:?}", error.to_string());
                smol::Timer::after(PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    };
    smol::spawn(keep(store, node.clone(), lease, ended)).detach();
    boot
}

async fn write(store: &dyn Store, node: &Node) -> Result<(u64, Boot), StoreError> {
    let lease = store.lease(LEASE_SECS).await?;
    let text = serde_json::to_string(node).unwrap_or_default();
    let revision = store.put(&keys::node(&node.id), &text, lease).await?;
    Ok((lease, Boot(revision)))
}

async fn keep(store: Arc<dyn Store>, node: Node, mut lease: u64, ended: Receiver<()>) {
    loop {
        let pause = RENEW_EVERY.mul_f64(rand::random_range(0.8..1.2));
        smol::Timer::after(pause).await;
        if ended.is_closed() {
            return;
        }
        // A lapsed lease took the registration along: write it again. The
        // boot number stays the one of this life.
        if let Ok(false) = store.renew(lease).await
            && let Ok((new, _)) = write(&*store, &node).await
        {
            lease = new;
        }
    }
}
