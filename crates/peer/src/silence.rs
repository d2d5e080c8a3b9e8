use std::time::Duration;

/// Decides when a connection has gone silent and is to be replaced.
///
/// Something between two balancers may lose track of an open connection: it then carries nothing,
/// for good, while a new one would work. TCP notices after many minutes. The peer's echo shows it
/// within seconds: it stays where it is although we send.
///
/// The echo travels on the peer's own connection to us. When that one is the silent one, we
/// replace ours in vain, and the peer, whom our frames reach without an echo of its own, replaces
/// the right one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilenceDetector {
    /// Sequence number and time of the first frame sent on this connection that the peer has not
    /// echoed, nor any later one.
    unechoed: Option<(u64, Duration)>,
    /// The latest frame sent on this connection.
    latest: u64,
    /// Connections replaced in a row without an echo.
    failures: u32,
}

/// Doublings of the wait, at most. 4: sixteen times.
const MOST_DOUBLINGS: u32 = 4;
/// Share of the wait that is random. Balancers that lost each other at one moment would otherwise
/// all dial at one moment, again and again.
const JITTER: f64 = 0.25;

impl SilenceDetector {
    /// The detector of a connection that is about to be dialled.
    #[must_use]
    pub fn new() -> Self {
        SilenceDetector {
            unechoed: None,
            latest: 0,
            failures: 0,
        }
    }

    /// Takes in that a new connection is open. What the one before lost says nothing of it.
    pub fn connected(&mut self) {
        self.unechoed = None;
    }

    /// Takes in that a frame is being sent.
    pub fn sent(&mut self, now: Duration, sequence: u64) {
        self.latest = self.latest.max(sequence);
        self.unechoed.get_or_insert((sequence, now));
    }

    /// Takes in the peer's echo of our present incarnation.
    pub fn echoed(&mut self, now: Duration, sequence: u64) {
        let Some((first, _)) = self.unechoed else {
            return;
        };
        if sequence >= first {
            self.failures = 0;
            // What was sent after the echoed frame is still awaited, from now on: the echo shows
            // that the connection was alive a moment ago.
            let rest = sequence < self.latest;
            self.unechoed = rest.then_some((sequence + 1, now));
        }
    }

    /// Whether to replace the connection now. `silent` is the wait before the first replacement,
    /// `longest` that before any later one; `random` in 0..1 is drawn once for each connection.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_peer::SilenceDetector;
    /// let (silent, longest) = (Duration::from_secs(2), Duration::from_secs(30));
    /// let mut detector = SilenceDetector::new();
    /// detector.sent(Duration::ZERO, 1);
    /// assert!(!detector.is_silent(Duration::from_secs(1), silent, longest, 0.5));
    /// assert!(detector.is_silent(Duration::from_secs(3), silent, longest, 0.5));
    /// ```
    #[must_use]
    pub fn is_silent(
        &self,
        now: Duration,
        silent: Duration,
        longest: Duration,
        random: f64,
    ) -> bool {
        let wait = silent * 2u32.pow(self.failures.min(MOST_DOUBLINGS));
        let wait = wait.min(longest.max(silent)).mul_f64(1.0 + JITTER * random);
        let since = self.unechoed.map(|(_, since)| since);
        since.is_some_and(|since| now.saturating_sub(since) > wait)
    }

    /// Takes in that the connection was replaced.
    pub fn replaced(&mut self) {
        self.unechoed = None;
        self.failures += 1;
    }
}

impl Default for SilenceDetector {
    fn default() -> Self {
        SilenceDetector::new()
    }
}
