use std::time::Duration;

use crate::{
    limits::Limits,
    signal::{Window, utilization},
    tally::Count,
};

/// How many questions a second a server can answer, learned from many short measurements.
///
/// Load: servers of unequal, untold speed, sometimes with deep queues. Harm: a server that is only
/// busy taken for a slow one gets less, answers less, and looks slower still; all of them together
/// spiral down to refusing everything. So each measurement takes the answers a second of one
/// stretch of time and divides them by the server's use in the same stretch, which follows from
/// the work in progress (answers a second times time of each) and not from time alone. A server
/// with a deep queue has a use of nearly 1, and then its answers a second are its capacity.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    stretch: Window,
    mean: Option<f64>,
    /// Seconds that the mean stands for.
    span: f64,
    /// The last measurement, if it was far off the mean.
    odd: Option<f64>,
}

impl Speed {
    /// Questions a second; nothing before the first measurement.
    #[must_use]
    pub fn requests_per_second(&self) -> Option<f64> {
        self.mean
    }

    /// Adds what was counted in `passed`. `network` is the network's part of an answer's time in
    /// seconds; `visible` is the part of all answers whose times some balancer sees.
    pub fn learn(
        &mut self,
        count: &Count,
        passed: Duration,
        network: f64,
        visible: f64,
        slots: u32,
        limits: &Limits,
    ) {
        self.stretch.add(count, passed, Duration::MAX);
        let enough = match self.stretch.span < limits.patience.as_secs_f64() {
            true => limits.samples,
            false => limits.samples_least,
        };
        if self.stretch.timed < enough || visible <= 0.0 {
            return;
        }
        let stretch = std::mem::take(&mut self.stretch);
        let Some(work) = stretch.work(network) else {
            return;
        };
        let answers = stretch.answered / visible / stretch.span;
        let progress = answers * work / f64::from(slots.max(1));
        self.take(answers / utilization(progress, slots), &stretch, limits);
    }

    fn take(&mut self, value: f64, stretch: &Window, limits: &Limits) {
        let Some(mean) = self.mean else {
            (self.mean, self.span) = (Some(value), stretch.span);
            return;
        };
        // The fewer answers, the more a measurement scatters, and the less it proves.
        let scatter = (limits.samples / stretch.timed).sqrt().max(1.0);
        let factor = 1.0 + (limits.change - 1.0) * scatter;
        let odd = self.odd.take();
        if value > mean * factor || mean > value * factor {
            if odd.is_some_and(|odd| (odd > mean) == (value > mean)) {
                (self.mean, self.span) = (Some(value), stretch.span);
                return;
            }
            self.odd = Some(value);
        }
        let memory = stretch.span * limits.memory / stretch.timed;
        let memory = memory.max(limits.slow.as_secs_f64());
        self.span = (self.span + stretch.span).min(memory);
        let part = (stretch.span / self.span).min(1.0);
        self.mean = Some(mean + part * (value - mean));
    }
}
