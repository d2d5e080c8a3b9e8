use std::time::Duration;

/// How long a suspected balancer has to refute the suspicion, if several others suspect it as well.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);
/// How long it has if nobody else suspects it: the suspecting balancer may be the one that is ill.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of further suspicions after which [`MIN_TIMEOUT`] applies.
const CONFIRMATIONS: usize = 2;

/// The suspicion that a balancer is dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    since: Duration,
    /// The balancers that suspect it, see [`super::Status::Suspected`].
    accusers: Vec<u16>,
}

impl Suspicion {
    /// A suspicion by one balancer.
    pub fn new(by: u16, now: Duration) -> Self {
        Suspicion {
            since: now,
            accusers: vec![by],
        }
    }

    /// Adds a balancer that suspects the same one. Returns true if that shortens the timeout.
    pub fn confirm(&mut self, by: u16) -> bool {
        let counts = !self.accusers.contains(&by) && self.accusers.len() <= CONFIRMATIONS;
        if counts {
            self.accusers.push(by);
        }
        counts
    }

    /// Whether a balancer is among those that suspect it.
    pub fn is_by(&self, balancer: u16) -> bool {
        self.accusers.contains(&balancer)
    }

    /// Delays the end of the suspicion, as this balancer could not hear a refutation for `paused`.
    pub fn postpone(&mut self, paused: Duration) {
        self.since += paused;
    }

    /// Whether the time for a refutation is over. `others` is the number of members that could confirm
    /// the suspicion.
    pub fn is_over(&self, others: usize, now: Duration) -> bool {
        now >= self.since + timeout(self.accusers.len() - 1, others)
    }
}

/// The time for a refutation. It falls with the logarithm of the number of confirmations, so the first
/// ones count most.
fn timeout(confirmations: usize, others: usize) -> Duration {
    let wanted = CONFIRMATIONS.min(others);
    if confirmations >= wanted {
        return MIN_TIMEOUT;
    }
    let part = (confirmations as f64 + 1.0).ln() / (wanted as f64 + 1.0).ln();
    MAX_TIMEOUT - (MAX_TIMEOUT - MIN_TIMEOUT).mul_f64(part)
}
