use std::net::SocketAddr;
use std::time::Duration;

use crate::record::Record;
use crate::{Contact, Echo, Group, Heartbeat, Intro, State};

/// A heartbeat to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: u16,
    /// Its control address.
    pub address: SocketAddr,
    /// What to send.
    pub heartbeat: Heartbeat,
}

impl Group {
    /// Updates all member states and returns the heartbeats that are due. `payload` supplies the
    /// data of other crates for each receiver. The heartbeats belong to the [`Group::incarnation`]
    /// after the call, which may have changed in it.
    pub fn tick(
        &mut self,
        now: Duration,
        mut payload: impl FnMut(u16) -> Vec<u8>,
    ) -> Vec<Outgoing> {
        self.advance(now);
        let ids: Vec<u16> = self.records.keys().copied().collect();
        for id in &ids {
            self.update(now, *id);
        }
        self.forget_expired(now);
        let due: Vec<u16> = ids.into_iter().filter(|id| self.is_due(now, *id)).collect();
        if due.is_empty() {
            return Vec::new();
        }
        self.number += 1;
        due.into_iter()
            .filter_map(|id| self.outgoing(now, id, payload(id)))
            .collect()
    }

    fn forget_expired(&mut self, now: Duration) {
        let expired = |record: &&Record| {
            record.state == State::Dead
                && now.saturating_sub(record.unheard_since) > self.settings.dead_retention
                && record.listed != crate::record::Listed::Live
        };
        let expired: Vec<u16> = self
            .records
            .values()
            .filter(expired)
            .map(|record| record.id)
            .collect();
        expired.into_iter().for_each(|id| self.forget(id));
    }

    fn is_due(&self, now: Duration, id: u16) -> bool {
        let Some(record) = self
            .records
            .get(&id)
            .filter(|record| record.contact.is_some())
        else {
            return false;
        };
        let Some(last) = record.last_sent() else {
            return true;
        };
        // Unheard members have a separate budget, as large as that of the heard ones, so that they
        // don't slow down the heartbeats to those.
        let unheard = self.settings.interval_for(self.records.len());
        let gap = match record.state {
            _ if record.urgent => self.settings.min_gap,
            State::Dead => unheard * self.settings.probe_intervals,
            State::Unheard => unheard,
            _ => self.interval(),
        };
        // Rounds to the nearest tick. Rounding every interval up to the next one would use up part
        // of the reserve in the timeouts.
        now.saturating_sub(last) + self.settings.tick / 2 >= gap
    }

    fn outgoing(&mut self, now: Duration, id: u16, payload: Vec<u8>) -> Option<Outgoing> {
        let record = self.records.get(&id)?;
        let address = record.contact.as_ref()?.address;
        let heartbeat = Heartbeat {
            number: self.number,
            phase: self.phase,
            echo: record.incarnation.map(|incarnation| Echo {
                incarnation,
                number: record.number,
            }),
            ask: self.unheard(),
            hear: self.heard_among(&record.ask),
            interval: u32::try_from(self.interval().as_millis()).unwrap_or(u32::MAX),
            prompt: record.prompt,
            revision: self.revision,
            table: self.table,
            intro: (record.acknowledged == 0).then(|| self.intro(id)),
            payload,
        };
        let record = self.records.get_mut(&id)?;
        record.urgent = false;
        record.prompt = false;
        record.remember_sent(self.number, now);
        Some(Outgoing {
            to: id,
            address,
            heartbeat,
        })
    }

    fn unheard(&self) -> Vec<u16> {
        let unheard = self
            .records
            .values()
            .filter(|record| record.state == State::Unheard);
        unheard.map(|record| record.id).collect()
    }

    fn heard_among(&self, asked: &[u16]) -> Vec<u16> {
        let heard = |id: &u16| {
            self.records
                .get(id)
                .is_some_and(|record| record.state.is_heard())
        };
        asked.iter().copied().filter(heard).collect()
    }

    fn intro(&self, receiver: u16) -> Intro {
        let others = self.living().filter(|record| record.id != receiver);
        let others: Vec<Contact> = others.filter_map(|record| record.contact.clone()).collect();
        Intro {
            sender: self.contact.clone(),
            others,
        }
    }
}
