use acacia_load::{
    limits::Limits,
    weight::{Input, Limiter, next},
};
use proptest::prelude::*;

use crate::fixture::seconds;

fn input(capacity: Option<f64>) -> Input {
    Input {
        capacity,
        ejected: false,
        trusted: true,
    }
}

fn settle(mut weights: Vec<f64>, inputs: &[Input], steps: usize) -> Vec<f64> {
    for _ in 0..steps {
        weights = next(&weights, inputs, &Limits::default());
    }
    weights
}

fn any_input() -> impl Strategy<Value = Input> {
    (prop::option::of(0.0..1e6f64), any::<bool>(), any::<bool>()).prop_map(
        |(capacity, ejected, trusted)| Input {
            capacity,
            ejected,
            trusted,
        },
    )
}

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Whatever the measurements, weights are finite and have a mean of 1, and a weight is only 0 if
    /// the server is ejected. `Ejections` caps the number of ejected servers.
    #[test]
    fn weights_are_always_usable(
        pairs in prop::collection::vec((0.0..4.0f64, any_input()), 1..20),
    ) {
        let (old, inputs): (Vec<f64>, Vec<Input>) = pairs.into_iter().unzip();
        let new = next(&old, &inputs, &Limits::default());
        let mean = new.iter().sum::<f64>() / new.len() as f64;
        prop_assert!((mean - 1.0).abs() < 1e-9);
        let all_out = inputs.iter().all(|input| input.ejected);
        for (weight, input) in new.iter().zip(&inputs) {
            prop_assert!(*weight > 0.0 || (input.ejected && !all_out));
        }
    }

    /// Weights converge to the measured speeds from any start.
    #[test]
    fn weights_settle_at_measured_speeds(
        speeds in prop::collection::vec(1.0..4.0f64, 2..16),
        old in prop::collection::vec(0.1..4.0f64, 16),
    ) {
        let inputs: Vec<Input> = speeds.iter().map(|speed| input(Some(*speed))).collect();
        let weights = settle(old[..speeds.len()].to_vec(), &inputs, 40);
        let mean = speeds.iter().sum::<f64>() / speeds.len() as f64;
        for (weight, speed) in weights.iter().zip(&speeds) {
            prop_assert!((weight - speed / mean).abs() < 0.01);
        }
    }
}

/// All measurements are missing, for example as no more sampled packets arrive. Equal weights put
/// more load on slow servers, but every service continues.
#[test]
fn without_samples_weights_become_equal() {
    let weights = settle(vec![0.1, 0.4, 1.5, 2.0], &[input(None); 4], 40);
    assert!(
        weights.iter().all(|weight| (weight - 1.0).abs() < 0.01),
        "{weights:?}"
    );
}

/// A server returns, or starts cold. With its full weight at once, the first callers would wait for
/// it to warm up.
#[test]
fn the_weight_of_a_cold_server_rises_by_steps() {
    let limits = Limits::default();
    let inputs = [input(Some(1.0)); 4];
    let mut weights = vec![0.0, 1.0, 1.0, 1.0];
    let mut path = Vec::new();
    for _ in 0..15 {
        weights = next(&weights, &inputs, &limits);
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

/// A health endpoint may lag by 10 s or be wrong. If it reports a failure while the measurements are
/// good, the server must keep most of its weight.
#[test]
fn a_failing_health_endpoint_lowers_a_weight_only_slightly() {
    let fine = input(Some(1.0));
    let failing = Input {
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
fn noise_is_not_proposed_and_an_ejection_is_proposed_at_once() {
    let limits = Limits::default();
    let mut limiter = Limiter::default();
    let noise = [1.01, 0.99];
    assert!(!limiter.due(&[1.0, 1.0], &noise, seconds(1.0), &limits));
    assert!(limiter.due(&[1.0, 1.0], &[1.2, 0.8], seconds(2.0), &limits));
    assert!(!limiter.due(&[1.2, 0.8], &[1.4, 0.6], seconds(2.5), &limits));
    assert!(limiter.due(&[1.2, 0.8], &[2.0, 0.0], seconds(2.6), &limits));
}
