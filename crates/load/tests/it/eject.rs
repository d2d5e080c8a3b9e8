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

    /// However wrong the signals are and for however long, most of a service's servers stay in.
    #[test]
    fn at_most_a_part_is_left_alone(
        servers in 1usize..24,
        rounds in prop::collection::vec(prop::collection::vec(any::<bool>(), 24), 1..40),
    ) {
        let limits = Limits::default();
        let mut ejections = Ejections::new(servers);
        for (second, silent) in rounds.iter().enumerate() {
            ejections.step(&silent[..servers], seconds(second as f64 * 3.0), &limits);
            let out = (0..servers).filter(|server| ejections.ejected(*server)).count();
            prop_assert!(out as f64 <= limits.eject * servers as f64);
        }
    }
}

/// Each balancer sees one answer in eight. A server that gives as many as the others is not hung
/// for that, one that gives none is, and one with few flows is given the benefit of doubt.
#[test]
fn silence_is_set_against_the_others() {
    let limits = Limits::default();
    let others = window(1_000.0, 120.0);
    assert!(!silent(&window(100.0, 12.0), &others, true, &limits));
    assert!(silent(&window(100.0, 0.0), &others, true, &limits));
    assert!(!silent(&window(60.0, 0.0), &others, true, &limits));
    assert!(silent(&window(60.0, 0.0), &others, false, &limits));
}

/// A server hangs for good. Each return costs a few callers, so the rests between returns double.
#[test]
fn a_relapse_doubles_the_rest() {
    let limits = Limits::default();
    let mut ejections = Ejections::new(4);
    let hung = [true, false, false, false];
    let mut rests = Vec::new();
    let mut out = None;
    for second in 0..400u32 {
        let now = f64::from(second);
        ejections.step(&hung, seconds(now), &limits);
        let back = ejections.step(&[false; 4], seconds(now), &limits);
        assert!(back.is_empty());
        let returns = ejections
            .clone()
            .step(&[false; 4], seconds(now + 1.0), &limits);
        if out.is_none() {
            out = Some(now);
        }
        if !returns.is_empty() {
            rests.push(now + 1.0 - out.take().expect("it was out"));
        }
    }
    assert_eq!(&rests[..4], &[10.0, 20.0, 40.0, 80.0]);
}
