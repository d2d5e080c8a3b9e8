use std::time::Duration;

use acacia_catalog::member::{MEMBER_TIMEOUT, Member, MemberList};

use crate::fixture::member;

/// A balancer that has died is still named in messages of those that have not noticed. Each such
/// word would keep it on the list for good, and news would be sent to nobody.
#[test]
fn a_word_that_was_heard_before_keeps_nobody_on_the_list() {
    let mut list = MemberList::default();
    list.merge(member(1, "a"), Duration::ZERO);
    list.merge(member(1, "a"), MEMBER_TIMEOUT);

    let expired = list.expire(MEMBER_TIMEOUT + Duration::from_millis(1));

    assert_eq!(expired, [member(1, "a")]);
    assert!(list.is_empty());
}

#[test]
fn a_new_life_counts_as_heard_whatever_its_beat() {
    let mut list = MemberList::default();
    let old = Member {
        beat: 90,
        ..member(1, "a")
    };
    let born = Member {
        incarnation: 2,
        beat: 0,
        ..member(1, "a")
    };
    list.merge(old, Duration::ZERO);

    list.merge(born.clone(), MEMBER_TIMEOUT);

    assert_eq!(list.expire(MEMBER_TIMEOUT + Duration::from_millis(1)), []);
    assert_eq!(list.iter().collect::<Vec<_>>(), [&born]);
}
