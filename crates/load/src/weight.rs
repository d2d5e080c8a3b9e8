use std::time::Duration;

use crate::limits::Limits;

/// State of a server from which its next weight is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Input {
    /// Measured capacity, in a unit common to all servers; `None` without samples.
    pub capacity: Option<f64>,
    /// Whether the server gets no new flows; its weight is then 0.
    pub ejected: bool,
    /// Whether its health endpoint reports no failure.
    pub trusted: bool,
}

/// Computes the next weights, with a mean of 1 over the servers, from the weights `in_force`.
///
/// The speeds of servers differ by up to 4:1 and aren't configured, servers start cold, and some
/// slow down; with equal weights the slow ones would be overloaded. Weights follow the measured
/// capacity, and each step changes one by at most the factors `fall` and `rise`. So a single wrong
/// measurement has little effect, recovery is gradual, and a cold server, which begins at `start`,
/// gets more flows as it warms up. The weight of a server without a measurement moves towards the
/// mean of the others. Without any measurement all weights move to 1.
#[must_use]
pub fn next(in_force: &[f64], inputs: &[Input], limits: &Limits) -> Vec<f64> {
    let target = targets(inputs, limits);
    let stepped: Vec<f64> = in_force
        .iter()
        .zip(inputs)
        .zip(&target)
        .map(|((old, input), target)| step(*old, *target, input, limits))
        .collect();
    normalize(&stepped, in_force, limits)
}

fn targets(inputs: &[Input], limits: &Limits) -> Vec<f64> {
    let known: Vec<f64> = inputs.iter().filter_map(|input| input.capacity).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let relative = |input: &Input| match input.capacity {
        Some(capacity) if mean > 0.0 => capacity / mean,
        _ => 1.0,
    };
    inputs
        .iter()
        .map(|input| relative(input) * if input.trusted { 1.0 } else { limits.distrust })
        .map(|target| target.max(limits.floor))
        .collect()
}

fn step(old: f64, target: f64, input: &Input, limits: &Limits) -> f64 {
    if input.ejected {
        return 0.0;
    }
    if old <= 0.0 {
        return limits.start.min(target);
    }
    target.clamp(old / limits.fall, old * limits.rise)
}

/// Brings the mean to 1 without raising any server above its largest step: the weight that an
/// ejected or slow server loses goes to servers below their largest step. If all of them are at it,
/// all are raised alike, since the flows have to go somewhere.
fn normalize(stepped: &[f64], in_force: &[f64], limits: &Limits) -> Vec<f64> {
    /// Iterations that redistribute the weight above the servers' caps.
    const ROUNDS: usize = 8;
    let total = stepped.len() as f64;
    let highest = |old: f64| {
        if old > 0.0 {
            old * limits.rise
        } else {
            limits.start
        }
    };
    let mut weights = stepped.to_vec();
    for _ in 0..ROUNDS {
        let capped = |(weight, old): (&f64, &f64)| *weight >= highest(*old) - 1e-12;
        let held: f64 = weights
            .iter()
            .zip(in_force)
            .filter(|pair| capped(*pair))
            .map(|pair| *pair.0)
            .sum();
        let free: f64 = weights.iter().sum::<f64>() - held;
        if free <= 0.0 || total <= held {
            break;
        }
        let factor = (total - held) / free;
        let next: Vec<f64> = weights
            .iter()
            .zip(in_force)
            .map(|(weight, old)| match capped((weight, old)) {
                true => *weight,
                false => (weight * factor).min(highest(*old)),
            })
            .collect();
        weights = next;
    }
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return vec![1.0; weights.len()];
    }
    weights.iter().map(|weight| weight * total / sum).collect()
}

/// Limits how often weights are proposed: each proposal moves new flows off the server that the
/// base table gives them, and each of these flows needs a pin.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    last: Option<Duration>,
}

impl Limiter {
    /// Returns whether `new` should replace `in_force` at `now`. Differences below the hysteresis
    /// are taken for noise; an ejection is proposed at once.
    pub fn due(&mut self, in_force: &[f64], new: &[f64], now: Duration, limits: &Limits) -> bool {
        let pairs = || in_force.iter().zip(new);
        let ejects = pairs().any(|(old, new)| *old > 0.0 && *new == 0.0);
        let differs =
            pairs().any(|(old, new)| (new - old).abs() > limits.hysteresis * old.max(limits.floor));
        let waited = self
            .last
            .is_none_or(|last| now.saturating_sub(last) >= limits.period);
        let due = ejects || (differs && waited);
        if due {
            self.last = Some(now);
        }
        due
    }
}
