use std::time::Duration;

use acacia_load::{
    arrival::Rate,
    baseline::Baseline,
    throttle::{Pressure, Throttle},
    urgency::{Priorities, Rank},
};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Updates the throttle with a constant load every 20 ms for a second, starting at `from`.
fn follow_for_a_second(throttle: &mut Throttle, demand: f64, wait: f64, from: u64) -> f64 {
    let pressure = Pressure { demand, wait };
    for step in 1..=50 {
        throttle.follow(&pressure, ms(from + step * 20));
    }
    throttle.part()
}

/// Less urgent demand is more than twice the servers' capacity, so that servers refuse urgent
/// requests too. The less urgent flows must be refused within a second, and admitted again after the
/// load.
#[test]
fn less_urgent_flows_are_refused_only_during_the_load() {
    let mut throttle = Throttle::default();

    let busy = follow_for_a_second(&mut throttle, 2.5, 4.0, 0);
    let calm = (1..4).map(|from| follow_for_a_second(&mut throttle, 0.5, 1.0, from * 1_000));

    assert!(busy > 0.95, "{busy}");
    assert_eq!(calm.last(), Some(0.0));
}

/// Demand is three times the capacity by this balancer's estimate, but answers don't wait: the
/// callers of one data centre send more, while servers elsewhere are free.
#[test]
fn no_flow_is_refused_while_answers_do_not_wait() {
    let mut throttle = Throttle::default();

    assert_eq!(follow_for_a_second(&mut throttle, 3.0, 1.3, 0), 0.0);
}

/// A release has made all answers slower, but demand is still below capacity.
#[test]
fn no_flow_is_refused_while_demand_is_below_capacity() {
    let mut throttle = Throttle::default();

    assert_eq!(follow_for_a_second(&mut throttle, 0.95, 5.0, 0), 0.0);
}

/// A balancer was suspended, and the first answer after that indicates busy servers.
#[test]
fn a_single_update_after_a_pause_refuses_only_a_part() {
    let mut throttle = Throttle::default();
    let pressure = Pressure {
        demand: 10.0,
        wait: 10.0,
    };

    let part = throttle.follow(&pressure, ms(60_000));

    assert!(part < 0.5, "{part}");
}

/// The configuration contains hardly used routes, more urgent and less urgent than those in use.
/// They must not change the rank of the others.
#[test]
fn a_hardly_used_priority_has_no_effect() {
    let mut priorities = Priorities::default();
    for step in 0..300 {
        let priority = if step % 3 == 0 { 1 } else { 2 };
        priorities.add(priority, ms(step * 10));
    }
    priorities.add(0, ms(3_000));
    priorities.add(7, ms(3_000));

    let check_in = priorities.add(1, ms(3_010));
    let feed = priorities.add(2, ms(3_010));

    let urgent = Rank {
        urgent: true,
        yields: false,
    };
    let yields = Rank {
        urgent: false,
        yields: true,
    };
    assert_eq!((check_in, feed), (urgent, yields));
}

/// The urgent callers have gone. The flows of the others must no longer be refused for them.
#[test]
fn an_unused_priority_loses_its_effect() {
    let mut priorities = Priorities::default();
    (0..100).for_each(|step| {
        priorities.add(1, ms(step * 10));
    });

    for step in 0..2_000 {
        priorities.add(2, ms(1_000 + step * 20));
    }

    assert_eq!(priorities.add(2, ms(41_000)), Rank::default());
}

/// An overload lasts for half a minute. If its waits were taken for the work itself, less urgent
/// flows would be admitted again in the middle of it.
#[test]
fn an_overload_of_half_a_minute_hardly_changes_the_baseline() {
    let mut baseline = Baseline::default();
    for step in 0..1_000 {
        baseline.add(ms(20 + step % 3 * 10), ms(step * 50));
    }
    let before = baseline.mean().expect("answers came");

    for step in 0..6_000 {
        baseline.add(ms(150 + step % 3 * 50), ms(50_000 + step * 5));
    }

    let after = baseline.mean().expect("answers came");
    assert!((0.025..0.035).contains(&before), "{before}");
    assert!(after < before * 1.8, "{before} {after}");
}

/// A release has made the work itself longer, and the baseline must follow.
#[test]
fn the_baseline_follows_a_lasting_change() {
    let mut baseline = Baseline::default();
    for step in 0..1_000 {
        baseline.add(ms(30), ms(step * 50));
    }

    for step in 0..1_000 {
        baseline.add(ms(50), ms(50_000 + step * 50));
    }

    assert!(baseline.mean().is_some_and(|mean| mean > 0.045));
}

/// Demand rises suddenly to ten times as much. The rate must show it without seconds of delay.
#[test]
fn a_burst_shows_in_the_rate_within_a_quarter_of_a_second() {
    let mut rate = Rate::new(ms(0));
    (0..500).for_each(|step| rate.add(ms(step * 20)));
    let before = rate.per_second(ms(10_000));

    (0..125).for_each(|step| rate.add(ms(10_000 + step * 2)));

    let after = rate.per_second(ms(10_250));
    assert!((45.0..60.0).contains(&before), "{before}");
    assert!(after > 300.0, "{after}");
}

proptest! {
    #[test]
    fn the_refused_fraction_stays_between_0_and_1(steps in prop::collection::vec((0.0f64..1e9, 0.0f64..1e9, 0u64..10_000), 1..100)) {
        let mut throttle = Throttle::default();
        let mut now = 0;
        for (demand, wait, passed) in steps {
            now += passed;
            let part = throttle.follow(&Pressure { demand, wait }, ms(now));
            prop_assert!((0.0..=1.0).contains(&part));
        }
    }
}
