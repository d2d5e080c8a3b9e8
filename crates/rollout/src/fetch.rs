//! Chooses the peer to fetch the next document from.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg64;

/// How long to wait for a peer's answer before asking another one. A document of a megabyte takes
/// tenths of a second between data centres, and several peers can be asked within the 8 s in which
/// a change has to be in force.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after an answer without a newer document. Without it, a peer that refuses immediately, and
/// is the only one with the newest version, would be asked in a loop.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The fetch in progress, if any. There is at most one: a second one would transfer the same
/// document over the same link, and use up the budget for control traffic twice.
#[derive(Debug, Default)]
pub(crate) struct Fetch {
    pending: Option<(u16, Duration)>,
    /// The peer whose fetch failed last, asked again only if no other peer has the version.
    failed_peer: Option<u16>,
    /// The earliest time of the next fetch.
    not_before: Duration,
}

impl Fetch {
    /// Chooses a peer among the holders of the newest version, unless a fetch is in progress or the
    /// last one failed a moment ago.
    ///
    /// The choice is random, since all balancers of a data centre learn of a change at the same
    /// time, and the watcher that announced it should not have to answer all of them.
    pub(crate) fn start(
        &mut self,
        holders: &[u16],
        now: Duration,
        random: &mut Pcg64,
    ) -> Option<u16> {
        if let Some((peer, since)) = self.pending {
            if now < since + TIMEOUT {
                return None;
            }
            self.failed_peer = Some(peer);
        }
        if now < self.not_before {
            return None;
        }
        let others = holders.iter().filter(|id| Some(**id) != self.failed_peer);
        let others: Vec<u16> = others.copied().collect();
        let choice = if others.is_empty() { holders } else { &others };
        if choice.is_empty() {
            return None;
        }
        let peer = choice[random.random_range(0..choice.len())];
        self.pending = Some((peer, now));
        Some(peer)
    }

    /// Records that a peer has answered, or has failed to. Ignored for a peer that was not asked,
    /// as a stream of late refusals could otherwise postpone the next fetch indefinitely.
    pub(crate) fn ended(&mut self, peer: u16, is_newer: bool, now: Duration) {
        if self.pending.is_none_or(|(asked, _)| asked != peer) {
            return;
        }
        self.pending = None;
        if !is_newer {
            self.failed_peer = Some(peer);
            self.not_before = now + RETRY_DELAY;
        }
    }
}
