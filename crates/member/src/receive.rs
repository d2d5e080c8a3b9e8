use std::time::Duration;

use crate::record::Record;
use crate::{Contact, Echo, Event, Group, Heartbeat, MAX_GROUP, Refusal, State};

impl Group {
    /// Applies a heartbeat. `sender` and `incarnation` come from the frame's envelope. A refused
    /// heartbeat has no effect beyond advancing the time, and its payload must not be used.
    pub fn receive(
        &mut self,
        now: Duration,
        sender: u16,
        incarnation: u64,
        heartbeat: &Heartbeat,
    ) -> Result<(), Refusal> {
        self.advance(now);
        if sender == self.contact.id {
            return Err(Refusal::Own);
        }
        let own = self.incarnation;
        let longest = self.settings.interval_for(MAX_GROUP);
        let record = self.record_or_insert(sender, now).ok_or(Refusal::Full)?;
        let restarted = check_order(record, incarnation, heartbeat.number)?;
        if restarted {
            self.events.push(Event::Restarted {
                id: sender,
                incarnation,
            });
            self.discard_proof(now, sender);
        }
        let record = self.record_or_insert(sender, now).ok_or(Refusal::Full)?;
        record.incarnation = Some(incarnation);
        record.number = heartbeat.number;
        record.heard = Some(now);
        record.phase = heartbeat.phase;
        record.revision = heartbeat.revision;
        record.table = heartbeat.table;
        record.interval = Duration::from_millis(heartbeat.interval.into()).min(longest);
        record.ask.clone_from(&heartbeat.ask);
        record.hear.clone_from(&heartbeat.hear);
        record.urgent |= heartbeat.prompt;
        self.apply_echo(now, sender, own, heartbeat.echo);
        if let Some(intro) = &heartbeat.intro {
            self.apply_contact(now, &intro.sender, sender);
            for other in &intro.others {
                self.apply_contact(now, other, sender);
            }
        }
        self.update(now, sender);
        Ok(())
    }

    /// Applies the echo of one of our heartbeats, which proves that the peer was alive after we sent
    /// it.
    fn apply_echo(&mut self, now: Duration, sender: u16, own: u64, echo: Option<Echo>) {
        let interval = self.interval();
        let Some(record) = self.records.get_mut(&sender) else {
            return;
        };
        match echo {
            Some(echo) if echo.incarnation == own => {
                record.acknowledged = record.acknowledged.max(echo.number);
                record.echoed = record.echoed.max(record.sent_at(echo.number));
                let bound = record.freshness_timeout(&self.settings, interval);
                record.proven |= record.is_fresh(now, bound);
            }
            Some(echo) if echo.incarnation > own => {
                self.outdated = self.outdated.max(Some(echo.incarnation));
            }
            _ => {}
        }
        // At first contact and after a partition, an immediate exchange proves both sides alive in
        // one round trip instead of two intervals.
        if !record.proven {
            record.urgent = true;
            record.prompt = true;
        }
    }

    /// Applies contact data. A member's own data replaces that of the platform's list; data from
    /// other members is used only if none is known yet.
    fn apply_contact(&mut self, now: Duration, contact: &Contact, sender: u16) {
        if let Some(record) = self.record_or_insert(contact.id, now)
            && (contact.id == sender || record.contact.is_none())
        {
            record.contact = Some(contact.clone());
        }
    }
}

/// Returns whether the heartbeat belongs to a new incarnation, or why it is refused.
fn check_order(record: &Record, incarnation: u64, number: u64) -> Result<bool, Refusal> {
    match record.incarnation {
        Some(known) if incarnation < known => Err(Refusal::Older),
        Some(known) if incarnation == known && number <= record.number => Err(Refusal::Replayed),
        Some(known) => Ok(incarnation > known),
        None => Ok(false),
    }
}

impl Group {
    /// Updates one member's state.
    pub(crate) fn update(&mut self, now: Duration, id: u16) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let (from, to) = (record.state, self.evaluate(now, record));
        if let Some(record) = self.records.get_mut(&id)
            && from != to
        {
            if from.is_heard() && !to.is_heard() {
                record.unheard_since = record.heard.unwrap_or(now);
                record.proven = false;
            }
            record.state = to;
            self.events.push(Event::Changed {
                id,
                from: Some(from),
                to,
            });
        }
    }

    fn evaluate(&self, now: Duration, record: &Record) -> State {
        let interval = self.interval();
        let timeout = record.freshness_timeout(&self.settings, interval);
        let arriving = record.is_arriving(now, timeout);
        if arriving && record.proven {
            return record.phase.into();
        }
        // Its heartbeats arrive, but it has not echoed a recent one of ours. That is no reason to
        // declare it dead, nor to take a dead member back.
        if arriving || record.state == State::Dead {
            return if record.state == State::Dead {
                State::Dead
            } else {
                State::Unheard
            };
        }
        let waited = now.saturating_sub(record.last_sign_of_life());
        let stopped = record.is_ending() && waited > timeout;
        let timed_out = waited > record.death_timeout(&self.settings, interval)
            && !self.is_heard_by_others(record.id);
        if stopped || timed_out {
            State::Dead
        } else {
            State::Unheard
        }
    }

    /// Whether any heard member reports that it hears this one.
    fn is_heard_by_others(&self, id: u16) -> bool {
        let mut heard = self.records.values().filter(|other| other.state.is_heard());
        heard.any(|other| other.hear.contains(&id))
    }
}
