use std::time::Duration;

use acacia_platform::{
    Client, Error, Options,
    limit::Rate,
    machine::{Machine, State},
    store::{MAX_VALUE, Outcome, Refusal},
};

use crate::fixture::{client, key, options, patient, stand, swap};

#[tokio::test]
async fn a_value_is_written_read_and_compared() {
    let stand = stand().await;
    let client = patient(&stand);
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
async fn a_value_over_a_megabyte_is_refused_whole() {
    let stand = stand().await;
    let client = patient(&stand);
    let fits = client.swap(swap(0, &"x".repeat(MAX_VALUE))).await;
    let over = client.swap(swap(1, &"x".repeat(MAX_VALUE + 1))).await;
    assert_eq!(fits, Ok(Outcome::Written { revision: 1 }));
    assert_eq!(over, Err(Error::Refused(Refusal::TooLarge)));
    stand.stop().await;
}

#[tokio::test]
async fn a_watch_tells_of_a_change_and_otherwise_answers_as_a_heartbeat() {
    let stand = stand().await;
    let (watcher, writer) = (patient(&stand), patient(&stand));
    let quiet = watcher.watch(&key(), 0).await.expect("a heartbeat");
    let ((), entry) = tokio::join!(
        async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            writer.swap(swap(0, "one")).await.expect("written");
        },
        async { watcher.watch(&key(), 0).await.expect("the change") }
    );
    assert_eq!((quiet.revision, entry.revision), (0, 1));
    assert_eq!(stand.counts().watch, 2);
    assert_eq!(stand.counts().get, 0);
    stand.stop().await;
}

/// Something between a balancer and the platform forgets a connection: packets vanish, nobody is
/// told, while new connections work. An operator's change would then never arrive at this
/// balancer.
#[tokio::test]
async fn a_silent_watch_is_read_again_over_a_new_connection() {
    let stand = stand().await;
    let (watcher, writer) = (client(&stand), client(&stand));
    watcher.watch(&key(), 0).await.expect("a heartbeat");
    stand.silence_open();
    let written = writer.swap(swap(0, "lost on the way")).await;
    let retried = writer.swap(swap(0, "one")).await;
    let entry = watcher.watch(&key(), 0).await.expect("read again");
    assert_eq!(written, Ok(Outcome::Written { revision: 1 }));
    assert_eq!(retried, Ok(Outcome::Conflict { revision: 1 }));
    assert_eq!(entry.revision, 1);
    stand.stop().await;
}

/// The same failure on the connection for calls: the first write has no answer, later ones go
/// over a new connection.
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

/// The platform applies a write and its answer is lost. A writer that took this for a failure
/// and wrote again would overwrite whoever came in between.
#[tokio::test]
async fn a_lost_answer_to_a_write_is_unknown_and_not_tried_again() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.lose_writes = 1);
    let lost = client.swap(swap(0, "one")).await;
    let entry = client.get(&key()).await.expect("an answer");
    assert_eq!(lost, Err(Error::Unknown));
    assert_eq!(entry.value.as_deref(), Some("one"));
    assert_eq!(stand.counts().swap, 1);
    stand.stop().await;
}

/// The platform is down, then it is up again: reads fail in bounded time and then work.
#[tokio::test]
async fn an_outage_fails_in_bounded_tries_and_ends() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.down = true);
    let during = client.get(&key()).await;
    stand.steer(|faults| faults.down = false);
    let after = client.get(&key()).await;
    assert!(matches!(during, Err(Error::Unreachable | Error::Timeout)));
    assert!(client.calls() <= 4, "three tries and one");
    assert_eq!(after.map(|entry| entry.revision), Ok(0));
    stand.stop().await;
}

/// The platform accepts connections and never answers, as behind a dead disk.
#[tokio::test]
async fn silence_fails_in_bounded_tries() {
    let stand = stand().await;
    let client = client(&stand);
    stand.steer(|faults| faults.silent = true);
    let answer = client.get(&key()).await;
    assert_eq!(answer, Err(Error::Timeout));
    assert_eq!(stand.counts().get, 3);
    stand.stop().await;
}

/// The platform comes back from a backup or answers from a replica that lags. Taking its older
/// answer would revert what an operator was told is accepted.
#[tokio::test]
async fn an_older_answer_is_an_error_and_lowers_nothing() {
    let stand = stand().await;
    let client = patient(&stand);
    client.swap(swap(0, "one")).await.expect("written");
    client.swap(swap(1, "two")).await.expect("written");
    stand.steer(|faults| faults.stale = true);
    let stale = client.get(&key()).await;
    stand.steer(|faults| faults.stale = false);
    let entry = client.get(&key()).await.expect("an answer");
    let expected = Error::Stale {
        answered: 1,
        seen: 2,
    };
    assert_eq!(stale, Err(expected));
    assert_eq!(entry.value.as_deref(), Some("two"));
    stand.stop().await;
}

/// The platform was restored from a backup. A watcher that refused its older revisions would not
/// hear of any change until the platform has counted up again.
#[tokio::test]
async fn a_watch_gives_an_older_answer_as_it_is() {
    let stand = stand().await;
    let client = patient(&stand);
    client.swap(swap(0, "one")).await.expect("written");
    client.swap(swap(1, "two")).await.expect("written");
    stand.steer(|faults| faults.stale = true);
    let entry = client.watch(&key(), 2).await.expect("an answer");
    assert_eq!(entry.value.as_deref(), Some("one"));
    stand.stop().await;
}

/// A holder is paused beyond its lease. When it wakes it must learn that the lease is gone, and
/// the key that it protected with it.
#[tokio::test]
async fn a_lapsed_lease_takes_its_key_along() {
    let stand = stand().await;
    let client = patient(&stand);
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
    let client = patient(&stand);
    let machine = Machine {
        name: "entry-1".into(),
        address: [10, 0, 0, 1].into(),
        data_centre: "hervanta".into(),
        state: State::Leaving,
    };
    stand.set_machines(vec![machine.clone()]);
    let prompt = client.machines().await;
    stand.steer(|faults| faults.machines_late_ms = 3_600_000);
    let late = client.machines().await;
    assert_eq!(prompt, Ok(vec![machine]));
    assert_eq!(late, Ok(Vec::new()));
    stand.stop().await;
}

/// A caller loops on an error. The platform must not feel it: the client makes no more calls than
/// its limit allows and says when the next may be made.
#[tokio::test]
async fn a_caller_in_a_loop_is_held_back() {
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
