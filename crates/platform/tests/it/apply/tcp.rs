use std::time::Duration;

use acacia_config::document::{Document, Id, KEY, MAX_SIZE};
use acacia_platform::{
    Error,
    apply::{Reason, Verdict, run},
    store::MAX_VALUE,
};

use super::request;
use crate::fixture::{client, client_with_long_deadline, stand};

#[test]
fn a_document_may_be_as_large_as_a_value() {
    assert_eq!(MAX_SIZE, MAX_VALUE);
}

/// The store applies the write and its answer is lost: the change must be reported as accepted,
/// and written once.
#[tokio::test]
async fn a_lost_answer_is_settled_as_accepted() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.lose_writes = 1);
    let verdict = run(&client, request(1), 1).await;
    assert_eq!(verdict, Verdict::Accepted { revision: 1 });
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The answer is lost and the store goes down before it can be read back.
#[tokio::test]
async fn an_outage_after_the_write_is_reported_as_unknown() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.lose_writes = 1);
    let outage = async {
        while stand.counts().swap == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stand.steer(|faults| faults.down = true);
    };
    let (verdict, ()) = tokio::join!(run(&client, request(1), 1), outage);
    let change = Id::new(1);
    assert_eq!(verdict, Verdict::Unknown { change });
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The store is down before anything is written: a clear refusal, nothing in doubt.
#[tokio::test]
async fn an_outage_before_the_write_is_a_refusal() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.silent = true);
    let verdict = run(&client, request(1), 1).await;
    let reason = Reason::Platform(Error::Timeout);
    assert_eq!(verdict, Verdict::Refused(reason));
    assert_eq!(stand.counts().swap, 0);
    stand.stop().await;
}

/// Two operators apply at the same moment against a slow store. One is accepted, the other is
/// told, or it read late enough to write over the first knowingly.
#[tokio::test]
async fn two_operators_at_once_lose_no_change() {
    let stand = stand().await;
    let (one, two) = (
        client_with_long_deadline(&stand),
        client_with_long_deadline(&stand),
    );
    stand.steer(|faults| faults.slow_ms = 30);
    let (first, second) = tokio::join!(run(&one, request(1), 1), run(&two, request(2), 2));
    stand.steer(|faults| faults.slow_ms = 0);
    let entry = one.get(&KEY.into()).await.expect("an answer");
    let document = Document::decode(entry.value.as_deref().expect("a value")).expect("a document");
    for (verdict, change) in [(first, 1), (second, 2)] {
        let accepted = matches!(verdict, Verdict::Accepted { .. });
        assert_eq!(accepted, document.contains(Id::new(change)), "{verdict:?}");
    }
    assert!(document.contains(Id::new(1)) || document.contains(Id::new(2)));
    stand.stop().await;
}

/// A lagging replica answers the read with an older value. The change must not be built on it.
#[tokio::test]
async fn an_older_value_is_not_built_upon() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    run(&client, request(1), 1).await;
    run(&client, request(2), 1).await;
    stand.steer(|faults| faults.stale = true);
    let verdict = run(&client, request(3), 1).await;
    assert!(matches!(
        verdict,
        Verdict::Refused(Reason::Platform(Error::Stale { .. }))
    ));
    assert_eq!(stand.counts().swap, 2);
    stand.stop().await;
}
