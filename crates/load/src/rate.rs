use std::time::Duration;

use crate::{
    limits::Limits,
    peer,
    plan::Rates,
    pool::{Class, Mark, Pool},
    tally,
};

/// Range of the correction of the measured capacity. Outside of it, the estimate is wrong in a way
/// that no factor can correct.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.5..=4.0;

/// Demand of one class, in flows of about the last second.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    admitted: f64,
    refused: f64,
}

/// Computes admission rates from the measured capacity.
#[derive(Debug, Clone)]
pub struct Governor {
    demand: Vec<Demand>,
    correction: f64,
}

impl Governor {
    /// Creates a governor without known demand that doesn't correct the measured capacity.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Governor {
            demand: vec![Demand::default(); classes],
            correction: 1.0,
        }
    }

    /// Adds the demand of the last `passed`; `scale` is the ratio of all flows to the counted ones.
    pub fn learn(&mut self, seen: &[tally::Class], scale: f64, passed: Duration, limits: &Limits) {
        let keep = (-passed.as_secs_f64() / limits.fast.as_secs_f64()).exp();
        for (demand, count) in self.demand.iter_mut().zip(seen) {
            demand.admitted = demand.admitted * keep + f64::from(count.admitted) * scale;
            demand.refused = demand.refused * keep + f64::from(count.refused) * scale;
        }
    }

    /// Corrects the capacity by feedback: `progress` is the pool's work in progress per slot.
    ///
    /// At saturation, the measured capacity has an error of some percent. With more work in progress
    /// than the target, callers wait without a gain in goodput; with less, refused work could have
    /// run. The steps are small, since their effect shows only one or two seconds later and larger
    /// ones would oscillate.
    pub fn correct(&mut self, progress: f64, pool: &Pool, limits: &Limits) {
        let shortfall = 1.0 - progress / limits.target;
        let mut classes = pool.classes.iter().zip(&self.demand);
        let paying_refused =
            classes.any(|(class, demand)| class.mark == Mark::Paying && demand.refused > 1.0);
        let factor = if shortfall < 0.0 || paying_refused || self.correction < 1.0 {
            1.0 + limits.gain * shortfall.max(-2.0)
        } else {
            1.0 - limits.gain * (self.correction - 1.0).clamp(0.0, 1.0)
        };
        self.correction = (self.correction * factor).clamp(*CORRECTION.start(), *CORRECTION.end());
    }

    /// Returns the rates of one gate, which gets the fraction `part` of all new flows. `known` are
    /// the measured capacities, in flows per second, of those among the `usable` servers that have
    /// one. Returns `None` if these are less than half: a capacity extrapolated from few servers
    /// could refuse flows that the others have room for.
    #[must_use]
    pub fn rates(
        &self,
        known: &[f64],
        usable: usize,
        part: f64,
        pool: &Pool,
        limits: &Limits,
    ) -> Option<Rates> {
        if known.is_empty() || known.len() * 2 < usable {
            return None;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let capacity = mean * usable as f64 * self.correction * part;
        let total = capacity * limits.ceiling;
        let own = |(class, entry): (usize, &Class)| match entry.mark {
            Mark::Paying => pool.fraction(class) * total * limits.margin,
            Mark::Trial => pool.fraction(class) * total,
        };
        let admitted: f64 = self.demand.iter().map(|demand| demand.admitted).sum();
        let refused: f64 = self.demand.iter().map(|demand| demand.refused).sum();
        Some(Rates {
            own: pool.classes.iter().enumerate().map(own).collect(),
            total,
            lent: capacity * limits.lent,
            pressure: 1.0 + refused / admitted.max(1.0),
        })
    }
}

/// Returns the number of connections that one gate, which gets the fraction `part` of all new flows,
/// may open for each class before the next plan.
///
/// Unlike work, connections aren't lent: a feed holds its connection for hours and is never cut off,
/// so connections that trial callers had borrowed couldn't be given back when paying callers return.
/// Paying callers have no limit here, since the count of open flows is an estimate, and a wrong
/// estimate must not refuse them.
#[must_use]
pub fn connections(
    open: &peer::Flows,
    part: f64,
    pool: &Pool,
    limits: &Limits,
) -> Vec<Option<u32>> {
    let all = pool.connections() * limits.connection_ceiling;
    let left = |(class, open): (usize, &f64)| {
        let trial = pool.classes[class].mark == Mark::Trial;
        let own = all * pool.fraction(class);
        trial.then(|| ((own - open).max(0.0) * part).ceil() as u32)
    };
    open.classes.iter().enumerate().map(left).collect()
}
