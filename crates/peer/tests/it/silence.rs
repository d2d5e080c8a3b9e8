use std::time::Duration;

use acacia_peer::Detector;
use proptest::prelude::*;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_TIMEOUT: Duration = Duration::from_secs(30);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends every half second for a minute over connections that carry no data. Returns the times in
/// milliseconds at which they are replaced.
fn replacements(random: f64) -> Vec<u64> {
    let mut detector = Detector::new();
    let mut times = Vec::new();
    for tick in 0..1200 {
        let now = tick * 50;
        if tick % 10 == 0 {
            detector.sent(ms(now), tick + 1);
        }
        if detector.is_silent(ms(now), TIMEOUT, MAX_TIMEOUT, random) {
            detector.replaced();
            times.push(now);
        }
    }
    times
}

#[rstest]
#[case(0.0)]
#[case(1.0)]
fn a_silent_connection_is_replaced_within_seconds_and_then_less_and_less_often(
    #[case] random: f64,
) {
    let times = replacements(random);

    assert!((2000..=3000).contains(&times[0]), "{times:?}");
    assert!(
        times.windows(3).all(|w| w[2] - w[1] > w[1] - w[0]),
        "{times:?}"
    );
    assert!(times.len() >= 4, "it keeps trying: {times:?}");
}

#[test]
fn replacements_are_spread_by_jitter() {
    assert_ne!(replacements(0.0), replacements(1.0));
}

#[test]
fn an_echo_from_before_the_connection_does_not_count() {
    let mut detector = Detector::new();
    detector.sent(ms(0), 10);

    detector.echoed(ms(1500), 9);

    assert!(detector.is_silent(ms(2100), TIMEOUT, MAX_TIMEOUT, 0.0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0xACAC1A),
        ..ProptestConfig::default()
    })]

    /// Echoes may lag by up to two frames, but keep advancing.
    #[test]
    fn a_live_connection_is_never_replaced(lags in prop::collection::vec(0u64..3, 200)) {
        let mut detector = Detector::new();
        for (round, lag) in lags.into_iter().enumerate() {
            let (now, sequence) = (ms(round as u64 * 500), round as u64 + 1);
            detector.sent(now, sequence);
            prop_assert!(!detector.is_silent(now, TIMEOUT, MAX_TIMEOUT, 0.0));
            detector.echoed(now, sequence.saturating_sub(lag));
        }
    }
}
