use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::{Listed, Record};
use crate::{Cause, Contact, Event, Hint, MAX_GROUP, Member, Phase, Settings, State, View};

/// The group of balancers around this one.
#[derive(Debug)]
pub struct Group {
    pub(crate) settings: Settings,
    pub(crate) contact: Contact,
    pub(crate) incarnation: u64,
    pub(crate) phase: Phase,
    pub(crate) revision: u64,
    pub(crate) table: u64,
    /// The number of the last round of heartbeats.
    pub(crate) number: u64,
    /// When this incarnation began.
    pub(crate) born: Duration,
    /// When time last came in.
    pub(crate) last: Duration,
    pub(crate) records: BTreeMap<u16, Record>,
    pub(crate) events: Vec<Event>,
    /// A later incarnation of this balancer than its own, known to a peer.
    pub(crate) outdated: Option<u64>,
}

impl Group {
    /// A balancer that begins to join. `incarnation` must be higher than that of an earlier
    /// process with this id: the wall clock in milliseconds will do, and where that has gone back
    /// the peers' echoes put it right.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_member::{Contact, Group, Settings};
    /// let contact = Contact { id: 1, address: "127.0.0.1:7000".parse().unwrap(), data_centre: "hervanta".into() };
    /// let now = Duration::ZERO;
    /// let mut group = Group::new(Settings::default(), contact, 1, now);
    /// assert!(group.tick(now, |_peer| Vec::new()).is_empty(), "nobody to talk to");
    /// assert!(!group.view(now).is_sure(now), "too young");
    /// ```
    #[must_use]
    pub fn new(settings: Settings, contact: Contact, incarnation: u64, now: Duration) -> Self {
        Group {
            settings,
            contact,
            incarnation,
            phase: Phase::Joining,
            revision: 0,
            table: 0,
            number: 0,
            born: now,
            last: now,
            records: BTreeMap::new(),
            events: Vec::new(),
            outdated: None,
        }
    }

    /// Takes in the platform's list of VMs. Who was listed and no longer is, is taken for gone;
    /// who never was may be too new for the list.
    pub fn hint(&mut self, now: Duration, hints: &[Hint]) {
        for hint in hints {
            let Some(record) = self.admit(hint.contact.id, now) else {
                continue;
            };
            // While it is heard its own word counts; afterwards its id may have a new address.
            if record.contact.is_none() || !record.state.is_heard() {
                record.contact = Some(hint.contact.clone());
            }
            record.listed = if hint.leaving {
                Listed::Ending
            } else {
                Listed::Live
            };
        }
        for record in self.records.values_mut() {
            let listed = hints.iter().any(|hint| hint.contact.id == record.id);
            if !listed && record.listed != Listed::Never {
                record.listed = Listed::Ending;
            }
        }
    }

    /// Sets what this balancer says of itself, and tells the peers at once.
    pub fn set_phase(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.request_prompt_answers();
        }
    }

    /// Sets which configuration and tables this balancer has in force.
    pub fn set_versions(&mut self, revision: u64, table: u64) {
        self.revision = revision;
        self.table = table;
    }

    /// Lets the next tick send to every heard peer and ask for prompt answers: after a change
    /// that waits for acknowledgements.
    pub fn request_prompt_answers(&mut self) {
        for record in self
            .records
            .values_mut()
            .filter(|record| record.state.is_heard())
        {
            record.urgent = true;
            record.prompt = true;
        }
    }

    /// This balancer's incarnation. It changes when it has to join again.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What this balancer says of itself. It goes back to joining when it has to join again.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The group as of `now`.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let interval = self.interval();
        let member = |record: &Record| Member {
            id: record.id,
            address: record.contact.as_ref().map(|contact| contact.address),
            data_centre: record
                .contact
                .as_ref()
                .map(|contact| contact.data_centre.clone()),
            incarnation: record.incarnation,
            state: record.state,
            revision: record.revision,
            table: record.table,
            acknowledged: record.acknowledged,
            hears_us: record.is_fresh(now, record.freshness_timeout(&self.settings, interval)),
        };
        View {
            id: self.contact.id,
            incarnation: self.incarnation,
            phase: self.phase,
            members: self.records.values().map(member).collect(),
            sure_until: self.sure_until(now),
        }
    }

    /// Until when every member that is not dead stays fresh without a further heartbeat. None
    /// while this balancer is young: it may not know all members yet.
    fn sure_until(&self, now: Duration) -> Option<Duration> {
        let interval = self.interval();
        let bound = interval * self.settings.fresh_intervals;
        if now.saturating_sub(self.born) < bound {
            return None;
        }
        // Alone, it relies on its own ticks only.
        let alone = Some(self.last + bound);
        let freshness_timeout =
            |record: &Record| record.freshness_timeout(&self.settings, interval);
        let living = self
            .living()
            .map(|record| Some(record.echoed? + freshness_timeout(record)));
        living.fold(alone, |least, until| Some(least?.min(until?)))
    }

    pub(crate) fn living(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.state != State::Dead)
    }

    /// Between our heartbeats to a heard member: the pace for the control transport. Members that
    /// are not heard don't count: a list of machines that are long gone would make us fall silent
    /// to those that live.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let heard = self
            .records
            .values()
            .filter(|record| record.state.is_heard());
        self.settings.interval_for(heard.count())
    }

    /// The record of this id, a new one if there is room. A full group makes room by forgetting
    /// the member that has been dead for longest.
    pub(crate) fn admit(&mut self, id: u16, now: Duration) -> Option<&mut Record> {
        if id == self.contact.id {
            return None;
        }
        if !self.records.contains_key(&id) {
            if self.records.len() + 1 >= MAX_GROUP {
                let dead = self
                    .records
                    .values()
                    .filter(|record| record.state == State::Dead);
                let oldest = dead.min_by_key(|record| record.quiet)?.id;
                self.forget(oldest);
            }
            self.records.insert(id, Record::new(id, now));
            let to = State::Unheard;
            self.events.push(Event::Changed { id, from: None, to });
        }
        self.records.get_mut(&id)
    }

    pub(crate) fn forget(&mut self, id: u16) {
        self.records.remove(&id);
        self.events.push(Event::Forgotten { id });
    }

    /// Takes the time in, and joins again if this process was suspended or is outdated.
    ///
    /// A suspended balancer's peers may have given it up and moved on; it would notice nothing and
    /// go on with views and flows from before. The jump between two calls shows it.
    pub(crate) fn advance(&mut self, now: Duration) {
        let jump = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        if jump > self.settings.suspension_threshold_at(self.interval()) {
            self.rejoin(now, Cause::Suspended(jump));
        }
        if let Some(known) = self
            .outdated
            .take()
            .filter(|known| *known > self.incarnation)
        {
            self.incarnation = known;
            self.rejoin(now, Cause::Outdated(known));
        }
    }

    fn rejoin(&mut self, now: Duration, cause: Cause) {
        self.incarnation += 1;
        self.phase = Phase::Joining;
        self.born = now;
        let incarnation = self.incarnation;
        self.events.push(Event::Rejoined { incarnation, cause });
        let ids: Vec<u16> = self.records.keys().copied().collect();
        for id in ids {
            self.distrust(now, id);
        }
        self.records.values_mut().for_each(Record::forget_sent);
    }

    /// Lets a member prove anew that it lives.
    pub(crate) fn distrust(&mut self, now: Duration, id: u16) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let from = record.state;
        record.distrust(now);
        let to = record.state;
        if from != to {
            self.events.push(Event::Changed {
                id,
                from: Some(from),
                to,
            });
        }
    }
}
