//! Servers that fail their requests: what is reported to their observers, and what these tell.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::spread::chosen;
use acacia_cookie::{Snapshot, cookie, failing, speed};

use super::{Core, Outcome};
use crate::cookie::message::{Failure, Outgoing};

/// Observers of a server, in its own data centre. Two, so that one may die or be cut off.
const OBSERVERS: usize = 2;
/// Failures named in one message: with 25 bytes each, it stays below an Ethernet frame.
const MAX_FAILURES: usize = 32;

impl Core {
    /// Reports how the requests of servers that fail some of them ended here.
    pub(super) fn report_failures(&mut self, seen: &[speed::Count], now: Duration) -> Outcome {
        let mut reports: BTreeMap<SocketAddrV4, Vec<Failure>> = BTreeMap::new();
        for speed::Count { server, count } in seen {
            if !self.failing.should_report(server, count.failed, now) {
                continue;
            }
            let Some(known) = self.roster.get(server) else {
                continue;
            };
            let (centre, key) = (&known.data_centre, cookie::hash(server));
            for observer in chosen(&self.own, &self.peers, centre, key, OBSERVERS) {
                let failure = Failure {
                    server: Arc::clone(server),
                    failed: count.failed,
                    answered: count.answered,
                };
                reports.entry(observer).or_default().push(failure);
            }
        }
        let own = reports.remove(&self.own.address).unwrap_or_default();
        let mut outcome = self.observe(&own, now);
        for (observer, failures) in reports {
            for failures in failures.chunks(MAX_FAILURES) {
                let mut message = self.empty_message(now);
                message.failures = failures.to_vec();
                let to = vec![observer];
                outcome.outgoing.push(Outgoing { to, message });
            }
        }
        outcome
    }

    /// Takes in, as an observer, how servers' requests ended; tells the data centre of those that fail.
    pub(super) fn observe(&mut self, failures: &[Failure], now: Duration) -> Outcome {
        let mut failing = Vec::new();
        for Failure {
            server,
            failed,
            answered,
        } in failures
        {
            let known = self.roster.holds(server);
            if known && self.observer.add(server, *failed, *answered, now) {
                log::warn!("event=server-failing server={server} by=reports");
                failing.push(Arc::clone(server));
            }
        }
        let outgoing =
            self.messages_to_data_centre(&failing, now, |message, named| message.failing = named);
        let changed = self.mark_failing(&failing, now);
        Outcome {
            outgoing,
            changed,
            ..Outcome::default()
        }
    }

    /// Takes in an observer's verdict; true if a server was not known to fail.
    pub(super) fn mark_failing(&mut self, servers: &[Arc<str>], now: Duration) -> bool {
        let mut changed = false;
        for server in servers.iter().filter(|server| self.roster.holds(server)) {
            if self.failing.mark(server, now) {
                log::info!("event=server-avoided server={server}");
                changed = true;
            }
        }
        changed
    }

    /// Lowers the weight of servers that fail their requests; gives when that ends for the next.
    pub(super) fn lower_failing_weights(
        &mut self,
        snapshot: &mut Snapshot,
        now: Duration,
    ) -> Option<Duration> {
        self.failing.sweep(now);
        self.observer.sweep(now);
        for server in &mut snapshot.servers {
            server.failing = self.failing.is_failing(&server.id, now);
        }
        failing::lower_weights(snapshot);
        self.failing.next_expiry()
    }
}
