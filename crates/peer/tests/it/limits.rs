use std::time::Duration;

use acacia_peer::{Bucket, Class, Filter, Queue};
use acacia_wire::control::Envelope;

/// When a third of the backend servers drains, copies of pins are requested at fifty times the
/// budget. Heartbeats must still be sent, and bulk messages must keep to the budget.
#[test]
fn bulk_keeps_to_the_budget_and_heartbeats_are_always_sent() {
    let mut bucket = Bucket::new(4_000, 16_000, Duration::ZERO);
    let mut queue = Queue::new(256, 1 << 20);
    let (mut bulk, mut heartbeats) = (0, 0);

    for tick in 0..1200u64 {
        let now = Duration::from_millis(tick * 50);
        while queue.push(Class::Bulk, vec![1; 500]) {}
        if tick % 10 == 0 {
            queue.push(Class::Heartbeat, vec![0; 100]);
        }
        while let Some(message) = queue.pop(bucket.has_room(now)) {
            bucket.charge(message.len());
            if message[0] == 1 {
                bulk += message.len()
            } else {
                heartbeats += 1
            }
        }
    }

    assert_eq!(heartbeats, 120);
    let all = bulk + heartbeats * 100;
    assert!(
        (240_000..=16_000 + 240_000 + 500).contains(&all),
        "{all} bytes in a minute"
    );
}

#[test]
fn a_large_urgent_message_delays_bulk_for_seconds_only() {
    let mut bucket = Bucket::new(4_000, 16_000, Duration::ZERO);

    bucket.charge(1_000_000);

    assert!(!bucket.has_room(Duration::from_secs(9)));
    assert!(bucket.has_room(Duration::from_secs(11)));
}

#[test]
fn a_queue_is_bounded_in_bytes_and_keeps_only_the_latest_heartbeat() {
    let mut queue = Queue::new(100, 1000);

    assert!(queue.push(Class::Bulk, vec![1; 600]));
    assert!(!queue.push(Class::Urgent, vec![2; 600]));
    assert!(queue.push(Class::Urgent, vec![2; 400]));
    assert!(queue.push(Class::Heartbeat, vec![3]) && queue.push(Class::Heartbeat, vec![4]));

    let order: Vec<u8> = std::iter::from_fn(|| queue.pop(true))
        .map(|message| message[0])
        .collect();
    assert_eq!(order, [4, 2, 1]);
    assert!(
        queue.push(Class::Bulk, vec![5; 1000]),
        "messages that were sent free their bytes"
    );
}

#[test]
fn the_filter_remembers_a_bounded_number_of_senders() {
    let mut filter = Filter::default();
    let envelope = |sender| Envelope {
        sender,
        incarnation: 1,
        sequence: 1,
    };
    (0..300).for_each(|sender| filter.accept(&envelope(sender)).expect("new"));

    assert_eq!(filter.last(0), None, "the oldest sender is forgotten");
    assert!(
        filter.accept(&envelope(299)).is_err(),
        "the latest sender is remembered"
    );
}
