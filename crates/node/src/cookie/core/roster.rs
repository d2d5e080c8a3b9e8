//! Logs what the roster reports: leases of a service's servers that lapse together, and cookies that several
//! servers have.

use acacia_cookie::roster::lapse::Event;

use super::Core;

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
}
