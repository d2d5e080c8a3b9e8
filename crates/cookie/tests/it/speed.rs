use std::{sync::Arc, time::Duration};

use acacia_cookie::speed::Speeds;

use crate::fixture::ms;

/// A server that takes twice as long must get half as much, or its callers wait while the other one
/// idles.
#[test]
fn a_slow_server_s_factor_follows_its_times() {
    let (fast, slow): (Arc<str>, Arc<str>) = ("fast".into(), "slow".into());
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        for _ in 0..5 {
            speeds.asked(&fast);
            speeds.answered(&fast, ms(20));
            speeds.asked(&slow);
            speeds.answered(&slow, ms(40));
        }
        speeds.tick(Duration::from_secs(second), 0.5, |_| Some(2));
    }

    let factors = speeds.factors(["fast", "slow"]);

    let ratio = factors[0] / factors[1];
    assert!((1.6..2.4).contains(&ratio), "{factors:?}");
}

/// A server that has just joined has answered nothing yet. With no factor it would get no flow, and
/// so never show its speed.
#[test]
fn a_server_without_answers_has_the_mean() {
    let known: Arc<str> = "known".into();
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        for _ in 0..5 {
            speeds.answered(&known, ms(20));
        }
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    assert_eq!(speeds.factors(["known", "new"]), [1.0, 1.0]);
}

/// One measurement is far off. Its server must neither take all flows nor lose all.
#[test]
fn factors_are_bounded() {
    let mut speeds = Speeds::default();
    for second in 1..=20 {
        for (server, took) in [("a", 1), ("b", 5_000), ("c", 20)] {
            for _ in 0..5 {
                speeds.answered(&server.into(), ms(took));
            }
        }
        speeds.tick(Duration::from_secs(second), 0.1, |_| Some(2));
    }

    assert!(
        speeds
            .factors(["a", "b", "c"])
            .iter()
            .all(|factor| (0.4..=2.5).contains(factor))
    );
}
