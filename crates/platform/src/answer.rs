//! Waits for the answer to a call while polling the connection that carries it.

use std::pin::pin;

/// Polls `call` and `connection` until `call` has ended, and returns its output. If both are ready
/// at the same time, the output of `call` is returned. If the connection ends first, `call` is
/// polled on, so that it reports the failure itself.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let answer = acacia_platform::answer::wait_for(async { 7 }, async {}).await;
/// assert_eq!(answer, 7);
/// # }
/// ```
pub async fn wait_for<T>(call: impl Future<Output = T>, connection: impl Future) -> T {
    let mut call = pin!(call);
    tokio::select! {
        biased;
        answer = &mut call => answer,
        _ = connection => call.await,
    }
}
