use std::time::Duration;

/// A token bucket for control bytes.
///
/// A balancer has a few KB/s for all its control traffic. Without a limit, the copies of pins after
/// a membership change would crowd out heartbeats, so that live balancers would be taken for dead
/// and even more pins would be copied. Heartbeats and urgent messages are always sent and charged
/// to the bucket; bulk messages wait until the balance is positive.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    balance: f64,
    /// When the balance was last brought up to date.
    updated: Duration,
}

/// Largest debt, in seconds of the rate. 10: without this bound, an urgent configuration of a
/// megabyte would delay all bulk messages for minutes.
const MAX_DEBT_SECONDS: f64 = 10.0;

impl Bucket {
    /// Creates a full bucket that gains `rate` bytes per second and holds at most `burst` bytes.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut bucket = acacia_peer::Bucket::new(1000, 500, Duration::ZERO);
    /// assert!(bucket.has_room(Duration::ZERO));
    /// bucket.charge(700);
    /// assert!(!bucket.has_room(Duration::from_millis(100)));
    /// assert!(bucket.has_room(Duration::from_millis(300)));
    /// ```
    #[must_use]
    pub fn new(rate: u32, burst: u32, now: Duration) -> Self {
        let burst = f64::from(burst);
        Bucket {
            rate: f64::from(rate),
            burst,
            balance: burst,
            updated: now,
        }
    }

    /// Whether a bulk message may be sent now. One that is larger than the balance may be sent too
    /// and makes the balance negative, so that messages of any size are sent eventually.
    pub fn has_room(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.balance = (self.balance + elapsed * self.rate).min(self.burst);
        self.balance > 0.0
    }

    /// Charges the bytes of a message that is sent.
    pub fn charge(&mut self, bytes: usize) {
        self.balance = (self.balance - bytes as f64).max(-MAX_DEBT_SECONDS * self.rate);
    }
}
