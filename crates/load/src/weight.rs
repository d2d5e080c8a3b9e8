use std::time::Duration;

use crate::limits::Limits;

/// What is known of a server when weights are made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerInput {
    /// Measured capacity, in any unit that all servers have in common; nothing without samples.
    pub capacity: Option<f64>,
    /// Left alone: its weight is 0.
    pub ejected: bool,
    /// Its health endpoint says nothing bad.
    pub trusted: bool,
}

/// Makes the next weights, relative to a mean of 1 over the servers, from those `in_force`.
///
/// Load: servers whose speeds differ 4:1 and that nobody tells us; cold starts; one that slows
/// down. Harm: equal shares drown the slow ones. Weights follow measured capacity, down by at most
/// `fall` and up by at most `rise` a step, so that one wrong figure moves little, recovery is
/// gradual and a cold server, which starts at `start`, is filled as it warms up. A server without a
/// figure goes towards the mean of the others. With no figure at all every weight goes to 1: plain
/// shares.
#[must_use]
pub fn next(in_force: &[f64], inputs: &[ServerInput], limits: &Limits) -> Vec<f64> {
    let target = targets(inputs, limits);
    let stepped: Vec<f64> = in_force
        .iter()
        .zip(inputs)
        .zip(&target)
        .map(|((old, input), target)| step(*old, *target, input, limits))
        .collect();
    level(&stepped, in_force, limits)
}

fn targets(inputs: &[ServerInput], limits: &Limits) -> Vec<f64> {
    let known: Vec<f64> = inputs.iter().filter_map(|input| input.capacity).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let relative = |input: &ServerInput| match input.capacity {
        Some(capacity) if mean > 0.0 => capacity / mean,
        _ => 1.0,
    };
    inputs
        .iter()
        .map(|input| relative(input) * if input.trusted { 1.0 } else { limits.distrust })
        .map(|target| target.max(limits.floor))
        .collect()
}

fn step(old: f64, target: f64, input: &ServerInput, limits: &Limits) -> f64 {
    if input.ejected {
        return 0.0;
    }
    if old <= 0.0 {
        return limits.start.min(target);
    }
    target.clamp(old / limits.fall, old * limits.rise)
}

/// Brings the mean to 1 without lifting any server above its largest step: what an ejected or slow
/// one gives up goes to those that may take it. Only if nobody may, all are lifted, since somebody
/// has to take the flows.
fn level(stepped: &[f64], in_force: &[f64], limits: &Limits) -> Vec<f64> {
    /// Rounds of handing on what capped servers don't take.
    const ROUNDS: usize = 8;
    let whole = stepped.len() as f64;
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
        if free <= 0.0 || whole <= held {
            break;
        }
        let factor = (whole - held) / free;
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
    weights.iter().map(|weight| weight * whole / sum).collect()
}

/// Decides when weights are worth proposing: each proposal moves new flows off their base, which
/// costs a pin for each of them.
#[derive(Debug, Clone, Default)]
pub struct ProposalLimiter {
    last: Option<Duration>,
}

impl ProposalLimiter {
    /// Whether `new` should replace `in_force` at `now`. Differences below the hysteresis are
    /// noise; an ejection is always worth it, and at once.
    pub fn due(&mut self, in_force: &[f64], new: &[f64], now: Duration, limits: &Limits) -> bool {
        let pairs = || in_force.iter().zip(new);
        let emptied = pairs().any(|(old, new)| *old > 0.0 && *new == 0.0);
        let differs =
            pairs().any(|(old, new)| (new - old).abs() > limits.hysteresis * old.max(limits.floor));
        let waited = self
            .last
            .is_none_or(|last| now.saturating_sub(last) >= limits.period);
        let due = emptied || (differs && waited);
        if due {
            self.last = Some(now);
        }
        due
    }
}
