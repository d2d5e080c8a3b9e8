use std::time::Duration;

/// A token bucket over control bytes.
///
/// Load: a few KB/s for all control traffic of a balancer. Harm without it: the copies of pins
/// after a membership change would take the link from heartbeats, so that live balancers look
/// dead and more copies follow. Heartbeats and urgent messages always pass and are charged; bulk
/// waits until the balance is positive.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    balance: f64,
    at: Duration,
}

/// Debts that one urgent message can leave, in seconds of the rate. 10: a megabyte of
/// configuration would otherwise keep all bulk waiting for minutes.
const LONGEST_DEBT: f64 = 10.0;

impl Bucket {
    /// A full bucket with `rate` bytes a second and room for `burst` bytes.
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
            at: now,
        }
    }

    /// Whether a bulk message may pass now. A message larger than the balance passes and leaves a
    /// debt: nothing is too large to pass at all.
    pub fn has_room(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.balance = (self.balance + passed * self.rate).min(self.burst);
        self.balance > 0.0
    }

    /// Takes the bytes of a message that was sent.
    pub fn charge(&mut self, bytes: usize) {
        self.balance = (self.balance - bytes as f64).max(-LONGEST_DEBT * self.rate);
    }
}
