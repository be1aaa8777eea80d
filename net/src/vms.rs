//! The platform's VM list, read over HTTP every second.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use limpetferry_lib::entry::Event;
use limpetferry_lib::member::VmState;
use serde::Deserialize;

use crate::entry_node::EntryHandle;
use crate::entry_node::listed;
use crate::http::Client;

/// Time between two readings.
const EVERY: Duration = Duration::from_secs(1);

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct Vm {
    name: String,
    state: String,
}

/// Reads the list again and again and passes it on. While it cannot be read,
/// the last reading stands.
pub async fn follow(address: SocketAddr, handle: EntryHandle) {
    let client = Client::default();
    let address = address.to_string();
    loop {
        if let Some(list) = read(&client, &address).await {
            handle.event(Event::VmList(list)).await;
        }
        smol::Timer::after(EVERY).await;
    }
}

async fn read(client: &Client, address: &str) -> Option<Vec<(String, VmState)>> {
    let request = Request::get("/vms")
        .header("host", address)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (status, body) = client.exchange(address, request, EVERY * 2).await.ok()?;
    if status != 200 {
        return None;
    }
    let vms: Vec<Vm> = serde_json::from_slice(&body).ok()?;
    Some(
        vms.into_iter()
            .map(|vm| (vm.name, listed(&vm.state)))
            .collect(),
    )
}
