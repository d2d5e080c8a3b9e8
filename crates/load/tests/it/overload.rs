use std::time::Duration;

use acacia_load::overload::{LatencyObjective, Limit, Prospect, Terms, admit};
use proptest::prelude::*;

fn terms(latency_ms: u64, urgent: bool) -> Terms {
    let latency = Duration::from_millis(latency_ms);
    Terms {
        objective: LatencyObjective {
            latency,
            priority: None,
        },
        urgent,
        part: 0.35,
    }
}

fn prospect(expected: f64, idle: f64) -> Prospect {
    Prospect {
        expected,
        idle: Some(idle),
    }
}

/// Every queue has filled. A caller who would get a late answer is told at once and can go elsewhere,
/// and those behind it are in time.
#[test]
fn nobody_is_let_in_where_all_servers_are_busy() {
    let verdict = admit(&terms(200, false), 0, 0..14, |_| prospect(0.18, 0.04));

    let refusal = verdict.expect_err("all are busy");
    assert_eq!(refusal.expected, 0.18);
    assert!((refusal.limit - 0.07).abs() < 1e-9, "{refusal:?}");
}

/// Reservations share their servers with a feed that floods them. The feed must give way first.
#[test]
fn urgent_requests_are_let_in_for_longer() {
    let busy = |_| prospect(0.12, 0.04);

    assert!(admit(&terms(200, false), 0, 0..14, busy).is_err());
    assert_eq!(admit(&terms(200, true), 0, 0..14, busy), Ok(0));
}

/// Answers take long for a second: the limit falls. Then all is well again: it must not stay low, or
/// callers are refused for nothing.
#[test]
fn the_limit_falls_under_load_and_rises_after_it() {
    let (mut limit, latency) = (Limit::default(), Duration::from_millis(200));
    let loose = limit.part();
    let at = Duration::from_millis;
    (1..=10).for_each(|tenth| limit.follow(0.15, latency, at(tenth * 100)));
    let strict = limit.part();
    (11..=40).for_each(|tenth| limit.follow(0.05, latency, at(tenth * 100)));

    assert!(strict < loose / 2.0, "{strict} {loose}");
    assert_eq!(limit.part(), loose);
}

/// One of many servers has room: a flow that was placed at a busy one goes there and isn't refused.
#[test]
fn a_flow_placed_at_a_busy_server_goes_to_a_free_one() {
    let prospects = |server| prospect(if server == 9 { 0.05 } else { 0.3 }, 0.04);

    assert_eq!(admit(&terms(200, false), 0, 0..14, prospects), Ok(9));
}

/// An operator wants answers within 20 ms of servers that take 40. Refusing by that would turn
/// everybody away from idle servers.
#[test]
fn an_objective_that_no_server_can_meet_refuses_nobody() {
    let busy = |_| prospect(0.5, 0.04);

    assert_eq!(admit(&terms(20, false), 3, 0..14, busy), Ok(3));
}

/// Right after its start a balancer knows no server's speed. It refuses only what would be late anyway.
#[test]
fn before_speeds_are_known_only_late_answers_are_refused() {
    let unknown = |expected| {
        move |_| Prospect {
            expected,
            idle: None,
        }
    };

    assert_eq!(admit(&terms(200, false), 0, 0..14, unknown(0.19)), Ok(0));
    assert!(admit(&terms(200, false), 0, 0..14, unknown(0.21)).is_err());
}

proptest! {
    /// Whatever the objective, the priorities and the speeds: with a server that has nothing to do and
    /// could be in time, no flow is refused, and one that is let in goes to a server of the pool.
    #[test]
    fn no_flow_is_refused_while_a_server_is_idle(
        latency in 1..1_000_000u64,
        urgent in any::<bool>(),
        idle in prop::collection::vec(0.000_1..10.0f64, 1..20),
        waits in prop::collection::vec(0.0..10.0f64, 20),
        free in any::<prop::sample::Index>(),
        placed in any::<prop::sample::Index>(),
    ) {
        let (free, placed) = (free.index(idle.len()), placed.index(idle.len()));
        let prospects = |server: usize| {
            let wait = if server == free { 0.0 } else { waits[server] };
            prospect(idle[server] + wait, idle[server])
        };
        let verdict = admit(&terms(latency, urgent), placed, 0..idle.len(), prospects);

        let in_time = idle[free] <= Duration::from_millis(latency).as_secs_f64();
        prop_assert!(!in_time || verdict.is_ok());
        prop_assert!(verdict.is_err() || verdict.is_ok_and(|server| server < idle.len()));
    }

    /// The more urgent never need more room than the others.
    #[test]
    fn what_admits_the_ordinary_admits_the_urgent(
        latency in 1..100_000u64,
        expected in 0.0..100.0f64,
        idle in prop::option::of(0.000_1..10.0f64),
    ) {
        let server = Prospect { expected, idle };
        let ordinary = terms(latency, false).admits(&server);

        prop_assert!(!ordinary || terms(latency, true).admits(&server));
    }
}
