//! Servers that have just started, of services that limit what such a server gets.

use std::time::Duration;

use acacia_catalog::{
    route::{Config, Warmup},
    server,
};

use super::{Known, Roster};
use crate::{cold::Ration, snapshot::Snapshot};

/// What is sent to servers that have just started, of services with a limit on them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimits {
    /// Factor on the requests a second that the operators state.
    pub overshoot: f64,
    /// Requests a second beyond them.
    pub slack: f64,
    /// Balancers of the fleet, this one included; none as long as this one can't know.
    pub balancers: Option<u32>,
}

impl Default for WarmupLimits {
    fn default() -> Self {
        WarmupLimits {
            overshoot: 1.0,
            slack: 0.0,
            balancers: None,
        }
    }
}

impl Roster {
    /// Sets what is sent to servers that have just started.
    pub fn set_warmup_limits(&mut self, warming: WarmupLimits) {
        self.warming = warming;
    }

    /// A server that was silent answers again: it may have started anew, and its entry may not say so yet.
    pub fn suspect_restart(&mut self, id: &str, now: Duration) {
        self.suspect_cold(now, |server| &*server.id == id);
    }

    /// Takes servers for cold for as long as one of their service is after its start.
    pub(super) fn suspect_cold(&mut self, now: Duration, which: impl Fn(&server::Server) -> bool) {
        let config = self.config.as_deref();
        for known in self.servers.values_mut() {
            if let Some(warmup) = config.and_then(|config| warmup(config, &known.server))
                && which(&known.server)
            {
                let end = now + Duration::from_millis(warmup.time_ms.into());
                known.suspect = known.suspect.max(end);
            }
        }
    }

    /// Whether a server has just started, or may have, and its service limits what such a server gets.
    fn is_limited(&self, known: &Known, now: Duration) -> bool {
        let is_cold = known.warm.max(known.suspect) > now;
        let config = self.config.as_deref();
        is_cold && config.is_some_and(|config| warmup(config, &known.server).is_some())
    }

    /// Takes the limited servers out of those that take any new flow.
    pub(super) fn separate_cold(&self, snapshot: &mut Snapshot, known: &[&Known], now: Duration) {
        let Some(config) = &self.config else {
            return;
        };
        for pool in &mut snapshot.pools {
            let is_limited = |position: &u32| self.is_limited(known[*position as usize], now);
            pool.cold = pool
                .open
                .extract_if(.., |position| is_limited(position))
                .collect();
            let limit = config.warmups.iter();
            let mut limit = limit.filter(|warmup| warmup.service == pool.service);
            pool.ration = limit.next().and_then(|warmup| self.ration(warmup));
        }
    }

    fn ration(&self, warmup: &Warmup) -> Option<Ration> {
        let WarmupLimits {
            overshoot,
            slack,
            balancers,
        } = self.warming;
        Some(Ration {
            bound: f64::from(warmup.requests) / 1_000.0 * overshoot + slack,
            balancers: balancers?,
        })
    }
}

/// The limit on a server that has just started.
fn warmup<'a>(config: &'a Config, server: &server::Server) -> Option<&'a Warmup> {
    let mut limits = config.warmups.iter();
    limits.find(|warmup| warmup.service == server.service)
}
