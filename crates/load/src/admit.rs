use std::time::Duration;

use crate::{
    limits::Limits,
    plan::Rates,
    pool::{Mark, Pool},
};

/// Token bucket; a token is one flow.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    depth: f64,
}

impl Bucket {
    /// Sets the depth to the tokens of `time`, at least `least`, and adds those of `passed` seconds.
    fn refill(&mut self, rate: f64, time: Duration, least: f64, passed: f64) {
        self.depth = (rate * time.as_secs_f64()).max(least);
        self.tokens = (self.tokens + rate * passed).min(self.depth);
    }

    /// Takes a token. The balance may go negative, down to minus the depth: borrowers pay back work
    /// that was guaranteed to others, but only for a bounded time.
    fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.depth);
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}

/// Decides whether new flows of one traffic thread are within their shares.
///
/// Demand may be far beyond capacity, most of it from trial callers (ten times the usual), while
/// paying callers arrive at their usual rate or return after an idle hour. Paying callers must then
/// neither be refused nor wait behind trial work. Three kinds of bucket ensure that:
///
/// - The bucket of a class fills at its share of the capacity. A flow that finds a token there is
///   admitted whatever the other classes do; this is the guarantee.
/// - `total` fills at the whole capacity, and every admitted flow drains it. Tokens left there are
///   idle share, which any class may borrow. Nothing has to be reclaimed, since work that the owner
///   of a share uses never counts as idle.
/// - `lent` works like `total` at a lower rate, and applies to trial callers only, while paying
///   callers are active. The difference is headroom: admitted work can't be recalled from a server,
///   but with headroom paying callers wait for little of it. The first paying caller that returns
///   ends the lending of the headroom at once, without a new plan or a message from a peer.
///
/// Each thread of each balancer enforces its part of the rates on its own arrivals, which the fabric
/// and the kernel spread evenly. Counts from peers only set the rates, so outdated counts can't
/// admit more than those rates.
#[derive(Debug, Clone)]
pub struct Shares {
    own: Vec<Bucket>,
    marks: Vec<Mark>,
    total: Bucket,
    lent: Bucket,
    last_refill: Option<Duration>,
    last_paying: Option<Duration>,
}

impl Shares {
    /// Creates full buckets for the classes of the pool.
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
            last_refill: None,
            last_paying: None,
        }
    }

    /// Returns whether a new flow of `class` is admitted, and takes its tokens if it is. `now` is
    /// the time since any fixed origin; if it goes backwards, no tokens are added.
    pub fn take(&mut self, class: usize, rates: &Rates, limits: &Limits, now: Duration) -> bool {
        self.refill(rates, limits, now);
        let Some(mark) = self.marks.get(class).copied() else {
            return false;
        };
        if mark == Mark::Paying {
            self.last_paying = Some(now);
        }
        let paying_active = self
            .last_paying
            .is_some_and(|last| now.saturating_sub(last) <= limits.paying_window);
        let Some(own) = self.own.get_mut(class) else {
            return false;
        };
        if own.has_token() {
            own.take();
        } else if !self.total.has_token()
            || (mark == Mark::Trial && paying_active && !self.lent.has_token())
        {
            return false;
        }
        self.total.take();
        self.lent.take();
        true
    }

    fn refill(&mut self, rates: &Rates, limits: &Limits, now: Duration) {
        let last = self.last_refill.replace(now).unwrap_or(now);
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
