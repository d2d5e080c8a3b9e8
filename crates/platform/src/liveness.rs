//! Detects connections to the platform that have gone silent.

use std::time::Duration;

/// Tracks when a connection last carried an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    /// When the last answer was received; at first when the connection was opened.
    last_answer: Duration,
}

impl Liveness {
    /// A connection opened at `now`, measured from any fixed start.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Liveness { last_answer: now }
    }

    /// Records that an answer was received at `now`.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer = self.last_answer.max(now);
    }

    /// Whether the connection is to be replaced after a call that was sent at `sent` has timed out.
    ///
    /// A middlebox may have dropped its state of the connection: packets are lost without an error
    /// to either end, while new connections work. The sign is a call that times out with no answer
    /// to any other call since it was sent. If other calls were answered, the platform is only
    /// slow, and replacing the connection would add to its load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_platform::liveness::Liveness;
    /// let second = Duration::from_secs;
    /// let mut connection = Liveness::new(second(0));
    /// assert!(connection.is_silent(second(1)));
    /// connection.record_answer(second(2));
    /// assert!(!connection.is_silent(second(1)));
    /// ```
    #[must_use]
    pub fn is_silent(&self, sent: Duration) -> bool {
        self.last_answer <= sent
    }
}
