//! What the roster reports, for the log and for peers: leases of a service's servers that lapse together, and
//! cookies that several servers have.

use std::time::Duration;

use acacia_code::Code;
use acacia_cookie::roster::{claim, lapse::Event};

use super::Core;
use crate::cookie::message::{Claim, Known};

/// Maximum number of claims in one message. With the other parts of a probe, the message fits into one
/// Ethernet frame.
const MAX_CLAIMS: usize = 2;

impl Core {
    /// Logs the lapses that began or ended with the last snapshot.
    pub(super) fn log_lapses(&mut self) {
        for event in self.roster.take_lapses() {
            match event {
                Event::Lapsed {
                    service,
                    missing,
                    ready,
                } => log::warn!(
                    "event=servers-lapsed service={service} missing={missing} ready={ready}"
                ),
                Event::Restored {
                    service,
                    ready,
                    lost,
                } => {
                    log::info!("event=servers-restored service={service} ready={ready} lost={lost}")
                }
            }
        }
    }

    /// Logs the servers whose entries another writer has overwritten.
    pub(super) fn log_overwritten(&mut self) {
        let code = Code::EntryMalformed;
        for id in self.roster.take_overwritten() {
            log::warn!("event=entry-overwritten code={code} server={id}");
        }
    }

    /// Logs which server keeps a cookie that several servers have, if that has changed with the last
    /// snapshot.
    pub(super) fn log_elections(&mut self) {
        for election in self.roster.take_elections() {
            let (cookie, holder) = (election.cookie.bits(), &election.holder);
            let (servers, contested) = (election.servers.join(","), election.is_contested);
            log::info!(
                "event=cookie-shared cookie={cookie:08x} holder={holder} contested={contested} servers={servers}"
            );
        }
    }

    /// A few of the claims to cookies that several servers have, for messages to peers. If there are more,
    /// each time is the turn of others.
    pub(super) fn some_claims(&self, now: Duration) -> Vec<Claim> {
        let mut claims = self.roster.claims(now);
        if claims.len() > MAX_CLAIMS {
            let first = now.as_millis() as usize % claims.len();
            claims.rotate_left(first);
            claims.truncate(MAX_CLAIMS);
        }
        claims.into_iter().map(Claim::from).collect()
    }

    /// Takes over a peer's claims, which are few. A peer that knows less than this balancer may not know that a server has
    /// left since.
    pub(super) fn adopt_claims(
        &mut self,
        claims: Vec<Claim>,
        known: &Known,
        now: Duration,
    ) -> bool {
        if claims.is_empty() || known.position.revision < self.catalog.revision() {
            return false;
        }
        // The claims are compared with what is known, which the roster may not have taken over yet.
        self.roster.update(&self.catalog, now);
        let claims = claims.into_iter().take(MAX_CLAIMS);
        let claims = claims.map(claim::Claim::from).collect();
        self.roster.adopt(claims, now)
    }
}
