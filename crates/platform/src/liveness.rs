//! Whether a connection to the platform has gone silent.

use std::time::Duration;

/// What is known of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    /// When the last answer came in, or the connection was opened.
    last_answer: Duration,
}

impl Liveness {
    /// A connection opened at `now`, counted from any fixed start.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Liveness { last_answer: now }
    }

    /// An answer has come in.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer = self.last_answer.max(now);
    }

    /// Whether a call that was sent at `sent` and is now past its deadline condemns the
    /// connection.
    ///
    /// Something between the two ends may have lost track of the connection: packets vanish and
    /// nobody is told, while new connections work. One notices by calls that time out with
    /// nothing else answered since they were sent. A connection on which others were answered is
    /// only slow, and replacing it would add load to a slow platform.
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
