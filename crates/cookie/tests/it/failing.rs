//! Detection of servers that fail their requests, at observers and at balancers that receive
//! verdicts.

use std::{sync::Arc, time::Duration};

use acacia_cookie::failing::{Observer, Verdicts, lower_weights};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{ms, present, routed, server, snapshot};

fn id() -> Arc<str> {
    "i-1".into()
}

/// Callers close connections now and then. A server that answers nearly all requests must not lose
/// its flows because of that.
#[test]
fn a_server_that_answers_most_requests_is_not_failing() {
    let mut observer = Observer::default();

    for at in 0..200 {
        assert!(!observer.add(&id(), 1, 2, ms(at * 50)));
    }
}

/// Single failures far apart in time must not lead to a verdict.
#[test]
fn old_failures_do_not_add_up() {
    let mut observer = Observer::default();

    for at in 0..50 {
        assert!(!observer.add(&id(), 1, 0, ms(at * 2_000)));
    }
}

/// The data centre must receive a repeated verdict before the previous one expires, but not with
/// each report.
#[test]
fn a_verdict_is_repeated_once_a_second() {
    let mut observer = Observer::default();

    let announced: Vec<u64> = (0..40)
        .map(|number| number * 100)
        .filter(|at| observer.add(&id(), 3, 0, ms(*at)))
        .collect();

    assert_eq!(announced, [0, 1_000, 2_000, 3_000]);
}

/// Guards against a peer that reports absurd numbers, which would keep a healthy server avoided
/// indefinitely.
#[test]
fn an_absurd_report_loses_its_effect_within_seconds() {
    let mut observer = Observer::default();
    observer.add(&id(), u32::MAX, 0, ms(0));

    let late = (0..10).any(|number| observer.add(&id(), 0, 4, ms(8_000 + number * 100)));

    assert!(!late);
}

/// A failing server restarts. Failures from before the restart must not reduce its flows.
#[test]
fn a_server_that_restarts_is_not_avoided() {
    let (mut observer, mut failing) = (Observer::default(), Verdicts::default());
    observer.add(&id(), 9, 0, ms(0));
    failing.mark(&id(), ms(0));

    observer.forget("i-1");
    failing.forget("i-1");

    assert!(!failing.is_failing("i-1", ms(10)));
    assert!(!observer.add(&id(), 1, 0, ms(10)));
}

/// All servers reject requests under load. If those known to do so were avoided, the few others
/// would receive the whole load.
#[rstest]
#[case::few_fail(&["a"], 0.05)]
#[case::most_fail(&["a", "b", "c"], 1.0)]
fn only_a_minority_is_avoided(#[case] failing: &[&str], #[case] weight: f64) {
    let servers = ["a", "b", "c", "d"].map(|name| server(name, "live"));
    let servers = servers
        .into_iter()
        .zip(1..)
        .map(|(one, at)| present(one, at));
    let mut snapshot = snapshot(servers.chain([routed(&["live"], 9)]));
    let before = snapshot.servers[0].weight;

    lower_weights(&mut snapshot, failing.iter().copied());

    let server = snapshot.servers.iter().find(|server| &*server.id == "a");
    let server = server.expect("a server");
    assert!((server.weight / before - weight).abs() < 1e-9);
}

proptest! {
    /// A verdict expires within its lifetime after the last report, whatever reports came before.
    #[test]
    fn no_verdict_outlives_its_lifetime(times in prop::collection::vec(0..60_000u64, 0..50)) {
        let mut failing = Verdicts::default();
        let last = times.iter().max().copied().unwrap_or_default();
        let mut times = times;
        times.sort_unstable();
        for at in times {
            failing.mark(&id(), ms(at));
        }

        prop_assert!(!failing.is_failing("i-1", ms(last) + Duration::from_secs(4)));
    }
}
