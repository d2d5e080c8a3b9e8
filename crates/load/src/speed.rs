use std::time::Duration;

use crate::{
    limits::Limits,
    signal::{Window, utilization},
    tally::Count,
};

/// How many requests per second a server can answer, estimated from many short measurements.
///
/// The speeds of servers differ, aren't configured, and some servers have deep queues. If a busy
/// server were taken for a slow one, it would get fewer requests, answer fewer and look slower
/// still, until the whole pool refuses everything. So each measurement divides the answers per
/// second of an interval by the server's utilization in the same interval. The utilization follows
/// from the work in progress (answers per second times the time of each), not from the time alone.
/// A server with a deep queue has a utilization of nearly 1, so its answers per second are its
/// capacity.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    interval: Window,
    mean: Option<f64>,
    /// Length in seconds of the intervals behind the mean.
    span: f64,
    /// The previous measurement, if it was far off the mean.
    outlier: Option<f64>,
}

impl Speed {
    /// Returns the requests per second, or `None` before the first measurement.
    #[must_use]
    pub fn requests_per_second(&self) -> Option<f64> {
        self.mean
    }

    /// Adds the counts of the last `passed`. `network` is the network's part of an answer time, in
    /// seconds; `visible` is the fraction of all answers that some balancer sees.
    pub fn learn(
        &mut self,
        count: &Count,
        passed: Duration,
        network: f64,
        visible: f64,
        slots: u32,
        limits: &Limits,
    ) {
        self.interval.add(count, passed, Duration::MAX);
        let enough = match self.interval.span < limits.patience.as_secs_f64() {
            true => limits.samples,
            false => limits.samples_least,
        };
        if self.interval.timed < enough || visible <= 0.0 {
            return;
        }
        let interval = std::mem::take(&mut self.interval);
        let Some(work) = interval.work(network) else {
            return;
        };
        let answers = interval.answered / visible / interval.span;
        let progress = answers * work / f64::from(slots.max(1));
        self.record(answers / utilization(progress, slots), &interval, limits);
    }

    fn record(&mut self, value: f64, interval: &Window, limits: &Limits) {
        let Some(mean) = self.mean else {
            (self.mean, self.span) = (Some(value), interval.span);
            return;
        };
        // Measurements with fewer answers scatter more, so they prove less.
        let scatter = (limits.samples / interval.timed).sqrt().max(1.0);
        let factor = 1.0 + (limits.change - 1.0) * scatter;
        let outlier = self.outlier.take();
        if value > mean * factor || mean > value * factor {
            if outlier.is_some_and(|outlier| (outlier > mean) == (value > mean)) {
                (self.mean, self.span) = (Some(value), interval.span);
                return;
            }
            self.outlier = Some(value);
        }
        let span_max = interval.span * limits.memory / interval.timed;
        let span_max = span_max.max(limits.slow.as_secs_f64());
        self.span = (self.span + interval.span).min(span_max);
        let part = (interval.span / self.span).min(1.0);
        self.mean = Some(mean + part * (value - mean));
    }
}
