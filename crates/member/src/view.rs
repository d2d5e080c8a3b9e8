use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_code::Code;

use crate::Phase;

/// What is known of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Heard; serves, but owns no flows yet.
    Joining,
    /// Heard; may own flows.
    Ready,
    /// Heard; handing over.
    Leaving,
    /// Not heard for the bound, or not yet proven alive; not known to be dead.
    Unheard,
    /// Nobody who is heard hears it, for the bound.
    Dead,
}

impl From<Phase> for State {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Joining => State::Joining,
            Phase::Ready => State::Ready,
            Phase::Leaving => State::Leaving,
        }
    }
}

impl State {
    /// Whether the member is heard.
    ///
    /// ```
    /// assert!(acacia_member::State::Leaving.is_heard());
    /// ```
    #[must_use]
    pub fn is_heard(self) -> bool {
        !matches!(self, State::Unheard | State::Dead)
    }
}

/// One other balancer of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub id: u16,
    /// Its control address, once known.
    pub address: Option<SocketAddr>,
    /// Its data centre, once known.
    pub data_centre: Option<Arc<str>>,
    /// Its latest known incarnation.
    pub incarnation: Option<u64>,
    /// What is known of it.
    pub state: State,
    /// The revision of the configuration that it said it has in force.
    pub revision: u64,
    /// The version of the tables that it said it has in force.
    pub table: u64,
    /// The highest of our heartbeats' numbers that it acknowledged.
    pub acknowledged: u64,
    /// Whether it acknowledged one of our heartbeats that was sent within the bound. Heard and
    /// not this: it reaches us, we don't reach it.
    pub hears_us: bool,
}

/// The group as one balancer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This balancer.
    pub id: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it says of itself.
    pub phase: Phase,
    /// The other members, by id.
    pub members: Vec<Member>,
    /// Until when the view can be relied on; see [`View::is_sure`].
    pub sure_until: Option<Duration>,
}

impl View {
    /// Whether every member that is not dead was fresh within the bound and this balancer is not
    /// young.
    ///
    /// Threads that serve traffic ask with the present time, so that a process that was suspended
    /// is unsure from its first packet on, before its control thread has run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_member::{Phase, View};
    /// let until = Duration::from_secs(9);
    /// let view = View { id: 1, incarnation: 1, phase: Phase::Ready, members: vec![], sure_until: Some(until) };
    /// assert!(view.is_sure(until) && !view.is_sure(until * 2));
    /// ```
    #[must_use]
    pub fn is_sure(&self, now: Duration) -> bool {
        self.sure_until.is_some_and(|until| now <= until)
    }

    /// The balancers that may own flows, this one included, by id.
    pub fn ready(&self) -> impl Iterator<Item = u16> + '_ {
        let own = (self.phase == Phase::Ready).then_some(self.id);
        let others = self
            .members
            .iter()
            .filter(|member| member.state == State::Ready);
        let mut ids: Vec<u16> = others.map(|member| member.id).chain(own).collect();
        ids.sort_unstable();
        ids.into_iter()
    }

    /// The member with this id.
    #[must_use]
    pub fn member(&self, id: u16) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&id, |member| member.id);
        at.ok().map(|at| &self.members[at])
    }
}

/// Why this balancer took a new incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It was suspended for this long.
    Suspended(Duration),
    /// Peers know this later incarnation of it: the clock it was started from went back, or
    /// another balancer has its id.
    Outdated(u64),
}

/// A change, for the log and for those who act on changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member's state has changed, or it is new (`from` is none).
    Changed {
        /// The member.
        id: u16,
        /// Its state before.
        from: Option<State>,
        /// Its state now.
        to: State,
    },
    /// A member was started anew.
    Restarted {
        /// The member.
        id: u16,
        /// Its new incarnation.
        incarnation: u64,
    },
    /// A dead member is no longer remembered.
    Forgotten {
        /// The member.
        id: u16,
    },
    /// This balancer joins again: whatever it holds of others' state may be stale.
    Rejoined {
        /// Its new incarnation.
        incarnation: u64,
        /// Why.
        cause: Cause,
    },
}

impl Event {
    /// The numbered code, where the event is one that operators look for.
    #[must_use]
    pub fn code(&self) -> Option<Code> {
        match self {
            Event::Changed {
                to: State::Unheard, ..
            } => Some(Code::MemberUnheard),
            Event::Changed {
                to: State::Dead, ..
            } => Some(Code::MemberDead),
            Event::Rejoined {
                cause: Cause::Suspended(_),
                ..
            } => Some(Code::MemberFrozen),
            Event::Rejoined {
                cause: Cause::Outdated(_),
                ..
            } => Some(Code::MemberOutdated),
            _ => None,
        }
    }
}
