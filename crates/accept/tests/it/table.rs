use std::{collections::BTreeSet, net::IpAddr, time::Duration};

use acacia_accept::{Activation, Limits, Table};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn limits() -> Limits {
    Limits {
        pending: 3,
        active: 2,
        pending_timeout: SECOND,
        idle_timeout: SECOND * 10,
        stalled_after: SECOND * 2,
    }
}

fn address(last: u8) -> IpAddr {
    IpAddr::from([192, 0, 2, last])
}

#[test]
fn one_address_with_many_connections_does_not_displace_another() {
    let mut table = Table::new(limits());
    let other = table.admit(address(1), Duration::ZERO);

    let displaced: Vec<_> = (0..20)
        .map(|_| table.admit(address(2), SECOND).displaced)
        .collect();

    assert!(!displaced.contains(&Some(other.id)), "{displaced:?}");
    assert_eq!(table.count(false), 3);
}

#[test]
fn an_active_connection_is_displaced_only_if_it_is_stalled() {
    let mut table = Table::new(limits());
    let ids: Vec<u64> = (0..3)
        .map(|_| table.admit(address(1), Duration::ZERO).id)
        .collect();
    table.activate(ids[0], Duration::ZERO);
    table.activate(ids[1], SECOND);

    let early = table.activate(ids[2], SECOND);
    let next = table.admit(address(1), SECOND * 2).id;
    let late = table.activate(next, SECOND * 2);

    assert_eq!(early, Activation::Refused);
    assert_eq!(late, Activation::Displaced(ids[0]));
}

#[test]
fn deadlines_start_with_the_last_valid_message() {
    let mut table = Table::new(limits());
    let id = table.admit(address(1), SECOND).id;
    assert_eq!(table.deadline(id), Some(SECOND * 2));

    table.activate(id, SECOND * 3);

    assert_eq!(table.deadline(id), Some(SECOND * 13));
    table.remove(id);
    assert_eq!(table.deadline(id), None);
}

/// An operation on a table.
#[derive(Debug, Clone)]
enum Step {
    Admit(u8),
    Activate(u64),
    Remove(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4u8).prop_map(Step::Admit),
        2 => (1..40u64).prop_map(Step::Activate),
        1 => (1..40u64).prop_map(Step::Remove),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    /// Unauthenticated hosts that open connections must never displace those of peers, which have
    /// carried a valid message.
    #[test]
    fn a_pending_connection_never_displaces_an_active_one(steps in steps()) {
        let mut table = Table::new(limits());
        let mut active = BTreeSet::new();
        for (round, step) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(round as u64 * 100);
            match step {
                Step::Admit(from) => {
                    let displaced = table.admit(address(from), now).displaced;
                    prop_assert!(displaced.is_none_or(|id| !active.contains(&id)));
                }
                Step::Activate(id) => {
                    let known = table.deadline(id).is_some();
                    match table.activate(id, now) {
                        Activation::Active => { active.insert(id); }
                        Activation::Displaced(other) => {
                            prop_assert!(active.remove(&other));
                            active.insert(id);
                        }
                        Activation::Refused => prop_assert!(!known || active.len() == limits().active),
                    }
                }
                Step::Remove(id) => {
                    table.remove(id);
                    active.remove(&id);
                }
            }
            prop_assert!(table.count(false) <= limits().pending);
            prop_assert!(table.count(true) <= limits().active);
            prop_assert_eq!(table.count(true), active.len());
        }
    }
}
