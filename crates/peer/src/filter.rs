use acacia_wire::collections::Map;
use acacia_wire::control::Envelope;

use crate::{Echo, Error};

/// Senders that are remembered. Four times the largest group: replaced balancers stay known for a
/// while, so that their recorded frames stay refused.
const MOST_SENDERS: usize = 256;

/// Drops frames that were seen before, or are older than one that was.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    last: Map<u16, (Echo, u64)>,
    count: u64,
}

impl ReplayFilter {
    /// Accepts a frame that is newer than all before it from its sender.
    ///
    /// ```
    /// use acacia_peer::{Error, ReplayFilter};
    /// use acacia_wire::control::Envelope;
    /// let envelope = Envelope { sender: 1, incarnation: 5, sequence: 9 };
    /// let mut filter = ReplayFilter::default();
    /// assert_eq!(filter.accept(&envelope), Ok(()));
    /// assert_eq!(filter.accept(&envelope), Err(Error::Replayed));
    /// ```
    pub fn accept(&mut self, envelope: &Envelope) -> Result<(), Error> {
        let Envelope {
            sender,
            incarnation,
            sequence,
        } = *envelope;
        if let Some((last, _)) = self.last.get(&sender)
            && (incarnation, sequence) <= (last.incarnation, last.sequence)
        {
            return Err(Error::Replayed);
        }
        if self.last.len() >= MOST_SENDERS && !self.last.contains_key(&sender) {
            let oldest = self.last.iter().min_by_key(|(_, (_, count))| *count);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.last.remove(&id));
        }
        self.count += 1;
        self.last.insert(
            sender,
            (
                Echo {
                    incarnation,
                    sequence,
                },
                self.count,
            ),
        );
        Ok(())
    }

    /// The last accepted frame of a sender, to be echoed to it.
    #[must_use]
    pub fn last(&self, sender: u16) -> Option<Echo> {
        self.last.get(&sender).map(|(echo, _)| *echo)
    }
}
