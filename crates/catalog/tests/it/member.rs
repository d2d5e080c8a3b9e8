use std::time::Duration;

use acacia_catalog::member::{MEMBER_TIMEOUT, Member, Members};

use crate::fixture::member;

/// A failed balancer is still in the messages of peers that have not noticed. If each of these
/// counted as a sign of life, it would stay on the list forever, and changes would be sent to it in
/// vain.
#[test]
fn a_repeated_beat_does_not_keep_a_member_on_the_list() {
    let mut list = Members::default();
    list.merge(member(1, "a"), Duration::ZERO);
    list.merge(member(1, "a"), MEMBER_TIMEOUT);

    let expired = list.expire(MEMBER_TIMEOUT + Duration::from_millis(1));

    assert_eq!(expired, [member(1, "a")]);
    assert!(list.is_empty());
}

#[test]
fn a_new_incarnation_counts_as_alive_whatever_its_beat() {
    let mut list = Members::default();
    let old = Member {
        beat: 90,
        ..member(1, "a")
    };
    let restarted = Member {
        incarnation: 2,
        beat: 0,
        ..member(1, "a")
    };
    list.merge(old, Duration::ZERO);

    list.merge(restarted.clone(), MEMBER_TIMEOUT);

    assert_eq!(list.expire(MEMBER_TIMEOUT + Duration::from_millis(1)), []);
    assert_eq!(list.iter().collect::<Vec<_>>(), [&restarted]);
}
