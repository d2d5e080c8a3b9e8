use acacia_wire::collections::Map;
use acacia_wire::control::Envelope;

use crate::{Echo, Error};

/// Maximum number of remembered senders. Four times the largest group: replaced balancers are
/// remembered for a while, so that recorded frames of theirs are still refused.
const MAX_SENDERS: usize = 256;

/// Rejects frames that are not newer than the last one accepted from the same sender.
#[derive(Debug, Default)]
pub struct Filter {
    /// For each sender its last accepted frame, and the value of `accepted` at that frame.
    last: Map<u16, (Echo, u64)>,
    /// Number of accepted frames. It orders the senders by when they were last heard from.
    accepted: u64,
}

impl Filter {
    /// Accepts a frame that is newer than all earlier ones of its sender. If too many senders are
    /// remembered, the one not heard from for the longest time is forgotten.
    ///
    /// ```
    /// use acacia_peer::{Error, Filter};
    /// use acacia_wire::control::Envelope;
    /// let envelope = Envelope { sender: 1, incarnation: 5, sequence: 9 };
    /// let mut filter = Filter::default();
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
        if self.last.len() >= MAX_SENDERS && !self.last.contains_key(&sender) {
            let oldest = self.last.iter().min_by_key(|(_, (_, accepted))| *accepted);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.last.remove(&id));
        }
        self.accepted += 1;
        self.last.insert(
            sender,
            (
                Echo {
                    incarnation,
                    sequence,
                },
                self.accepted,
            ),
        );
        Ok(())
    }

    /// The last accepted frame of a sender, as the echo to send to it.
    #[must_use]
    pub fn last(&self, sender: u16) -> Option<Echo> {
        self.last.get(&sender).map(|(echo, _)| *echo)
    }
}
