use std::{sync::Arc, time::Duration};

use acacia_load::delay::{Delay, Delays};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names() -> (Arc<str>, Arc<str>) {
    ("a".into(), "live".into())
}

/// A server had a queue of 300 ms, which has drained. The old measurements must not keep flows away
/// for long.
#[test]
fn old_answers_hardly_count() {
    let mut delay = Delay::default();
    (0..20).for_each(|number| delay.add(ms(300), ms(number * 10)));

    assert!(delay.mean(0.04, 1.0, ms(200)) > 0.25);
    assert!(delay.mean(0.04, 1.0, ms(2_500)) < 0.06);
}

/// A server stops answering after fast answers, so there are no new measurements. The time without
/// an answer must raise the expected time.
#[test]
fn a_server_without_answers_looks_slower_over_time() {
    let (server, service) = names();
    let mut delays = Delays::default();
    delays.answered(&server, &service, ms(40), ms(0));
    delays.asked(&server, ms(10));

    assert!(delays.expected(&server, &service, ms(1_010)) >= 1.0);
    delays.responded(&server);
    assert!(delays.expected(&server, &service, ms(1_010)) < 0.06);
}

/// A silent server gets no flows, so it has no chance to show that it answers again. After a while
/// it must be tried.
#[test]
fn a_silent_server_is_tried_again() {
    let (server, service) = names();
    let mut delays = Delays::default();
    delays.asked(&server, ms(0));

    assert!(delays.expected(&server, &service, ms(1_900)) > 1.5);
    assert!(delays.expected(&server, &service, ms(2_100)) < 0.1);
    delays.asked(&server, ms(2_200));
    assert!(delays.expected(&server, &service, ms(2_700)) >= 0.5);
}

/// Servers are replaced for weeks, each under a new name. The state of those that left must be
/// removed, or memory grows without bound.
#[test]
fn servers_that_left_are_removed() {
    let mut delays = Delays::default();
    let service: Arc<str> = "live".into();
    for number in 0..1_000 {
        let server: Arc<str> = format!("i-{number}").into();
        delays.answered(&server, &service, ms(40), ms(number));
    }

    delays.retain(|server| &**server == "i-7", |_| false);

    assert_eq!(delays.len(), 1);
    assert_eq!(delays.since_last_answer("live", ms(5_000)), 0.0);
}

#[derive(Debug, Clone)]
enum Event {
    Asked,
    Responded,
    Answered(u64),
    Unanswered,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Asked),
        Just(Event::Responded),
        (0..100_000u64).prop_map(Event::Answered),
        Just(Event::Unanswered),
    ]
}

proptest! {
    /// Whatever the order of packets, and even if the clock seems to step back between two threads,
    /// an estimate is finite and at most the longest answer time or time without answers, and no
    /// count is negative.
    #[test]
    fn estimates_stay_within_what_was_seen(
        events in prop::collection::vec((event(), 0..10_000u64, 0..3u8), 0..200),
    ) {
        let mut delays = Delays::default();
        let service: Arc<str> = "live".into();
        let (mut longest, mut latest) = (0.05f64, 0);
        for (event, at, server) in events {
            let server: Arc<str> = format!("i-{server}").into();
            latest = latest.max(at);
            match event {
                Event::Asked => delays.asked(&server, ms(at)),
                Event::Responded => delays.responded(&server),
                Event::Answered(took) => {
                    longest = longest.max(took as f64 / 1_000.0);
                    delays.answered(&server, &service, ms(took), ms(at));
                }
                Event::Unanswered => delays.unanswered(&server, ms(at)),
            }
            let expected = delays.expected(&server, &service, ms(latest));
            prop_assert!(expected.is_finite() && expected >= 0.0);
            prop_assert!(expected <= longest.max(2.0) + 1e-9);
            let given_up = delays.given_up(&server, ms(latest));
            prop_assert!((0.0..=200.0).contains(&given_up));
        }
    }
}
