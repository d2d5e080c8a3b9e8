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
fn the_maximum_sizes_of_documents_and_values_are_equal() {
    assert_eq!(MAX_SIZE, MAX_VALUE);
}

/// The store executes the write and its answer is lost: the change must be reported as accepted,
/// and written once.
#[tokio::test]
async fn a_write_with_a_lost_answer_is_reported_as_accepted() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.lose_writes = 1);
    let verdict = run(&client, request(1), 1).await;
    assert_eq!(verdict, Verdict::Accepted { revision: 1 });
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The answer is lost and the store goes down before the key can be read back.
#[tokio::test]
async fn an_outage_after_the_write_is_reported_as_unknown() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.lose_writes = 1);
    let outage = async {
        while stand.counts().swap == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stand.change_faults(|faults| faults.down = true);
    };
    let (verdict, ()) = tokio::join!(run(&client, request(1), 1), outage);
    let change = Id::new(1);
    assert_eq!(verdict, Verdict::Unknown { change });
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The store stops answering before anything is written, so it is certain that the change was not
/// made.
#[tokio::test]
async fn an_outage_before_the_write_is_reported_as_refused() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.silent = true);
    let verdict = run(&client, request(1), 1).await;
    let reason = Reason::Platform(Error::Timeout);
    assert_eq!(verdict, Verdict::Refused(reason));
    assert_eq!(stand.counts().swap, 0);
    stand.stop().await;
}

/// Two operators apply changes concurrently to a slow store. Either one gets a conflict, or it has
/// read the change of the other before it writes.
#[tokio::test]
async fn two_concurrent_operators_lose_no_change() {
    let stand = stand().await;
    let (one, two) = (
        client_with_long_deadline(&stand),
        client_with_long_deadline(&stand),
    );
    stand.change_faults(|faults| faults.slow_ms = 30);
    let (first, second) = tokio::join!(run(&one, request(1), 1), run(&two, request(2), 2));
    stand.change_faults(|faults| faults.slow_ms = 0);
    let entry = one.get(&KEY.into()).await.expect("an answer");
    let document = Document::decode(entry.value.as_deref().expect("a value")).expect("a document");
    for (verdict, change) in [(first, 1), (second, 2)] {
        let accepted = matches!(verdict, Verdict::Accepted { .. });
        assert_eq!(accepted, document.contains(Id::new(change)), "{verdict:?}");
    }
    assert!(document.contains(Id::new(1)) || document.contains(Id::new(2)));
    stand.stop().await;
}

/// A lagging replica answers the read with an older value. The change must not be based on it.
#[tokio::test]
async fn a_change_is_not_based_on_a_stale_value() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    run(&client, request(1), 1).await;
    run(&client, request(2), 1).await;
    stand.change_faults(|faults| faults.stale = true);
    let verdict = run(&client, request(3), 1).await;
    assert!(matches!(
        verdict,
        Verdict::Refused(Reason::Platform(Error::Stale { .. }))
    ));
    assert_eq!(stand.counts().swap, 2);
    stand.stop().await;
}
