//! From which peer the next document is fetched.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg64;

/// How long a peer may take before the next one is asked. A document of a megabyte takes tenths
/// of a second between data centres; within the 8 s for a change, several peers can be asked.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after an answer that was of no use. Without it a peer that refuses at once, alone with
/// the newest version, would be asked in a loop.
const PAUSE: Duration = Duration::from_millis(250);

/// The fetch that is under way, if any. There is one at a time: a second would carry the same
/// document over the same link and spend the budget for control traffic twice.
#[derive(Debug, Default)]
pub(crate) struct Fetch {
    pending: Option<(u16, Duration)>,
    /// The peer that failed last.
    avoid: Option<u16>,
    /// No new one before this.
    not_before: Duration,
}

impl Fetch {
    /// Chooses among the holders of the newest version, unless one was asked a moment ago. At
    /// random: all balancers of a data centre hear of a change in the same instant, and the
    /// watcher that told them should not serve them all.
    pub(crate) fn begin(
        &mut self,
        holders: &[u16],
        now: Duration,
        random: &mut Pcg64,
    ) -> Option<u16> {
        if let Some((peer, since)) = self.pending {
            if now < since + TIMEOUT {
                return None;
            }
            self.avoid = Some(peer);
        }
        if now < self.not_before {
            return None;
        }
        let others = holders.iter().filter(|id| Some(**id) != self.avoid);
        let others: Vec<u16> = others.copied().collect();
        let choice = if others.is_empty() { holders } else { &others };
        if choice.is_empty() {
            return None;
        }
        let peer = choice[random.random_range(0..choice.len())];
        self.pending = Some((peer, now));
        Some(peer)
    }

    /// A peer has answered, or has been found not to. What was not asked for changes nothing: a
    /// stream of late refusals would put off the next fetch for ever.
    pub(crate) fn ended(&mut self, peer: u16, useful: bool, now: Duration) {
        if self.pending.is_none_or(|(asked, _)| asked != peer) {
            return;
        }
        self.pending = None;
        if !useful {
            self.avoid = Some(peer);
            self.not_before = now + PAUSE;
        }
    }
}
