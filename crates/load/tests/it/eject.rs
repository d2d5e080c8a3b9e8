use acacia_load::{
    eject::{Ejections, silent},
    limits::Limits,
    signal::Window,
};
use proptest::prelude::*;

use crate::fixture::seconds;

fn window(asked: f64, answered: f64) -> Window {
    Window {
        asked,
        answered,
        opened: asked,
        completed: answered,
        ..Window::default()
    }
}

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// However wrong the signals are, and for however long, most of a service's servers stay in use.
    #[test]
    fn the_fraction_of_ejected_servers_is_capped(
        servers in 1usize..24,
        rounds in prop::collection::vec(prop::collection::vec(any::<bool>(), 24), 1..40),
    ) {
        let limits = Limits::default();
        let mut ejections = Ejections::new(servers);
        for (second, silent) in rounds.iter().enumerate() {
            ejections.step(&silent[..servers], seconds(second as f64 * 3.0), &limits);
            let ejected = (0..servers).filter(|server| ejections.ejected(*server)).count();
            prop_assert!(ejected as f64 <= limits.eject * servers as f64);
        }
    }
}

/// Each balancer sees one answer in eight. A server counts as silent only if it gives fewer answers
/// than the others, and only with enough requests as evidence.
#[test]
fn silence_is_relative_to_the_other_servers() {
    let limits = Limits::default();
    let others = window(1_000.0, 120.0);
    assert!(!silent(&window(100.0, 12.0), &others, true, &limits));
    assert!(silent(&window(100.0, 0.0), &others, true, &limits));
    assert!(!silent(&window(60.0, 0.0), &others, true, &limits));
    assert!(silent(&window(60.0, 0.0), &others, false, &limits));
}

/// A server hangs forever. Each return to service affects a few callers, so the ejection time must
/// double each time.
#[test]
fn a_relapse_doubles_the_ejection_time() {
    let limits = Limits::default();
    let mut ejections = Ejections::new(4);
    let hung = [true, false, false, false];
    let mut durations = Vec::new();
    let mut ejected_at = None;
    for second in 0..400u32 {
        let now = f64::from(second);
        ejections.step(&hung, seconds(now), &limits);
        let returned = ejections.step(&[false; 4], seconds(now), &limits);
        assert!(returned.is_empty());
        let returns = ejections
            .clone()
            .step(&[false; 4], seconds(now + 1.0), &limits);
        if ejected_at.is_none() {
            ejected_at = Some(now);
        }
        if !returns.is_empty() {
            durations.push(now + 1.0 - ejected_at.take().expect("the server was ejected"));
        }
    }
    assert_eq!(&durations[..4], &[10.0, 20.0, 40.0, 80.0]);
}
