//! Limits new flows to servers that have just started, for services with a configured warm-up
//! limit.

use std::{sync::Arc, time::Duration};

use acacia_catalog::{
    route::{self, Config},
    server,
};

use super::{Record, Roster};
use crate::cold;

/// How the configured request rates of cold servers are turned into limits for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Factor on the configured requests per second.
    pub overshoot: f64,
    /// Requests per second added to the product.
    pub slack: f64,
    /// Number of balancers in the fleet, including this one; `None` while it is not known.
    pub balancers: Option<u32>,
}

impl Default for Warmup {
    fn default() -> Self {
        Warmup {
            overshoot: 1.0,
            slack: 0.0,
            balancers: None,
        }
    }
}

impl Roster {
    /// Sets the limits on servers that have just started.
    pub fn set_warmup_limits(&mut self, limits: Warmup) {
        self.warmup_limits = limits;
    }

    /// Treats a server that was silent and answers again as cold. It may have restarted, and its
    /// entry may not show that yet.
    pub fn suspect_restart(&mut self, id: &str, now: Duration) {
        self.suspect_cold(now, |server| &*server.id == id);
    }

    /// Treats the servers of a data centre that could not be reached as cold; see
    /// [`Roster::suspect_restart`].
    pub fn suspect_restarts_in(&mut self, data_centre: &str, now: Duration) {
        self.suspect_cold(now, |server| &*server.data_centre == data_centre);
    }

    /// Treats the selected servers as cold for the configured warm-up time of their services.
    pub(super) fn suspect_cold(&mut self, now: Duration, which: impl Fn(&server::Server) -> bool) {
        let config = self.config.as_deref();
        for (id, known) in &mut self.servers {
            if let Some(warmup) = config.and_then(|config| warmup(config, &known.server))
                && which(&known.server)
            {
                let end = now + Duration::from_millis(warmup.time_ms.into());
                known.suspected_until = known.suspected_until.max(end);
                self.stale.insert(Arc::clone(id));
            }
        }
    }

    /// Whether a server has started recently, or may have, and its service has a warm-up limit.
    pub(super) fn is_limited(&self, known: &Record, now: Duration) -> bool {
        let is_cold = known.warm_at.max(known.suspected_until) > now;
        let config = self.config.as_deref();
        is_cold && config.is_some_and(|config| warmup(config, &known.server).is_some())
    }

    /// The limit of the whole fleet for each cold server of a service; `None` if it has none, or while the
    /// fleet's size is not known.
    pub(super) fn cold_limit(&self, service: &str) -> Option<cold::Limit> {
        let config = self.config.as_deref()?;
        let mut limits = config.warmups.iter();
        let warmup = limits.find(|warmup| *warmup.service == *service)?;
        let Warmup {
            overshoot,
            slack,
            balancers,
        } = self.warmup_limits;
        Some(cold::Limit {
            bound: f64::from(warmup.requests) / 1_000.0 * overshoot + slack,
            balancers: balancers?,
        })
    }
}

/// The warm-up limit of a server's service, if one is configured.
fn warmup<'a>(config: &'a Config, server: &server::Server) -> Option<&'a route::Warmup> {
    let mut limits = config.warmups.iter();
    limits.find(|warmup| warmup.service == server.service)
}
