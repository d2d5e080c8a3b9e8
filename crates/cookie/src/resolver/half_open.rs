//! Half-open flows: a SYN has been forwarded, and the caller's next packet has not arrived.

use std::{collections::VecDeque, time::Duration};

use acacia_wire::flow::Key;

/// Longest wait for the packet that follows a SYN. After this time, the caller retransmits the SYN.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Shortest wait, to allow for the delay of packets at a balancer whose processor is busy.
const MIN_WAIT: Duration = Duration::from_millis(40);
/// Gains of a new sample in the mean and in the mean deviation (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Number of mean deviations above the mean in the wait (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Maximum number of SYNs that are tracked. In a flood of them, these suffice to detect servers that do
/// not answer.
const MAX_TRACKED: usize = 4_096;

/// The SYNs forwarded recently, and the usual time from a SYN to the caller's next packet.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    sent: VecDeque<(Duration, Key)>,
    /// Smoothed mean and mean deviation of the time from a SYN to the caller's next packet, in seconds;
    /// `None` before the first sample.
    estimate: Option<(f64, f64)>,
}

impl Tracker {
    /// Records a SYN that was forwarded.
    pub(super) fn sent(&mut self, key: Key, now: Duration) {
        if self.sent.len() < MAX_TRACKED {
            self.sent.push_back((now, key));
        }
    }

    /// Records that the next packet of a flow followed its SYN after `took`.
    pub(super) fn opened(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let error = took - mean;
                (
                    mean + MEAN_GAIN * error,
                    deviation + DEVIATION_GAIN * (error.abs() - deviation),
                )
            }
        });
    }

    /// Takes the SYNs for which the wait is over, with the times at which they were forwarded.
    pub(super) fn due(&mut self, now: Duration) -> Vec<(Duration, Key)> {
        let wait = self.wait();
        let due = self.sent.iter().take_while(|(at, _)| now >= *at + wait);
        let count = due.count();
        self.sent.drain(..count).collect()
    }

    /// How long to wait for the packet that follows a SYN.
    fn wait(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return MAX_WAIT;
        };
        let wait = Duration::try_from_secs_f64(mean + DEVIATIONS * deviation);
        wait.unwrap_or(MAX_WAIT).clamp(MIN_WAIT, MAX_WAIT)
    }
}
