//! Servers turn requests away, or not, in any order.

use std::time::Duration;

use acacia_load::throttle::Throttle;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What happens at a balancer.
#[derive(Debug, Clone, Copy)]
enum Event {
    Served,
    TurnedAway,
    New { urgent: bool, draw: f64 },
}

fn events() -> impl Strategy<Value = Vec<(Event, u64)>> {
    let event = prop_oneof![
        Just(Event::Served),
        Just(Event::TurnedAway),
        (any::<bool>(), 0.0..1.0f64).prop_map(|(urgent, draw)| Event::New { urgent, draw }),
    ];
    prop::collection::vec((event, 0..40u64), 1..400)
}

fn take(throttle: &mut Throttle, event: Event, now: Duration) {
    match event {
        Event::Served => throttle.served(now),
        Event::TurnedAway => throttle.turned_away(now),
        Event::New { urgent, draw } => {
            throttle.refuses(urgent, draw, now);
        }
    }
}

proptest! {
    /// An urgent request is refused while a less urgent one is let in.
    #[test]
    fn no_urgent_request_is_refused_before_all_others_are(events in events()) {
        let mut throttle = Throttle::default();
        let mut now = Duration::ZERO;
        for (event, pause) in events {
            now += ms(pause);
            take(&mut throttle, event, now);

            let (urgent, other) = (throttle.part(true, now), throttle.part(false, now));
            prop_assert!((0.0..=1.0).contains(&urgent) && (0.0..=1.0).contains(&other));
            prop_assert!(urgent == 0.0 || other >= 1.0 - 1e-9, "{urgent} {other}");
        }
    }

    /// Requests are refused although servers take all of them.
    #[test]
    fn nothing_is_refused_while_all_is_served(events in events()) {
        let mut throttle = Throttle::default();
        let mut now = Duration::ZERO;
        for (event, pause) in events {
            now += ms(pause);
            if matches!(event, Event::TurnedAway) {
                continue;
            }
            take(&mut throttle, event, now);

            prop_assert_eq!(throttle.part(false, now), 0.0);
        }
    }
}

/// Servers have room again, and callers are still refused.
#[test]
fn refusing_ends_with_the_overload() {
    let mut throttle = Throttle::default();
    for at in 0..400 {
        throttle.turned_away(ms(at));
    }
    assert!(throttle.part(false, ms(400)) > 0.9);

    for at in 0..300 {
        throttle.served(ms(400 + at * 10));
    }

    assert_eq!(throttle.part(false, ms(3_400)), 0.0);
}
