use std::time::Duration;

use crate::record::Record;
use crate::{Contact, Echo, Event, Group, Heartbeat, MAX_GROUP, Refusal, State};

impl Group {
    /// Takes in a heartbeat from the balancer `sender` in its `incarnation`, as the frame's
    /// envelope says. A refused heartbeat changes nothing, and its payload must not be used.
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
        let record = self.admit(sender, now).ok_or(Refusal::Full)?;
        let restarted = check(record, incarnation, heartbeat.number)?;
        if restarted {
            self.events.push(Event::Restarted {
                id: sender,
                incarnation,
            });
            self.distrust(now, sender);
        }
        let record = self.admit(sender, now).ok_or(Refusal::Full)?;
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
        self.take_echo(now, sender, own, heartbeat.echo);
        if let Some(intro) = &heartbeat.intro {
            self.take_contact(now, &intro.sender, sender);
            for other in &intro.others {
                self.take_contact(now, other, sender);
            }
        }
        self.update(now, sender);
        Ok(())
    }

    /// An echo of a heartbeat of ours proves that the peer lived after we had sent it.
    fn take_echo(&mut self, now: Duration, sender: u16, own: u64, echo: Option<Echo>) {
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
        // A first contact, or one after a partition: a prompt exchange settles it in one round
        // trip instead of in two intervals.
        if !record.proven {
            record.urgent = true;
            record.prompt = true;
        }
    }

    /// A member's own word on its address goes before the platform's, others' word only counts
    /// where nothing is known.
    fn take_contact(&mut self, now: Duration, contact: &Contact, sender: u16) {
        if let Some(record) = self.admit(contact.id, now)
            && (contact.id == sender || record.contact.is_none())
        {
            record.contact = Some(contact.clone());
        }
    }
}

/// Whether the heartbeat shows a restart, or is to be refused.
fn check(record: &Record, incarnation: u64, number: u64) -> Result<bool, Refusal> {
    match record.incarnation {
        Some(known) if incarnation < known => Err(Refusal::Older),
        Some(known) if incarnation == known && number <= record.number => Err(Refusal::Replayed),
        Some(known) => Ok(incarnation > known),
        None => Ok(false),
    }
}

impl Group {
    /// Brings one member's state up to date.
    pub(crate) fn update(&mut self, now: Duration, id: u16) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let (from, to) = (record.state, self.judge(now, record));
        if let Some(record) = self.records.get_mut(&id)
            && from != to
        {
            if from.is_heard() && !to.is_heard() {
                record.quiet = record.heard.unwrap_or(now);
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

    fn judge(&self, now: Duration, record: &Record) -> State {
        let interval = self.interval();
        let fresh = record.freshness_timeout(&self.settings, interval);
        let arriving = record.is_arriving(now, fresh);
        if arriving && record.proven {
            return record.phase.into();
        }
        // It reaches us, but has not shown that we reach it: no reason to call it dead, nor to
        // call a dead one back.
        if arriving || record.state == State::Dead {
            return if record.state == State::Dead {
                State::Dead
            } else {
                State::Unheard
            };
        }
        let waited = now.saturating_sub(record.last_sign());
        let ending = record.is_ending() && waited > fresh;
        let given_up = waited > record.death_timeout(&self.settings, interval)
            && !self.is_heard_by_others(record.id);
        if ending || given_up {
            State::Dead
        } else {
            State::Unheard
        }
    }

    /// Whether a member that is heard says that it hears this one itself.
    fn is_heard_by_others(&self, id: u16) -> bool {
        let mut heard = self.records.values().filter(|other| other.state.is_heard());
        heard.any(|other| other.hear.contains(&id))
    }
}
