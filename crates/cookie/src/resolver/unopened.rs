//! Openings that the caller's next packet should have followed by now.

use std::{collections::VecDeque, time::Duration};

use acacia_wire::flow::Key;

/// Longest wait for the packet that follows an opening: after it, the caller sends the opening again.
const MOST: Duration = Duration::from_millis(200);
/// Shortest wait, as packets wait for a busy balancer's processor.
const LEAST: Duration = Duration::from_millis(40);
/// Parts of a new time that go into the mean and into the deviation (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations beyond the mean that are waited for (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Most openings that are waited for. A flood of them shows silent servers without the rest.
const WAITING_MOST: usize = 4_096;

/// The openings that were sent on lately, and how long callers usually take to answer them.
#[derive(Debug, Default)]
pub(super) struct Unopened {
    sent: VecDeque<(Duration, Key)>,
    /// Mean time from an opening to the next packet and its mean deviation, in seconds; none before
    /// the first.
    usual: Option<(f64, f64)>,
}

impl Unopened {
    /// An opening was sent on.
    pub(super) fn sent(&mut self, key: Key, now: Duration) {
        if self.sent.len() < WAITING_MOST {
            self.sent.push_back((now, key));
        }
    }

    /// The next packet of a flow came so long after its opening.
    pub(super) fn opened(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.usual = Some(match self.usual {
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

    /// The openings that have been waited for long enough, and when they were sent on.
    pub(super) fn due(&mut self, now: Duration) -> Vec<(Duration, Key)> {
        let wait = self.wait();
        let due = self.sent.iter().take_while(|(at, _)| now >= *at + wait);
        let count = due.count();
        self.sent.drain(..count).collect()
    }

    fn wait(&self) -> Duration {
        let Some((mean, deviation)) = self.usual else {
            return MOST;
        };
        let wait = Duration::try_from_secs_f64(mean + DEVIATIONS * deviation);
        wait.unwrap_or(MOST).clamp(LEAST, MOST)
    }
}
