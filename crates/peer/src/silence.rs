use std::time::Duration;

/// Decides when a connection has gone silent and has to be replaced.
///
/// A device between two balancers, such as a NAT or a firewall, may lose the state of an open
/// connection. The connection then carries no data any more, while a new one would work. TCP
/// notices this after many minutes. The peer's echo shows it within seconds, since it doesn't
/// advance although we send.
///
/// The echo arrives on the connection that the peer has opened to us. If that is the silent one, we
/// replace ours in vain. The peer still receives our frames, but they don't echo what it sends, so
/// it replaces the connection that is at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Detector {
    /// The first frame on this connection that the peer has not confirmed by an echo of it or of a
    /// later one: its sequence number, and the time since which its echo is awaited.
    unechoed: Option<(u64, Duration)>,
    /// Sequence number of the latest frame sent.
    latest: u64,
    /// Number of replacements since the last echo.
    failures: u32,
}

/// Maximum number of doublings of the timeout. 4: up to sixteen times the first one.
const MAX_DOUBLINGS: u32 = 4;
/// Largest random extension of the timeout, as a fraction of it. Without it, balancers that lose
/// each other at the same moment would redial at the same moment every time.
const JITTER_FRACTION: f64 = 0.25;

impl Detector {
    /// Creates the detector of a connection that is about to be dialled.
    #[must_use]
    pub fn new() -> Self {
        Detector {
            unechoed: None,
            latest: 0,
            failures: 0,
        }
    }

    /// Records that a new connection is open. Frames that were lost on the previous one don't count
    /// against it.
    pub fn connected(&mut self) {
        self.unechoed = None;
    }

    /// Records that a frame is about to be sent.
    pub fn sent(&mut self, now: Duration, sequence: u64) {
        self.latest = self.latest.max(sequence);
        self.unechoed.get_or_insert((sequence, now));
    }

    /// Records an echo from the peer that names our current incarnation.
    pub fn echoed(&mut self, now: Duration, sequence: u64) {
        let Some((first, _)) = self.unechoed else {
            return;
        };
        if sequence >= first {
            self.failures = 0;
            // Later frames are still to be echoed. Their time starts anew, because the echo shows
            // that the connection worked a moment ago.
            let is_outstanding = sequence < self.latest;
            self.unechoed = is_outstanding.then_some((sequence + 1, now));
        }
    }

    /// Whether the connection has to be replaced now. `timeout` applies before the first
    /// replacement and doubles with each one that brings no echo, up to `max_timeout`. `random`,
    /// drawn once for each connection, is in 0..1 and extends the timeout by a quarter at most.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_peer::Detector;
    /// let (timeout, max_timeout) = (Duration::from_secs(2), Duration::from_secs(30));
    /// let mut detector = Detector::new();
    /// detector.sent(Duration::ZERO, 1);
    /// assert!(!detector.is_silent(Duration::from_secs(1), timeout, max_timeout, 0.5));
    /// assert!(detector.is_silent(Duration::from_secs(3), timeout, max_timeout, 0.5));
    /// ```
    #[must_use]
    pub fn is_silent(
        &self,
        now: Duration,
        timeout: Duration,
        max_timeout: Duration,
        random: f64,
    ) -> bool {
        let wait = timeout * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let wait = wait
            .min(max_timeout.max(timeout))
            .mul_f64(1.0 + JITTER_FRACTION * random);
        let since = self.unechoed.map(|(_, since)| since);
        since.is_some_and(|since| now.saturating_sub(since) > wait)
    }

    /// Records that the connection is being replaced.
    pub fn replaced(&mut self) {
        self.unechoed = None;
        self.failures += 1;
    }
}

impl Default for Detector {
    fn default() -> Self {
        Detector::new()
    }
}
