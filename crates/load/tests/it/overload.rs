use std::time::Duration;

use acacia_load::overload::{Limit, Objective, Prospect, Terms, admit};
use proptest::prelude::*;

fn terms(latency_ms: u64, urgent: bool) -> Terms {
    let latency = Duration::from_millis(latency_ms);
    Terms {
        objective: Objective {
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

/// All queues are full. A flow that would get a late answer must be refused at once, so that its
/// caller can go elsewhere and later answers are in time.
#[test]
fn no_flow_is_admitted_if_all_servers_are_busy() {
    let verdict = admit(&terms(200, false), 0, 0..14, |_| prospect(0.18, 0.04));

    let refusal = verdict.expect_err("all are busy");
    assert_eq!(refusal.expected, 0.18);
    assert!((refusal.limit - 0.07).abs() < 1e-9, "{refusal:?}");
}

/// Urgent and less urgent flows share overloaded servers. The less urgent must be refused first.
#[test]
fn urgent_flows_are_admitted_at_higher_load() {
    let busy = |_| prospect(0.12, 0.04);

    assert!(admit(&terms(200, false), 0, 0..14, busy).is_err());
    assert_eq!(admit(&terms(200, true), 0, 0..14, busy), Ok(0));
}

/// The limit must fall while answers are slow, here for a second. Afterwards it must rise again, or
/// callers would be refused without need.
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

/// One of many servers is free. A flow placed at a busy one must go there instead of being refused.
#[test]
fn a_flow_placed_at_a_busy_server_goes_to_a_free_one() {
    let prospects = |server| prospect(if server == 9 { 0.05 } else { 0.3 }, 0.04);

    assert_eq!(admit(&terms(200, false), 0, 0..14, prospects), Ok(9));
}

/// The objective is 20 ms, but an answer takes 40 ms even at an idle server. Refusals by such an
/// objective would keep all callers from idle servers.
#[test]
fn an_objective_that_no_server_can_meet_refuses_nobody() {
    let busy = |_| prospect(0.5, 0.04);

    assert_eq!(admit(&terms(20, false), 3, 0..14, busy), Ok(3));
}

/// Right after its start, a balancer knows no server's speed. It must refuse only flows whose answer
/// would miss the objective.
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
    /// Whatever the objective, the priorities and the speeds, no flow is refused while there is an
    /// idle server that can meet the objective, and an admitted flow goes to a server of the pool.
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

    /// A server that takes ordinary flows takes urgent ones too.
    #[test]
    fn urgent_flows_are_admitted_wherever_others_are(
        latency in 1..100_000u64,
        expected in 0.0..100.0f64,
        idle in prop::option::of(0.000_1..10.0f64),
    ) {
        let server = Prospect { expected, idle };
        let ordinary = terms(latency, false).admits(&server);

        prop_assert!(!ordinary || terms(latency, true).admits(&server));
    }
}
