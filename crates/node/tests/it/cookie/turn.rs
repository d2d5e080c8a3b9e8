use std::sync::Arc;

use acacia_node::cookie::turn::Turn;
use tokio::task;

/// A fetch panics, or is dropped before its end, and this balancer never fetches again.
#[tokio::test]
async fn a_fetch_that_panics_or_is_dropped_lets_the_next_begin() {
    let taken = Arc::default();
    let turn = Turn::take(&taken).expect("free");
    let panics = task::spawn(async move {
        let _turn = turn;
        panic!("a difference that can't be borne");
    });
    assert!(panics.await.is_err());

    let turn = Turn::take(&taken).expect("free after a panic");
    let waits = task::spawn(async move {
        let _turn = turn;
        std::future::pending::<()>().await;
    });
    waits.abort();
    assert!(waits.await.is_err());

    assert!(Turn::take(&taken).is_some(), "free after a drop");
}
