use std::time::Duration;

use acacia_member::{Group, Hint, MAX_GROUP, Phase, Refusal, Settings, State};

use rstest::rstest;

use crate::net::{Net, contact, hint};

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::new(5)]
#[case::restarted(4)]
fn a_new_balancer_learns_of_members_that_its_list_lacks(#[case] new: u16) {
    let mut net = Net::settled(4, 1);
    net.start(new, 9, &[hint(new), hint(2)]);

    net.run(SECOND / 2);

    for id in (1..=4).filter(|id| *id != new) {
        assert_eq!(net.state(new, id), Some(State::Ready));
        assert_eq!(net.state(id, new), Some(State::Joining));
        assert!(
            net.is_sure(id),
            "a new balancer doesn't make the others unsure"
        );
    }
    assert!(!net.is_sure(new), "it may not know all members yet");
    net.run(SECOND * 2);
    assert!(net.is_sure(new));
}

#[test]
fn a_single_balancer_is_sure_of_its_view() {
    let mut net = Net::empty(1);
    net.start(1, 1, &[hint(1)]);

    net.run(SECOND * 3);

    assert!(net.is_sure(1));
}

#[test]
fn a_leaving_member_that_falls_silent_is_dead_after_the_freshness_timeout() {
    let mut net = Net::settled(3, 1);
    net.node(3).group.set_phase(Phase::Leaving);
    net.run(SECOND);
    assert_eq!(net.state(1, 3), Some(State::Leaving));
    net.nodes.remove(&3);

    net.run(Settings::default().freshness_timeout(2) + SECOND / 10);

    assert_eq!(net.state(1, 3), Some(State::Dead));
    assert!(net.is_sure(1));
}

/// The platform's list lags and may lack a healthy balancer. If it overrode heartbeats, a late list
/// would take balancers out of service.
#[test]
fn a_member_missing_from_the_platforms_list_is_dead_only_once_unheard() {
    let mut net = Net::settled(3, 1);
    let now = net.now;
    net.node(1).group.hint(now, &[hint(1), hint(2)]);
    net.run(SECOND);
    assert_eq!(net.state(1, 3), Some(State::Ready));
    net.nodes.remove(&3);

    net.run(Settings::default().freshness_timeout(2) + SECOND / 10);

    assert_eq!(
        net.state(1, 3),
        Some(State::Dead),
        "no longer listed, and unheard"
    );
    assert_eq!(
        net.state(2, 3),
        Some(State::Unheard),
        "unheard, but not known to be gone"
    );
}

#[test]
fn a_change_with_prompt_answers_settles_within_half_an_interval() {
    let mut net = Net::settled(8, 1);
    net.run(SECOND / 5);
    let now = net.now;
    let mark = net.node(1).group.mark(now);
    net.node(1).group.request_prompt_answers();

    net.run(Settings::default().interval / 2);

    let now = net.now;
    assert!(net.node(1).group.is_settled(&mark, now));
}

#[test]
fn heartbeats_with_its_own_id_or_beyond_the_group_limit_are_refused() {
    let net = Net::settled(2, 1);
    let heartbeat = net.delivered[0].heartbeat.clone();
    let now = net.now;
    let mut group = Group::new(Settings::default(), contact(1), 1, now);
    let hints: Vec<Hint> = (1..=MAX_GROUP as u16).map(hint).collect();
    group.hint(now, &hints);

    assert_eq!(group.receive(now, 1, 1, &heartbeat), Err(Refusal::Own));
    assert_eq!(group.receive(now, 999, 1, &heartbeat), Err(Refusal::Full));
}

#[test]
fn dead_members_are_forgotten_after_the_retention_time() {
    let mut net = Net::settled(2, 1);
    net.nodes.remove(&2);
    net.run(SECOND * 10);
    assert_eq!(net.state(1, 2), Some(State::Dead));
    let now = net.now;
    net.node(1).group.hint(now, &[hint(1)]);

    net.run(Settings::default().dead_retention);

    assert_eq!(net.state(1, 2), None);
    let last = net
        .delivered
        .iter()
        .rfind(|frame| frame.from == 2)
        .cloned()
        .expect("heard");
    let now = net.now;
    let group = &mut net.node(1).group;
    group
        .receive(now, 2, last.incarnation, &last.heartbeat)
        .expect("accepted: the record was dropped");
    assert_eq!(
        net.state(1, 2),
        Some(State::Unheard),
        "a replayed heartbeat is no proof of life"
    );
}
