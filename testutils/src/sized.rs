//! A server whose answers are as long as the requests ask.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http_body_util::BodyExt as _;
use limpetferry_net::http::Handler;
use limpetferry_net::http::whole;

use crate::listen::any_port;
use crate::listen::listen;

/// Longest answer, in bytes.
const LONGEST: usize = 8 << 20;

/// A server that answers a request with as many bytes as the last segment of its path
/// says, until it is dropped.
pub struct SizedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Lengths of the answers that were asked for.
    asked: Arc<Mutex<Vec<usize>>>,
    _stop: async_channel::Sender<()>,
}

impl SizedServer {
    /// Returns how many answers of this length were asked for.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn asked(&self, size: usize) -> usize {
        let asked = self.asked.lock().expect("no panic while locked");
        asked.iter().filter(|one| **one == size).count()
    }
}

/// Starts a server.
///
/// # Panics
///
/// Panics if no port is free.
pub async fn start() -> SizedServer {
    let asked = Arc::<Mutex<Vec<usize>>>::default();
    let noted = asked.clone();
    let text = Bytes::from(vec![b'x'; LONGEST]);
    let handler: Handler = Arc::new(move |request| {
        let (text, noted) = (text.clone(), noted.clone());
        Box::pin(async move {
            let (head, body) = request.into_parts();
            // A request that breaks off is answered all the same.
            let _ = body.collect().await;
            let size = head.uri.path().rsplit('/').next();
            let size = size.and_then(|size| size.parse().ok()).unwrap_or(0);
            noted.lock().expect("no panic while locked").push(size);
            let mut response = Response::new(whole(text.slice(..LONGEST.min(size))));
            let headers = response.headers_mut();
            if let Some(attempt) = head.headers.get("x-attempt-id") {
                headers.insert("x-attempt-id", attempt.clone());
            }
            headers.insert("x-server-signature", HeaderValue::from_static("sized"));
            response
        })
    });
    let (address, stop) = listen(any_port(), handler).await;
    SizedServer {
        address,
        asked,
        _stop: stop,
    }
}
