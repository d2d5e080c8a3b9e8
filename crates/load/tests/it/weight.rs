use acacia_load::{
    limits::Limits,
    weight::{Pace, Sight, next},
};
use proptest::prelude::*;

use crate::fixture::seconds;

fn sight(capacity: Option<f64>) -> Sight {
    Sight {
        capacity,
        ejected: false,
        trusted: true,
    }
}

fn settle(mut weights: Vec<f64>, sights: &[Sight], steps: usize) -> Vec<f64> {
    for _ in 0..steps {
        weights = next(&weights, sights, &Limits::default());
    }
    weights
}

fn any_sight() -> impl Strategy<Value = Sight> {
    (prop::option::of(0.0..1e6f64), any::<bool>(), any::<bool>()).prop_map(
        |(capacity, ejected, trusted)| Sight {
            capacity,
            ejected,
            trusted,
        },
    )
}

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Whatever the figures say, weights are finite, have a mean of 1, and a server is only left
    /// without any if it is left alone (the cap on that is the bench's).
    #[test]
    fn weights_are_always_usable(
        pairs in prop::collection::vec((0.0..4.0f64, any_sight()), 1..20),
    ) {
        let (old, sights): (Vec<f64>, Vec<Sight>) = pairs.into_iter().unzip();
        let new = next(&old, &sights, &Limits::default());
        let mean = new.iter().sum::<f64>() / new.len() as f64;
        prop_assert!((mean - 1.0).abs() < 1e-9);
        let all_out = sights.iter().all(|sight| sight.ejected);
        for (weight, sight) in new.iter().zip(&sights) {
            prop_assert!(*weight > 0.0 || (sight.ejected && !all_out));
        }
    }

    /// Weights settle at the measured speeds from any start, and stay.
    #[test]
    fn weights_settle_at_measured_speeds(
        speeds in prop::collection::vec(1.0..4.0f64, 2..16),
        old in prop::collection::vec(0.1..4.0f64, 16),
    ) {
        let sights: Vec<Sight> = speeds.iter().map(|speed| sight(Some(*speed))).collect();
        let weights = settle(old[..speeds.len()].to_vec(), &sights, 40);
        let mean = speeds.iter().sum::<f64>() / speeds.len() as f64;
        for (weight, speed) in weights.iter().zip(&speeds) {
            prop_assert!((weight - speed / mean).abs() < 0.01);
        }
    }
}

/// Every figure is gone (the sampled packets no longer come by, say). Plain shares are unfair to
/// slow servers, but every service goes on.
#[test]
fn without_signals_shares_are_plain() {
    let weights = settle(vec![0.1, 0.4, 1.5, 2.0], &[sight(None); 4], 40);
    assert!(
        weights.iter().all(|weight| (weight - 1.0).abs() < 0.01),
        "{weights:?}"
    );
}

/// A server comes back, or is started cold. Given its full part at once, the first callers would
/// all wait for it to warm up.
#[test]
fn a_cold_server_is_filled_by_steps() {
    let limits = Limits::default();
    let sights = [sight(Some(1.0)); 4];
    let mut weights = vec![0.0, 1.0, 1.0, 1.0];
    let mut path = Vec::new();
    for _ in 0..15 {
        weights = next(&weights, &sights, &limits);
        path.push(weights[0]);
    }
    assert!(path[0] <= limits.start * 1.001, "{path:?}");
    assert!(path[2] < 0.6, "{path:?}");
    let most = limits.rise * 1.001;
    assert!(
        path.windows(2).all(|pair| pair[1] <= pair[0] * most),
        "{path:?}"
    );
    assert!(path[14] > 0.95, "{path:?}");
}

/// A health endpoint that says a server fails may lag by 10 s or lie: in-band figures that look
/// fine keep most of the server's part.
#[test]
fn a_health_endpoint_lowers_but_never_raises() {
    let fine = sight(Some(1.0));
    let failing = Sight {
        trusted: false,
        ..fine
    };
    let weights = settle(vec![1.0; 4], &[failing, fine, fine, fine], 20);
    let kept = weights[0] / weights[1];
    assert!(
        (kept - Limits::default().distrust).abs() < 0.01,
        "{weights:?}"
    );
    assert!(kept > 0.6 && kept < 1.0, "{weights:?}");
}

#[test]
fn noise_is_not_proposed_and_an_ejection_is_at_once() {
    let limits = Limits::default();
    let mut pace = Pace::default();
    let noise = [1.01, 0.99];
    assert!(!pace.due(&[1.0, 1.0], &noise, seconds(1.0), &limits));
    assert!(pace.due(&[1.0, 1.0], &[1.2, 0.8], seconds(2.0), &limits));
    assert!(!pace.due(&[1.2, 0.8], &[1.4, 0.6], seconds(2.5), &limits));
    assert!(pace.due(&[1.2, 0.8], &[2.0, 0.0], seconds(2.6), &limits));
}
