use std::time::Duration;

use acacia_platform::{
    Client, Error, Options,
    limit::Rate,
    machine::{Machine, State},
    store::{MAX_VALUE, Outcome, Refusal},
};

use crate::fixture::{client, client_with_long_deadline, key, options, stand, swap};

#[tokio::test]
async fn a_value_is_written_only_over_the_expected_revision() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    let written = client.swap(swap(0, "one")).await;
    let refused = client.swap(swap(0, "two")).await;
    let entry = client.get(&key()).await.expect("an answer");
    assert_eq!(written, Ok(Outcome::Written { revision: 1 }));
    assert_eq!(refused, Ok(Outcome::Conflict { revision: 1 }));
    assert_eq!(entry.value.as_deref(), Some("one"));
    assert_eq!(client.calls(), 3);
    assert_eq!(stand.counts().total(), 3);
    stand.stop().await;
}

#[tokio::test]
async fn a_value_over_the_maximum_size_is_refused() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    let fits = client.swap(swap(0, &"x".repeat(MAX_VALUE))).await;
    let over = client.swap(swap(1, &"x".repeat(MAX_VALUE + 1))).await;
    assert_eq!(fits, Ok(Outcome::Written { revision: 1 }));
    assert_eq!(over, Err(Error::Refused(Refusal::TooLarge)));
    stand.stop().await;
}

#[tokio::test]
async fn a_watch_returns_a_change_and_otherwise_answers_at_the_end_of_its_wait() {
    let stand = stand().await;
    let (watcher, writer) = (
        client_with_long_deadline(&stand),
        client_with_long_deadline(&stand),
    );
    let unchanged = watcher.watch(&key(), 0).await.expect("an answer");
    let ((), entry) = tokio::join!(
        async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            writer.swap(swap(0, "one")).await.expect("written");
        },
        async { watcher.watch(&key(), 0).await.expect("the change") }
    );
    assert_eq!((unchanged.revision, entry.revision), (0, 1));
    assert_eq!(stand.counts().watch, 2);
    assert_eq!(stand.counts().get, 0);
    stand.stop().await;
}

/// A middlebox between a balancer and the platform drops its state of a connection: packets are
/// lost without an error, while new connections work. Without a read after the watch, an
/// operator's change would never reach this balancer.
#[tokio::test]
async fn an_unanswered_watch_is_followed_by_a_read_over_another_connection() {
    let stand = stand().await;
    let (watcher, writer) = (client(&stand), client(&stand));
    watcher.watch(&key(), 0).await.expect("an answer");
    stand.silence_open();
    let written = writer.swap(swap(0, "lost on the way")).await;
    let retried = writer.swap(swap(0, "one")).await;
    let entry = watcher.watch(&key(), 0).await.expect("a read");
    assert_eq!(written, Ok(Outcome::Written { revision: 1 }));
    assert_eq!(retried, Ok(Outcome::Conflict { revision: 1 }));
    assert_eq!(entry.revision, 1);
    stand.stop().await;
}

/// The same failure on the connection for calls: the first write is not answered, and the next one
/// uses a new connection.
#[tokio::test]
async fn a_connection_that_went_silent_is_replaced() {
    let stand = stand().await;
    let client = client(&stand);
    client.get(&key()).await.expect("connected");
    stand.silence_open();
    let lost = client.swap(swap(0, "one")).await;
    let next = client.swap(swap(0, "one")).await;
    assert_eq!(lost, Err(Error::Unknown));
    assert_eq!(next, Ok(Outcome::Written { revision: 1 }));
    stand.stop().await;
}

/// The platform applies a write and the answer is lost. A writer that treated this as a failure and
/// wrote again would overwrite the writes made in between.
#[tokio::test]
async fn a_write_with_a_lost_answer_is_unknown_and_not_retried() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.lose_writes = 1);
    let lost = client.swap(swap(0, "one")).await;
    let entry = client.get(&key()).await.expect("an answer");
    assert_eq!(lost, Err(Error::Unknown));
    assert_eq!(entry.value.as_deref(), Some("one"));
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The platform goes down and comes up again: reads fail after a bounded number of attempts, and
/// then succeed.
#[tokio::test]
async fn reads_fail_after_bounded_attempts_and_succeed_after_the_outage() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.down = true);
    let during = client.get(&key()).await;
    stand.change_faults(|faults| faults.down = false);
    let after = client.get(&key()).await;
    assert!(matches!(during, Err(Error::Unreachable | Error::Timeout)));
    assert!(
        client.calls() <= 4,
        "at most three attempts in the outage and one after it"
    );
    assert_eq!(after.map(|entry| entry.revision), Ok(0));
    stand.stop().await;
}

/// The platform accepts connections and never answers, as with a failed disk.
#[tokio::test]
async fn reads_of_a_silent_platform_fail_after_bounded_attempts() {
    let stand = stand().await;
    let client = client(&stand);
    stand.change_faults(|faults| faults.silent = true);
    let answer = client.get(&key()).await;
    assert_eq!(answer, Err(Error::Timeout));
    assert_eq!(stand.counts().get, 3);
    stand.stop().await;
}

/// The platform was restored from a backup, or a lagging replica answers. Using the older answer
/// would revert a change that was reported to an operator as accepted.
#[tokio::test]
async fn a_stale_answer_is_an_error_and_does_not_lower_the_highest_revision() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    client.swap(swap(0, "one")).await.expect("written");
    client.swap(swap(1, "two")).await.expect("written");
    stand.change_faults(|faults| faults.stale = true);
    let stale = client.get(&key()).await;
    stand.change_faults(|faults| faults.stale = false);
    let entry = client.get(&key()).await.expect("an answer");
    let expected = Error::Stale {
        answered: 1,
        seen: 2,
    };
    assert_eq!(stale, Err(expected));
    assert_eq!(entry.value.as_deref(), Some("two"));
    stand.stop().await;
}

/// The platform was restored from a backup. A watcher that rejected older revisions would miss
/// every change until the platform's revisions reach the previous ones again.
#[tokio::test]
async fn a_watch_returns_a_stale_answer() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    client.swap(swap(0, "one")).await.expect("written");
    client.swap(swap(1, "two")).await.expect("written");
    stand.change_faults(|faults| faults.stale = true);
    let entry = client.watch(&key(), 2).await.expect("an answer");
    assert_eq!(entry.value.as_deref(), Some("one"));
    stand.stop().await;
}

/// The holder of a lease is suspended until after the lease has expired. When it resumes, it must
/// find that the lease and the key bound to it no longer exist.
#[tokio::test]
async fn an_expired_lease_is_refused_and_its_key_removed() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    let lease = client
        .grant(Duration::from_secs(60))
        .await
        .expect("a lease");
    let mut bound = swap(0, "held");
    bound.lease = Some(lease);
    client.swap(bound.clone()).await.expect("written");
    client.keep_alive(lease).await.expect("alive");
    stand.lapse_leases();
    let kept = client.keep_alive(lease).await;
    let entry = client.get(&key()).await.expect("an answer");
    bound.expected = entry.revision;
    let rewritten = client.swap(bound).await;
    assert_eq!(kept, Err(Error::Refused(Refusal::LeaseGone)));
    assert_eq!((entry.value, entry.revision), (None, 2));
    assert_eq!(rewritten, Err(Error::Refused(Refusal::LeaseGone)));
    stand.stop().await;
}

#[tokio::test]
async fn the_list_of_machines_can_lag() {
    let stand = stand().await;
    let client = client_with_long_deadline(&stand);
    let machine = Machine {
        name: "entry-1".into(),
        address: [10, 0, 0, 1].into(),
        data_centre: "hervanta".into(),
        state: State::Leaving,
    };
    stand.set_machines(vec![machine.clone()]);
    let prompt = client.machines().await;
    stand.change_faults(|faults| faults.machines_late_ms = 3_600_000);
    let late = client.machines().await;
    assert_eq!(prompt, Ok(vec![machine]));
    assert_eq!(late, Ok(Vec::new()));
    stand.stop().await;
}

/// A caller loops on an error. To protect the platform, the client makes no more calls than its
/// limit allows and returns an error for the others.
#[tokio::test]
async fn calls_in_a_loop_are_rate_limited() {
    let stand = stand().await;
    let rate = Rate {
        per_second: 0.001,
        burst: 3.0,
    };
    let client = Client::new(stand.address(), Options { rate, ..options() });
    let mut limited = 0;
    for _ in 0..50 {
        let answer = client.machines().await;
        limited += u32::from(matches!(answer, Err(Error::Limited { .. })));
    }
    assert_eq!(limited, 47);
    assert_eq!(stand.counts().total(), 3);
    client.close().await;
    stand.stop().await;
}
