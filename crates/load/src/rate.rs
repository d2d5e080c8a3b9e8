use std::time::Duration;

use crate::{
    limits::Limits,
    peer::OpenFlows,
    plan::Rates,
    pool::{Class, Mark, Pool},
    tally::ClassCount,
};

/// Lowest and highest correction of the measured capacity; beyond them the estimate is wrong in a
/// way that a factor doesn't mend.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.5..=4.0;

/// Demand of one class: flows in about the last second.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    admitted: f64,
    refused: f64,
}

/// Turns the measured capacity into rates of admission.
#[derive(Debug, Clone)]
pub struct Governor {
    demand: Vec<Flow>,
    correction: f64,
}

impl Governor {
    /// No demand is known, the capacity is taken as measured.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Governor {
            demand: vec![Flow::default(); classes],
            correction: 1.0,
        }
    }

    /// Adds the demand that was seen in `passed`; `scale` is all flows over those counted.
    pub fn learn(&mut self, seen: &[ClassCount], scale: f64, passed: Duration, limits: &Limits) {
        let keep = (-passed.as_secs_f64() / limits.fast.as_secs_f64()).exp();
        for (flow, demand) in self.demand.iter_mut().zip(seen) {
            flow.admitted = flow.admitted * keep + f64::from(demand.admitted) * scale;
            flow.refused = flow.refused * keep + f64::from(demand.refused) * scale;
        }
    }

    /// Corrects the capacity by what comes of it: `progress` is the pool's work in progress a slot.
    ///
    /// Load: saturation, with a measured capacity that errs by some percent. Harm: above the wanted
    /// work in progress, callers wait and goodput gains nothing; below it, refused work could have
    /// run. The steps are small, as the effect shows a second or two later and larger ones swing.
    pub fn correct(&mut self, progress: f64, pool: &Pool, limits: &Limits) {
        let lack = 1.0 - progress / limits.target;
        let mut classes = pool.classes.iter().zip(&self.demand);
        let turned_away =
            classes.any(|(class, flow)| class.mark == Mark::Paying && flow.refused > 1.0);
        let factor = if lack < 0.0 || turned_away || self.correction < 1.0 {
            1.0 + limits.gain * lack.max(-2.0)
        } else {
            1.0 - limits.gain * (self.correction - 1.0).clamp(0.0, 1.0)
        };
        self.correction = (self.correction * factor).clamp(*CORRECTION.start(), *CORRECTION.end());
    }

    /// The rates of one gate, which has `part` of all new flows. `known` are the capacities of
    /// those of the `usable` servers that have been measured, in flows a second. Nothing if that is
    /// too few of them: a capacity made of a few figures would refuse what the others could do.
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
        let admitted: f64 = self.demand.iter().map(|flow| flow.admitted).sum();
        let refused: f64 = self.demand.iter().map(|flow| flow.refused).sum();
        Some(Rates {
            own: pool.classes.iter().enumerate().map(own).collect(),
            total,
            lent: capacity * limits.lent,
            pressure: 1.0 + refused / admitted.max(1.0),
        })
    }
}

/// Connections that one gate, which has `part` of all new flows, may still open for each class
/// before the next plan.
///
/// Load: trial callers that hold feeds open. Harm: unlike work, a connection can't be lent, as a
/// feed holds it for hours and is never cut off, so what trial had borrowed could not be given back
/// when paying callers return. Paying callers have no limit here, because the count is an estimate
/// and a wrong one must not refuse them.
#[must_use]
pub fn connections(open: &OpenFlows, part: f64, pool: &Pool, limits: &Limits) -> Vec<Option<u32>> {
    let all = pool.connections() * limits.connection_ceiling;
    let left = |(class, open): (usize, &f64)| {
        let trial = pool.classes[class].mark == Mark::Trial;
        let own = all * pool.fraction(class);
        trial.then(|| ((own - open).max(0.0) * part).ceil() as u32)
    };
    open.classes.iter().enumerate().map(left).collect()
}
