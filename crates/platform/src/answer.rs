//! Waits for the answer to one call on a connection that is served in the same task.

use std::pin::pin;

/// Gives how `call` ends, while `connection` carries it. An answer that has come counts, though the
/// connection ends in the same moment; one that has not ends as the call itself says.
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
