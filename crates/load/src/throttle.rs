use std::time::Duration;

/// Time constant with which outcomes are forgotten.
const MEMORY: Duration = Duration::from_secs(1);
/// How many requests may be asked for each one that is served before new ones are refused: a server that
/// fails now and then is no overload.
const TOLERANCE: f64 = 1.3;
/// Requests that may be turned away beyond that before any is refused: by chance alone, some servers are
/// full for a moment while others have room.
const SLACK: f64 = 4.0;

/// Refuses a part of the new requests to a service whose servers turn requests away, so that the rest is
/// served (adaptive throttling). A server with a short queue turns requests away long before its answers
/// are late, and answer times then show nothing of the overload.
///
/// Refused requests count among those asked for. So the part grows with the demand, and what is passed on
/// stays close above what is served. An urgent request is refused only when all others are.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Throttle {
    asked: f64,
    served: f64,
    /// New requests that came, urgent or not.
    urgent: f64,
    other: f64,
    at: Duration,
}

impl Throttle {
    /// A request was served.
    pub fn served(&mut self, now: Duration) {
        self.fade(now);
        self.asked += 1.0;
        self.served += 1.0;
    }

    /// A server has turned a request away.
    pub fn turned_away(&mut self, now: Duration) {
        self.fade(now);
        self.asked += 1.0;
    }

    /// A new request comes; true if it is refused. `draw` is its number from 0 to 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::throttle::Throttle;
    /// let (mut throttle, now) = (Throttle::default(), Duration::ZERO);
    /// for _ in 0..50 {
    ///     throttle.served(now);
    ///     throttle.turned_away(now);
    /// }
    /// assert!(throttle.refuses(false, 0.3, now));
    /// assert!(!throttle.refuses(false, 0.6, now));
    /// ```
    pub fn refuses(&mut self, urgent: bool, draw: f64, now: Duration) -> bool {
        self.fade(now);
        let came = if urgent {
            &mut self.urgent
        } else {
            &mut self.other
        };
        *came += 1.0;
        let refused = draw < self.part(urgent, now);
        self.asked += f64::from(u8::from(refused));
        refused
    }

    /// The part of new requests that is to be refused.
    #[must_use]
    pub fn part(&self, urgent: bool, now: Duration) -> f64 {
        let keep = self.keep(now);
        let (asked, served) = (self.asked * keep, self.served * keep);
        let excess = asked - TOLERANCE * served - SLACK;
        if excess <= 0.0 {
            return 0.0;
        }
        let part = excess / asked;
        let others = if self.urgent > 0.0 {
            self.other / (self.other + self.urgent)
        } else {
            1.0
        };
        if urgent {
            ((part - others) / (1.0 - others).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
        } else {
            (part / others.max(f64::MIN_POSITIVE)).min(1.0)
        }
    }

    fn fade(&mut self, now: Duration) {
        let keep = self.keep(now);
        for sum in [
            &mut self.asked,
            &mut self.served,
            &mut self.urgent,
            &mut self.other,
        ] {
            *sum *= keep;
        }
        self.at = self.at.max(now);
    }

    fn keep(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at);
        (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
