use std::time::Duration;

use crate::{
    limits::Limits,
    plan::Rates,
    pool::{Mark, Pool},
};

/// A bucket of work, in flows.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    depth: f64,
}

impl Bucket {
    fn refill(&mut self, rate: f64, time: Duration, least: f64, passed: f64) {
        self.depth = (rate * time.as_secs_f64()).max(least);
        self.tokens = (self.tokens + rate * passed).min(self.depth);
    }

    /// Takes one, if need be from the future, but never more of it than the depth: work that was
    /// guaranteed to others is paid back by borrowers, for a bounded time.
    fn drain(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.depth);
    }

    fn has(&self) -> bool {
        self.tokens >= 1.0
    }
}

/// Decides whether new flows of one traffic thread are within their shares.
///
/// Load: demand far beyond capacity, mostly trial (ten times the usual), while paying callers come
/// at their usual rate or return after a quiet hour. Harm: paying callers refused, or kept waiting
/// behind trial work. Three kinds of bucket prevent it:
///
/// - A class's own bucket fills at its share of the capacity. A flow that finds a token there is
///   let in whatever the others do: that is the guarantee.
/// - `total` fills at the whole capacity, and every flow let in drains it. What is left there is
///   idle share, and any class may borrow it. There is nothing to be taken back, since what an
///   owner uses is never left over in the first place.
/// - `lent` does the same at a lower rate and binds trial only, while paying callers are about. The
///   difference is headroom: work already lent can't be recalled from a server, but with headroom
///   paying callers wait for little of it. The first of them to return ends the lending of it at
///   once, without any plan or peer.
///
/// Each thread of each balancer enforces its part by its own arrivals, which the fabric and the
/// kernel spread evenly. Counts from peers only set the rates, so old ones can't let in more than
/// the rates they set.
#[derive(Debug, Clone)]
pub struct Shares {
    own: Vec<Bucket>,
    marks: Vec<Mark>,
    total: Bucket,
    lent: Bucket,
    last: Option<Duration>,
    paying: Option<Duration>,
}

impl Shares {
    /// Full buckets for each class of the pool.
    #[must_use]
    pub fn new(pool: &Pool, limits: &Limits) -> Self {
        let full = |depth| Bucket {
            tokens: depth,
            depth,
        };
        Shares {
            own: vec![full(limits.least); pool.classes.len()],
            marks: pool.classes.iter().map(|class| class.mark).collect(),
            total: full(limits.least_lent),
            lent: full(limits.least_lent),
            last: None,
            paying: None,
        }
    }

    /// Whether a new flow of `class` may run; takes the tokens if it may. `now` is the time since
    /// any fixed origin; if it goes back, no tokens are added.
    pub fn take(&mut self, class: usize, rates: &Rates, limits: &Limits, now: Duration) -> bool {
        self.refill(rates, limits, now);
        let Some(mark) = self.marks.get(class).copied() else {
            return false;
        };
        if mark == Mark::Paying {
            self.paying = Some(now);
        }
        let about = self
            .paying
            .is_some_and(|last| now.saturating_sub(last) <= limits.paying_window);
        let Some(own) = self.own.get_mut(class) else {
            return false;
        };
        if own.has() {
            own.drain();
        } else if !self.total.has() || (mark == Mark::Trial && about && !self.lent.has()) {
            return false;
        }
        self.total.drain();
        self.lent.drain();
        true
    }

    fn refill(&mut self, rates: &Rates, limits: &Limits, now: Duration) {
        let last = self.last.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(last).as_secs_f64();
        let rates_by_mark = self.marks.iter().zip(&rates.own);
        for (bucket, (mark, rate)) in self.own.iter_mut().zip(rates_by_mark) {
            let time = match mark {
                Mark::Paying => limits.burst,
                Mark::Trial => limits.burst_trial,
            };
            bucket.refill(*rate, time, limits.least, passed);
        }
        self.total
            .refill(rates.total, limits.slack, limits.least_lent, passed);
        self.lent
            .refill(rates.lent, limits.slack, limits.least_lent, passed);
    }
}
