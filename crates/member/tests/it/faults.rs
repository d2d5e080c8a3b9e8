use std::time::Duration;

use acacia_member::{Cause, Event, Member, Phase, Settings, State};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::net::{Net, STEP, hint};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xACAC1A),
        ..ProptestConfig::default()
    }
}

/// Time until a stopped member is dead in all views: the death timeout, one interval to ask the
/// others, and one for the last heartbeat.
fn death_deadline(size: u16) -> Duration {
    let settings = Settings::default();
    let peers = usize::from(size) - 1;
    settings.death_timeout(peers) + settings.interval_for(peers) * 2
}

fn all_agree(net: &Net, size: u16) {
    for viewer in 1..=size {
        for id in (1..=size).filter(|id| *id != viewer) {
            assert_eq!(
                net.state(viewer, id),
                Some(State::Ready),
                "{viewer} sees {id}"
            );
        }
        assert!(net.is_sure(viewer), "{viewer} is sure");
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// The network loses and delays heartbeats. If a live member were declared dead, its flows would
    /// move away from a balancer that still serves them.
    #[test]
    fn a_live_member_is_not_declared_dead(
        seed: u64, size in 2u16..10, loss in 0.0..0.2, delay in 0u64..400,
    ) {
        let mut net = Net::settled(size, seed);
        net.loss = loss;
        net.delay = Duration::from_millis(delay);
        net.run_checked(Duration::from_secs(40), |net| {
            for viewer in 1..=size {
                assert!(net.view(viewer).members.iter().all(|m| m.state != State::Dead));
            }
        });
    }

    /// A balancer's VM stops. Packets that are redirected to it are lost until the others declare it
    /// dead.
    #[test]
    fn a_dead_member_is_declared_dead_within_the_bound(
        seed: u64, size in 2u16..10, loss in 0.0..0.1,
    ) {
        let mut net = Net::settled(size, seed);
        net.loss = loss;
        net.nodes.remove(&size);
        net.run(death_deadline(size));
        for viewer in 1..size {
            prop_assert_eq!(net.state(viewer, size), Some(State::Dead));
        }
        net.loss = 0.0;
        net.run(Duration::from_secs(1));
        for viewer in 1..size {
            prop_assert!(net.is_sure(viewer), "a dead member doesn't keep the others unsure");
        }
    }

    /// A VM is suspended and resumed. Its peers may have moved its flows in the meantime, so its own
    /// state is stale, and the heartbeats that waited in its socket are no proof of life.
    #[test]
    fn a_suspended_member_rejoins_with_a_new_incarnation(
        seed: u64, size in 2u16..8, millis in 2200u64..20_000,
    ) {
        let mut net = Net::settled(size, seed);
        let before = net.node(1).group.incarnation();
        let now = net.now;
        let mark = net.node(1).group.mark(now);
        net.suspend(1, Duration::from_millis(millis));
        net.run(Duration::from_millis(millis) - STEP);
        prop_assert!(!net.is_sure(1), "from the first packet on, before its control thread has run");
        net.run(STEP);
        let trusted = |member: &Member| member.state.is_heard() || member.acknowledged > 0;
        prop_assert!(!net.view(1).members.iter().any(trusted), "no member is trusted without new proof");
        net.run(Duration::from_secs(1));

        let node = net.node(1);
        prop_assert_eq!(node.group.incarnation(), before + 1);
        prop_assert_eq!(node.group.phase(), Phase::Joining);
        let rejoined = |event: &Event| matches!(event, Event::Rejoined { cause: Cause::Frozen(_), .. });
        prop_assert_eq!(node.events.iter().filter(|event| rejoined(event)).count(), 1);
        prop_assert!(!net.is_sure(1), "it may not know all members yet");
        net.run(Duration::from_secs(3));
        prop_assert!(net.is_sure(1));
        let now = net.now;
        prop_assert!(!net.node(1).group.is_settled(&mark, now), "it belongs to the previous incarnation");
        for viewer in 2..=size {
            prop_assert_eq!(net.state(viewer, 1), Some(State::Joining));
            prop_assert_eq!(net.view(viewer).member(1).and_then(|m| m.incarnation), Some(before + 1));
        }
    }

    /// An attacker between two balancers records authentic heartbeats and replays them.
    #[test]
    fn replays_change_nothing(seed: u64, size in 2u16..6, picks in prop::collection::vec(any::<prop::sample::Index>(), 1..50)) {
        let mut net = Net::settled(size, seed);
        net.suspend(1, Duration::from_secs(4));
        net.run(Duration::from_secs(8));
        let (now, recorded) = (net.now, net.delivered.clone());
        for pick in picks {
            let frame = pick.get(&recorded);
            let before = net.view(frame.to);
            let group = &mut net.node(frame.to).group;
            let refusal = group.receive(now, frame.from, frame.incarnation, &frame.heartbeat);
            prop_assert!(refusal.is_err());
            prop_assert_eq!(net.view(frame.to), before);
        }
    }

    /// Data centres are partitioned for a while. Each side continues with the members it reaches, and
    /// both must find each other again without outside help.
    #[test]
    fn after_healing_all_views_agree(seed: u64, size in 2u16..10, border in 1u16..9, secs in 1u64..40) {
        let mut net = Net::settled(size, seed);
        net.partition(|id| id <= border);
        net.run(Duration::from_secs(secs));
        if secs > 8 {
            for id in 1..=size {
                prop_assert!(net.is_sure(id), "each side continues on its own");
            }
        }
        net.cut.clear();
        net.run(Duration::from_secs(5));
        all_agree(&net, size);
    }

    /// A balancer acts on a change once it is settled. If a member that trusts it didn't know of the
    /// change by then, the two would send one flow to two servers and break it.
    #[test]
    fn once_a_change_is_settled_every_sure_member_knows_it(
        seed: u64, loss in 0.0..0.5, delay in 0u64..3000,
        cuts in prop::collection::btree_set((1u16..5, 1u16..5), 0..6),
        suspended in 0u64..8000,
    ) {
        const SIZE: u16 = 4;
        let mut net = Net::settled(SIZE, seed);
        net.loss = loss;
        net.delay = Duration::from_millis(delay);
        net.cut = cuts;
        net.suspend(3, Duration::from_millis(suspended));
        net.run(Duration::from_millis(700));
        let now = net.now;
        let mark = net.node(1).group.mark(now);
        net.node(1).group.request_prompt_answers();
        let known = net.delivered.len();
        net.run_checked(Duration::from_secs(30), |net| {
            let now = net.now;
            if !net.nodes[&1].group.is_settled(&mark, now) {
                return;
            }
            for id in 2..=SIZE {
                let apart = net.state(1, id) == Some(State::Dead) || net.state(id, 1) == Some(State::Dead);
                let knows = net.delivered[known..].iter().any(|frame| {
                    (frame.from, frame.to) == (1, id) && mark.is_carried_by(frame.heartbeat.number)
                });
                assert!(apart || knows || !net.is_sure(id), "{id} is sure and doesn't know");
            }
        });
    }
}

/// One direction between two balancers is blocked. Both must see that; otherwise one would wait for
/// flags and the other for acknowledgements that never arrive.
#[test]
fn one_way_reachability_is_visible_and_nobody_is_dead() {
    let mut net = Net::settled(3, 1);
    net.cut.insert((1, 2));

    net.run(Duration::from_secs(30));

    let seen = net.view(1).member(2).cloned().expect("a member");
    assert_eq!((seen.state, seen.hears_us), (State::Ready, false));
    assert_eq!(
        net.state(2, 1),
        Some(State::Unheard),
        "not dead, because 3 hears it"
    );
    assert!(!net.is_sure(1) && !net.is_sure(2) && net.is_sure(3));
}

/// A VM is replaced by one whose clock is behind. Its heartbeats carry a lower incarnation, look
/// like replays and would be dropped for good.
#[test]
fn an_incarnation_from_a_slow_clock_is_raised_above_the_one_that_peers_know() {
    let mut net = Net::settled(3, 1);
    net.nodes.remove(&2);
    net.run(Duration::from_secs(10));
    net.node(1).group.set_phase(Phase::Ready);
    let hints: Vec<_> = (1..=3).map(hint).collect();
    net.start(2, 0, &hints);

    net.run(Duration::from_secs(5));

    assert_eq!(net.node(2).group.incarnation(), 2);
    assert_eq!(net.state(1, 2), Some(State::Joining));
    assert!(net.is_sure(1) && net.is_sure(2));
}

/// A new member's heartbeats arrive here, but ours never reach it. It may not know of us and yet be
/// sure of its view, so time alone must not settle a change that it has never received.
#[test]
fn a_member_that_never_acknowledged_keeps_a_change_from_settling() {
    let mut net = Net::settled(2, 1);
    net.cut.insert((1, 3));
    net.start(3, 1, &[hint(1), hint(2), hint(3)]);
    net.run(Duration::from_secs(1));
    let now = net.now;
    let mark = net.node(1).group.mark(now);

    net.run(Settings::default().settle_timeout() * 2);

    let now = net.now;
    assert!(!net.node(1).group.is_settled(&mark, now));
    net.cut.clear();
    net.run(Duration::from_secs(3));
    let now = net.now;
    assert!(net.node(1).group.is_settled(&mark, now));
}

/// An attacker replays the heartbeats of a dead balancer to one that has just started. If they
/// counted as proof of life, it would send flows to a balancer that is gone.
#[test]
fn a_new_balancer_does_not_take_replayed_heartbeats_for_a_live_member() {
    let mut net = Net::settled(2, 1);
    let recorded: Vec<_> = net
        .delivered
        .iter()
        .filter(|f| f.from == 2)
        .cloned()
        .collect();
    net.nodes.remove(&2);
    net.start(1, 2, &[hint(1), hint(2)]);
    let now = net.now;

    for frame in recorded {
        let group = &mut net.node(1).group;
        group
            .receive(now, 2, frame.incarnation, &frame.heartbeat)
            .expect("accepted: its number is new to this process");
    }

    assert_eq!(net.state(1, 2), Some(State::Unheard));
}

/// The platform's list still has fifty VMs that are long gone. A balancer that spread its heartbeats
/// over all of them would send too few to the live members, or exceed its traffic budget.
#[test]
fn listed_vms_that_are_gone_do_not_slow_heartbeats_to_live_members() {
    let mut net = Net::settled(4, 1);
    let hints: Vec<_> = (1..=4).chain(100..150).map(hint).collect();
    let now = net.now;
    net.node(1).group.hint(now, &hints);
    net.sent.clear();

    net.run_checked(Duration::from_secs(20), |net| {
        for viewer in 2..=4 {
            assert_eq!(net.state(viewer, 1), Some(State::Ready));
            assert!(net.is_sure(viewer));
        }
    });

    assert!(net.is_sure(1));
    // At most 16 a second to the heard members, 16 to the unheard ones, and 4 to the dead.
    assert!(
        net.sent[&1] < 20 * 36 * 2 / 3,
        "{} heartbeats in 20 s",
        net.sent[&1]
    );
}

/// One member of a large group is cut off from most of it. It hears few members, so its own interval
/// is short, while those still send at the long interval of the large group.
#[test]
fn timeouts_follow_the_longer_interval_of_a_peer_with_a_larger_view() {
    let mut net = Net::settled(36, 1);
    let others = 8..=36;
    for other in others {
        net.cut.insert((1, other));
        net.cut.insert((other, 1));
    }
    net.run(Duration::from_secs(25));

    net.run_checked(Duration::from_secs(6), |net| {
        for id in 2..8 {
            assert_eq!(net.state(1, id), Some(State::Ready), "1 sees {id}");
            assert_eq!(net.state(id, 1), Some(State::Ready), "{id} sees 1");
        }
    });
}
