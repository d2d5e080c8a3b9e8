//! Servers that fail their requests, as observers and those that they tell see it.

use std::{sync::Arc, time::Duration};

use acacia_cookie::failing::{FailingServers, Observer, lower_weights};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{ms, present, routed, server, snapshot};

fn id() -> Arc<str> {
    "i-1".into()
}

/// Callers hang up now and then, and a server that answers nearly all loses its flows for it.
#[test]
fn a_server_that_answers_most_is_not_failing() {
    let mut observer = Observer::default();

    for at in 0..200 {
        assert!(!observer.add(&id(), 1, 2, ms(at * 50)));
    }
}

/// A server failed requests long ago, one at a time.
#[test]
fn old_failures_do_not_add_up() {
    let mut observer = Observer::default();

    for at in 0..50 {
        assert!(!observer.add(&id(), 1, 0, ms(at * 2_000)));
    }
}

/// The data centre is told in time again, and not with each report.
#[test]
fn a_verdict_is_repeated_once_a_second() {
    let mut observer = Observer::default();

    let told: Vec<u64> = (0..40)
        .map(|number| number * 100)
        .filter(|at| observer.add(&id(), 3, 0, ms(*at)))
        .collect();

    assert_eq!(told, [0, 1_000, 2_000, 3_000]);
}

/// A peer reports absurd numbers, and a server that lives is avoided for good.
#[test]
fn an_absurd_report_is_forgotten_within_seconds() {
    let mut observer = Observer::default();
    observer.add(&id(), u32::MAX, 0, ms(0));

    let late = (0..10).any(|number| observer.add(&id(), 0, 4, ms(8_000 + number * 100)));

    assert!(!late);
}

/// A failing server is started anew, and gets next to no flows for what it did in its former life.
#[test]
fn a_server_that_starts_anew_is_not_avoided() {
    let (mut observer, mut failing) = (Observer::default(), FailingServers::default());
    observer.add(&id(), 9, 0, ms(0));
    failing.mark(&id(), ms(0));

    observer.forget("i-1");
    failing.forget("i-1");

    assert!(!failing.is_failing("i-1", ms(10)));
    assert!(!observer.add(&id(), 1, 0, ms(10)));
}

/// All servers turn requests away under load. Were those that are known to do it avoided, the few others
/// would get all of it.
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
    for server in &mut snapshot.servers {
        server.failing = failing.contains(&&*server.id);
    }

    lower_weights(&mut snapshot);

    let server = snapshot.servers.iter().find(|server| &*server.id == "a");
    let server = server.expect("a server");
    assert!((server.weight / before - weight).abs() < 1e-9);
}

proptest! {
    /// FailingServers end by themselves, whatever comes.
    #[test]
    fn no_mark_outlives_its_time(marks in prop::collection::vec(0..60_000u64, 0..50)) {
        let mut held = FailingServers::default();
        let last = marks.iter().max().copied().unwrap_or_default();
        let mut marks = marks;
        marks.sort_unstable();
        for at in marks {
            held.mark(&id(), ms(at));
        }

        prop_assert!(!held.is_failing("i-1", ms(last) + Duration::from_secs(4)));
    }
}
