//! Bounds on how long a future may take.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt as _;

/// Waits for `future`, at most for `limit`; `None` if it took longer.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expire = async {
        smol::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(expire).await
}
