use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_code::Code;

use crate::Phase;

/// A member's state as this balancer sees it.
///
/// A member is *heard* while its heartbeats arrive and it has echoed a recent heartbeat of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Heard; it serves traffic, but owns no flows yet.
    Joining,
    /// Heard; it may own flows.
    Ready,
    /// Heard; it is handing its flows over before it stops.
    Leaving,
    /// No heartbeat within the freshness timeout, or not yet proven alive; not known to be dead.
    Unheard,
    /// No heard member has heard it for the death timeout, or it fell silent while it was leaving.
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
    /// Its id.
    pub id: u16,
    /// Its control address, once known.
    pub address: Option<SocketAddr>,
    /// Its data centre, once known.
    pub data_centre: Option<Arc<str>>,
    /// Its latest known incarnation.
    pub incarnation: Option<u64>,
    /// Its state as this balancer sees it.
    pub state: State,
    /// The revision of the configuration in force there, as it last reported.
    pub revision: u64,
    /// The version of the tables in force there, as it last reported.
    pub table: u64,
    /// The highest number among our heartbeats that it has acknowledged.
    pub acknowledged: u64,
    /// Whether it acknowledged a heartbeat that we sent within the freshness timeout. If it is
    /// heard but this is false, only the direction from it to us works.
    pub hears_us: bool,
}

/// The group as one balancer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This balancer's id.
    pub id: u16,
    /// This balancer's incarnation.
    pub incarnation: u64,
    /// This balancer's own phase.
    pub phase: Phase,
    /// The other members, sorted by id.
    pub members: Vec<Member>,
    /// The time until which the view can be relied on; see [`View::is_sure`].
    pub sure_until: Option<Duration>,
}

impl View {
    /// Whether the view can be relied on: this balancer has run for at least the freshness timeout,
    /// and every member that is not dead echoed one of our heartbeats within it.
    ///
    /// Threads that serve traffic pass the current time. After a suspension the view is therefore
    /// unreliable from the first packet on, even before the control thread has run.
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

    /// The ids of the balancers that may own flows, this one included, in ascending order.
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

/// Why this balancer started a new incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The process was suspended for this long.
    Frozen(Duration),
    /// Peers know this later incarnation: the clock that the incarnation was taken from was set
    /// back, or another balancer has the same id.
    Outdated(u64),
}

/// A change in the membership, for logging and for callers that act on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member's state has changed, or the member is new (`from` is `None`).
    Changed {
        /// The member.
        id: u16,
        /// Its previous state.
        from: Option<State>,
        /// Its new state.
        to: State,
    },
    /// A member was restarted.
    Restarted {
        /// The member.
        id: u16,
        /// Its new incarnation.
        incarnation: u64,
    },
    /// The record of a dead member was dropped.
    Forgotten {
        /// The member.
        id: u16,
    },
    /// This balancer joins again; all state that it holds about other members may be stale.
    Rejoined {
        /// This balancer's new incarnation.
        incarnation: u64,
        /// Why it joins again.
        cause: Cause,
    },
}

impl Event {
    /// The event's code, for events that are reported to operators.
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
                cause: Cause::Frozen(_),
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
