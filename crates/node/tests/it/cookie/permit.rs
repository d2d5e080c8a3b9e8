use std::sync::Arc;

use acacia_node::cookie::permit::Permit;
use tokio::task;

/// A permit that a panicking or cancelled fetch doesn't release would keep this balancer from ever
/// fetching again.
#[tokio::test]
async fn a_fetch_that_panics_or_is_cancelled_releases_its_permit() {
    let held = Arc::default();
    let permit = Permit::try_acquire(&held).expect("free");
    let panics = task::spawn(async move {
        let _permit = permit;
        panic!("a fetched difference that can't be applied");
    });
    assert!(panics.await.is_err());

    let permit = Permit::try_acquire(&held).expect("free after a panic");
    let waits = task::spawn(async move {
        let _permit = permit;
        std::future::pending::<()>().await;
    });
    waits.abort();
    assert!(waits.await.is_err());

    assert!(Permit::try_acquire(&held).is_some(), "free after a drop");
}
