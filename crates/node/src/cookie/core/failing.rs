//! Detection of servers that fail their requests: reports to their observers, and the observers'
//! verdicts.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{member::Member, spread::chosen};
use acacia_cookie::{Snapshot, cookie, failing, speed};

use super::{Core, Outcome};
use crate::cookie::message::{Failure, Outgoing};

/// Number of balancers that collect the request counts of a server, in the server's data centre.
/// Two, so that one may crash or be cut off.
const OBSERVERS: usize = 2;
/// Maximum number of failure counts in one message. At 25 bytes each, the message fits into one
/// Ethernet frame.
const MAX_FAILURES: usize = 32;

impl Core {
    /// Reports this balancer's request counts of servers that fail requests to the servers'
    /// observers.
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
            for observer in chosen(self.own(), self.peers(), centre, key, OBSERVERS) {
                let failure = Failure {
                    server: Arc::clone(server),
                    failed: count.failed,
                    answered: count.answered,
                };
                reports.entry(observer).or_default().push(failure);
            }
        }
        let own = reports.remove(&self.own().address).unwrap_or_default();
        let mut outcome = self.observe(&own, now);
        outcome.outgoing.extend(self.failure_messages(reports, now));
        outcome
    }

    fn failure_messages(
        &self,
        reports: BTreeMap<SocketAddrV4, Vec<Failure>>,
        now: Duration,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (observer, failures) in reports {
            for failures in failures.chunks(MAX_FAILURES) {
                let mut message = self.empty_message(now);
                message.failures = failures.to_vec();
                let to = vec![observer];
                outgoing.push(Outgoing { to, message });
            }
        }
        outgoing
    }

    /// Handles request counts of a peer. A balancer of another data centre knows only the
    /// representatives of this one, so a representative passes its counts on to the observers.
    pub(super) fn receive_failures(
        &mut self,
        failures: Vec<Failure>,
        from: &Member,
        now: Duration,
    ) -> Outcome {
        if from.data_centre == self.own().data_centre {
            return self.observe(&failures, now);
        }
        let mut reports: BTreeMap<SocketAddrV4, Vec<Failure>> = BTreeMap::new();
        for failure in failures {
            let key = cookie::hash(&failure.server);
            let centre = &self.own().data_centre;
            for observer in chosen(self.own(), self.peers(), centre, key, OBSERVERS) {
                reports.entry(observer).or_default().push(failure.clone());
            }
        }
        let own = reports.remove(&self.own().address).unwrap_or_default();
        let mut outcome = self.observe(&own, now);
        outcome.outgoing.extend(self.failure_messages(reports, now));
        outcome
    }

    /// Adds reported request counts as an observer, and announces servers found failing to the own
    /// data centre.
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
            self.messages_to_data_centre(&failing, now, |message, listed| message.failing = listed);
        let changed = self.mark_failing(&failing, now);
        Outcome {
            outgoing,
            changed,
            ..Outcome::default()
        }
    }

    /// Records an observer's verdict on failing servers. Returns true if any was not marked before.
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

    /// Lowers the weights of failing servers. Returns when the next verdict expires.
    pub(super) fn lower_failing_weights(
        &mut self,
        snapshot: &mut Snapshot,
        now: Duration,
    ) -> Option<Duration> {
        self.failing.sweep(now);
        self.observer.sweep(now);
        failing::lower_weights(snapshot, self.failing.failing(now));
        self.failing.next_expiry()
    }
}
