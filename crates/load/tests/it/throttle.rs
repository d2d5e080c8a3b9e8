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

/// Follows a load that stays the same, from `from` on for a second, a look each 20 ms.
fn second(throttle: &mut Throttle, demand: f64, wait: f64, from: u64) -> f64 {
    let pressure = Pressure { demand, wait };
    for step in 1..=50 {
        throttle.follow(&pressure, ms(from + step * 20));
    }
    throttle.part()
}

/// A feed asks for more than twice what the servers can do, and these turn reservations away as well.
#[test]
fn the_less_urgent_make_room_within_a_second_and_come_back_after_it() {
    let mut throttle = Throttle::default();

    let busy = second(&mut throttle, 2.5, 4.0, 0);
    let calm = (1..4).map(|from| second(&mut throttle, 0.5, 1.0, from * 1_000));

    assert!(busy > 0.95, "{busy}");
    assert_eq!(calm.last(), Some(0.0));
}

/// The callers of one data centre ask for three times as much, while the servers of the others are free.
#[test]
fn nobody_makes_room_while_answers_do_not_wait() {
    let mut throttle = Throttle::default();

    assert_eq!(second(&mut throttle, 3.0, 1.3, 0), 0.0);
}

/// A release has made all answers slower. What is asked is still borne.
#[test]
fn nobody_makes_room_while_the_servers_bear_what_is_asked() {
    let mut throttle = Throttle::default();

    assert_eq!(second(&mut throttle, 0.95, 5.0, 0), 0.0);
}

/// A balancer was suspended, and the first answer after it says that servers are busy.
#[test]
fn a_single_look_after_a_pause_refuses_only_a_part() {
    let mut throttle = Throttle::default();
    let pressure = Pressure {
        demand: 10.0,
        wait: 10.0,
    };

    let part = throttle.follow(&pressure, ms(60_000));

    assert!(part < 0.5, "{part}");
}

/// Routes stand in the configuration that nobody uses, some more and some less urgent than those in use.
#[test]
fn a_priority_that_next_to_nobody_uses_decides_nothing() {
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

/// The urgent callers have gone, and the others go on making room for them.
#[test]
fn a_priority_that_is_used_no_more_is_forgotten() {
    let mut priorities = Priorities::default();
    (0..100).for_each(|step| {
        priorities.add(1, ms(step * 10));
    });

    for step in 0..2_000 {
        priorities.add(2, ms(1_000 + step * 20));
    }

    assert_eq!(priorities.add(2, ms(41_000)), Rank::default());
}

/// A flood lasts for half a minute. Were its waits taken for the work itself, the less urgent would come
/// back in the midst of it.
#[test]
fn a_flood_of_half_a_minute_hardly_changes_what_answers_take_without_it() {
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

/// A release has made the work itself longer.
#[test]
fn what_answers_take_without_a_flood_is_learned_anew() {
    let mut baseline = Baseline::default();
    for step in 0..1_000 {
        baseline.add(ms(30), ms(step * 50));
    }

    for step in 0..1_000 {
        baseline.add(ms(50), ms(50_000 + step * 50));
    }

    assert!(baseline.mean().is_some_and(|mean| mean > 0.045));
}

/// Demand rises tenfold in a moment: the rate must not take seconds to show it.
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
    fn a_part_is_always_a_part(steps in prop::collection::vec((0.0f64..1e9, 0.0f64..1e9, 0u64..10_000), 1..100)) {
        let mut throttle = Throttle::default();
        let mut now = 0;
        for (demand, wait, passed) in steps {
            now += passed;
            let part = throttle.follow(&Pressure { demand, wait }, ms(now));
            prop_assert!((0.0..=1.0).contains(&part));
        }
    }
}
