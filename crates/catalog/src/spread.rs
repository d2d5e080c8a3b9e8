//! Decides which balancer reads the store, and to whom a balancer passes changes on.
//!
//! The store limits the rate of calls, and the limit grows more slowly than the fleet. If every balancer
//! watched, each change would cost one call per balancer, and a recovering store would be overloaded. So
//! one balancer of the fleet, the *reader*, watches the store. It sends changes to one balancer of each
//! other data centre, the *relay*. Within a data centre, changes spread from the reader or relay along a
//! [`Tree`].
//!
//! There is no election and no lease: reader and relays are derived from the list of members. A
//! balancer whose last confirmation from the reader is too old reads the store itself, so a wrong list
//! costs extra calls but never freshness.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;
use serde::{Deserialize, Serialize};

use crate::{
    Position,
    member::{Member, Members, rank},
};

/// The timing of store reads, derived from the time within which a change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long the store may hold the reader's watch before it answers without a change, which serves
    /// as a heartbeat. A watch that takes longer has lost its connection.
    pub watch_timeout: Duration,
    /// The age of a balancer's data at which it reads the store itself.
    pub max_age: Duration,
    /// The range by which balancers extend that age, so that they don't all read at once.
    pub jitter: Duration,
    /// The longest wait after a failed call, before it is scaled by the number of balancers that fail.
    pub max_backoff: Duration,
    /// The pause between an answer with changes and the next watch. Changes that come in quick succession
    /// are then read by one call and passed on in one message.
    pub pause: Duration,
}

impl Timing {
    /// The timing with which a change is in force within `bound` of the store's answer, even if the
    /// reader fails at the worst moment: half of `bound` may pass before the others' data is too old, a fifth is jitter, and the
    /// rest is left for the read itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timing = acacia_catalog::spread::Timing::within(Duration::from_secs(3));
    /// assert_eq!(timing.watch_timeout, Duration::from_millis(1200));
    /// assert_eq!(timing.max_age, Duration::from_millis(1500));
    /// ```
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Timing {
            watch_timeout: bound * 2 / 5,
            max_age: bound / 2,
            jitter: bound / 5,
            max_backoff: bound / 3,
            pause: bound / 40,
        }
    }
}

/// The next action of a balancer towards the store. A [`Schedule`] decides by the age of the data alone
/// between the first three; [`reads_servers`] decides on the last one, and failed calls lead to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Call, and let the store hold the answer until something changes.
    Watch,
    /// Call for an immediate answer.
    Poll,
    /// Make no call for this long.
    Wait(Duration),
    /// Read everything, as nothing is known yet.
    ReadAll,
    /// Read the changes of servers, then the operators' entries, as a watch's answer with all changes couldn't
    /// be read.
    CatchUp,
    /// Read the operators' entries, as the store has dropped the history after what is known.
    ReadOperators,
    /// Read the servers' entries page by page, and follow the changes meanwhile.
    ReadServers,
}

/// Decides when this balancer reads the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    timing: Timing,
    /// The time up to which all changes are known; `None` before the first confirmed read.
    fresh_until: Option<Duration>,
    /// When a read of unknown age was answered, if any.
    primed: Option<Duration>,
    /// When the store last answered with changes.
    changed: Option<Duration>,
    /// The number of consecutive failed calls, and the time of the last one.
    failures: u32,
    failed: Duration,
}

impl Schedule {
    /// A schedule without any data from the store.
    #[must_use]
    pub const fn new(timing: Timing) -> Self {
        Schedule {
            timing,
            fresh_until: None,
            primed: None,
            changed: None,
            failures: 0,
            failed: Duration::ZERO,
        }
    }

    /// The timing in use.
    #[must_use]
    pub const fn timing(&self) -> Timing {
        self.timing
    }

    /// Replaces the timing.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// The time up to which all changes are known.
    #[must_use]
    pub const fn fresh_until(&self) -> Option<Duration> {
        self.fresh_until
    }

    /// Whether any data has been received, of whatever age.
    #[must_use]
    pub const fn is_primed(&self) -> bool {
        self.primed.is_some() || self.fresh_until.is_some()
    }

    /// Records an answer of the store whose data may be seconds old.
    pub fn prime(&mut self, now: Duration) {
        self.failures = 0;
        self.primed = Some(now);
    }

    /// Whether the store answered the latest call.
    #[must_use]
    pub const fn is_store_reachable(&self) -> bool {
        self.failures == 0
    }

    /// Records an answer of the store to a call that was sent at `sent`.
    pub fn answered(&mut self, sent: Duration) {
        self.failures = 0;
        self.confirmed(sent);
    }

    /// Records that the store answered with changes.
    pub fn changed(&mut self, now: Duration) {
        self.changed = Some(now);
    }

    /// Records a peer's confirmation that all changes up to `at` are known.
    pub fn confirmed(&mut self, at: Duration) {
        self.fresh_until = Some(self.fresh_until.map_or(at, |fresh| fresh.max(at)));
    }

    /// Records a failed call to the store.
    pub fn failed(&mut self, now: Duration) {
        self.failures += 1;
        self.failed = now;
    }

    /// The action that is due at `now`. `reads` tells whether this balancer is the reader, `share` in
    /// 0..1 is its fraction of the jitter, and `failing` is the number of other balancers that can't
    /// reach the store either.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::spread::{Action, Schedule, Timing};
    /// let mut schedule = Schedule::new(Timing::within(Duration::from_secs(3)));
    /// assert_eq!(schedule.next_action(Duration::ZERO, false, 0.0, 0), Action::Poll);
    /// schedule.answered(Duration::ZERO);
    /// assert_eq!(schedule.next_action(Duration::ZERO, true, 0.0, 0), Action::Watch);
    /// assert!(matches!(schedule.next_action(Duration::ZERO, false, 0.0, 0), Action::Wait(_)));
    /// assert_eq!(schedule.next_action(Duration::from_secs(2), false, 0.0, 0), Action::Poll);
    /// ```
    #[must_use]
    pub fn next_action(&self, now: Duration, reads: bool, share: f64, failing: usize) -> Action {
        let wait = self.remaining_backoff(now, share, failing);
        if !wait.is_zero() {
            return Action::Wait(wait);
        }
        if reads && self.fresh_until.is_some() {
            let pause = self.changed.map(|at| at + self.timing.pause);
            return match pause.and_then(|end| end.checked_sub(now)) {
                Some(wait) if !wait.is_zero() => Action::Wait(wait),
                _ => Action::Watch,
            };
        }
        // With data of unknown age, wait for a peer's confirmation. The reader has no peer to wait for.
        let Some(fresh) = self.fresh_until.or(self.primed.filter(|_| !reads)) else {
            return Action::Poll;
        };
        let due = fresh + self.timing.max_age + self.timing.jitter.mul_f64(share);
        match due.checked_sub(now) {
            Some(wait) if !wait.is_zero() => Action::Wait(wait),
            _ => Action::Poll,
        }
    }

    /// Whether a call would come too soon after a failed one; see [`Schedule::next_action`].
    #[must_use]
    pub fn is_backing_off(&self, now: Duration, share: f64, failing: usize) -> bool {
        !self.remaining_backoff(now, share, failing).is_zero()
    }

    /// The remaining wait after failed calls. It doubles from an eighth of the longest wait, and grows
    /// with the number of balancers that are failing as well.
    ///
    /// The first balancer that reaches the store informs the others immediately, so a few calls a second
    /// from the whole fleet are enough. More would overload a store that is recovering.
    fn remaining_backoff(&self, now: Duration, share: f64, failing: usize) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let doubled = (self.timing.max_backoff / 8) * (1 << (self.failures - 1).min(3));
        let factor = (failing as f64 / UNSCALED_BALANCERS).clamp(1.0, MAX_SCALE);
        let backoff = doubled.mul_f64((0.75 + share / 2.0) * factor);
        (self.failed + backoff).saturating_sub(now)
    }
}

/// Number of failing balancers up to which the backoff isn't scaled.
const UNSCALED_BALANCERS: f64 = 8.0;
/// Largest factor on the backoff. It is reached at 64 balancers, where a longest wait of
/// 1.7 s becomes 13 s.
const MAX_SCALE: f64 = 8.0;

/// Whether `own` is the reader: the first in rank among the balancers that reach the store, are not leaving
/// and aren't in one of the `lost` data centres, whose servers can't be reached.
///
/// Balancers of a lost data centre are most likely cut off. They stay on the list for seconds, with the
/// description that they had before.
///
/// ```
/// use std::collections::BTreeSet;
/// use acacia_catalog::{member::{Members, Member}, spread::is_reader};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, version: 0,
///     sighted: true, leaving: false,
/// };
/// assert!(is_reader(&own, &Members::default(), &BTreeSet::new()));
/// assert!(!is_reader(&own, &Members::default(), &["a".into()].into()));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn is_reader(own: &Member, list: &Members, lost: &BTreeSet<Arc<str>>) -> bool {
    let eligible =
        |member: &Member| member.sighted && !member.leaving && !lost.contains(&member.data_centre);
    eligible(own)
        && list
            .iter()
            .filter(|member| eligible(member))
            .all(|member| rank(member.address) < rank(own.address))
}

/// Whether `own` is among the first `count` balancers of its data centre in the order for `key`. These
/// do a piece of work on behalf of the data centre.
///
/// Each key has its own order, which spreads the work evenly. When a balancer fails, the next in order
/// takes its place without any coordination (rendezvous hashing).
///
/// ```
/// use acacia_catalog::{member::{Members, Member}, spread::is_chosen};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, version: 0,
///     sighted: true, leaving: false,
/// };
/// assert!(is_chosen(&own, &Members::default(), 7, 1), "no other balancer is known");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn is_chosen(own: &Member, list: &Members, key: u64, count: usize) -> bool {
    let place = |member: &Member| mix(rank(member.address) ^ key);
    let own_place = place(own);
    let near = list.of(&own.data_centre).filter(|member| !member.leaving);
    let before = near.filter(|member| place(member) > own_place);
    before.take(count).count() < count
}

/// Whether `own` reads all servers' entries anew, after the store has dropped the history that it or a peer
/// would have continued from. `position` is what `own` knows; `idle` is how long no balancer has been heard
/// to do so, or `None` if none ever was; `period` is how long one that does so may be silent. `lost` are the
/// data centres whose servers can't be reached, see [`is_reader`].
///
/// A read of thousands of entries takes dozens of calls and megabytes. If every balancer did that, the
/// store's link would be saturated, no read would end, and their retries would keep it so. So the reader
/// does it. If it isn't heard to, one balancer of each data centre does, and after each further period
/// another one.
///
/// ```
/// use std::{collections::BTreeSet, time::Duration};
/// use acacia_catalog::{Position, member::{Members, Member}, spread::reads_servers};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, version: 0,
///     sighted: false, leaving: false,
/// };
/// let (list, lost, period) = (Members::default(), BTreeSet::new(), Duration::from_secs(2));
/// let lacking = Position { revision: 3, operators: 7 };
/// assert!(reads_servers(&own, &list, &lost, lacking, None, period));
/// assert!(!reads_servers(&own, &list, &lost, lacking, Some(period / 2), period));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn reads_servers(
    own: &Member,
    list: &Members,
    lost: &BTreeSet<Arc<str>>,
    position: Position,
    idle: Option<Duration>,
    period: Duration,
) -> bool {
    if !position.lacks_servers() {
        return false;
    }
    let periods = idle.map_or(0, |idle| idle.as_millis() / period.as_millis().max(1));
    let is_heard = idle.is_some() && periods == 0;
    let key = mix(position.revision ^ mix(periods as u64));
    is_reader(own, list, lost) || !is_heard && is_chosen(own, list, key, 1)
}

/// The first `count` balancers of a data centre in the order for `key`; see [`is_chosen`].
///
/// ```
/// use acacia_catalog::{member::{Members, Member}, spread::chosen};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, version: 0,
///     sighted: true, leaving: false,
/// };
/// assert_eq!(chosen(&own, &Members::default(), "a", 7, 2), [own.address]);
/// assert!(chosen(&own, &Members::default(), "b", 7, 2).is_empty());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn chosen(
    own: &Member,
    list: &Members,
    data_centre: &str,
    key: u64,
    count: usize,
) -> Vec<SocketAddrV4> {
    let members = list.iter().chain([own]);
    let near = members.filter(|member| &*member.data_centre == data_centre && !member.leaving);
    let mut order: Vec<&Member> = near.collect();
    order.sort_by_key(|member| std::cmp::Reverse(mix(rank(member.address) ^ key)));
    order
        .iter()
        .take(count)
        .map(|member| member.address)
        .collect()
}

/// Number of children of each balancer in the tree of a change.
const FAN_OUT: usize = 3;

/// The tree along which a change spreads in a data centre. All balancers with the same list derive the
/// same tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// The first balancer of the data centre that had the change.
    pub root: SocketAddrV4,
    /// Decides the order of the others. Each change has its own, so that all balancers bear the same part
    /// of the work over time.
    pub key: u64,
}

/// The balancers of its own data centre to which `own` passes a change on.
///
/// Each has few children, whatever the size of the data centre: if one balancer sent a change to all, or
/// served all fetches of a large one, it would saturate its link, and callers' packets would queue behind
/// that. A balancer that is missed, because one above it has just failed or a message was lost, learns of
/// the change from the next probe.
#[must_use]
pub fn children(own: &Member, list: &Members, tree: Tree) -> Vec<SocketAddrV4> {
    let near = list.of(&own.data_centre).map(|member| member.address);
    let mut order: Vec<SocketAddrV4> = near.chain([own.address]).collect();
    order.sort_by_cached_key(|address| (*address != tree.root, mix(rank(*address) ^ tree.key)));
    let mut places = order.iter();
    let Some(place) = places.position(|address| *address == own.address) else {
        return Vec::new();
    };
    let first = place * FAN_OUT + 1;
    order.into_iter().skip(first).take(FAN_OUT).collect()
}

/// The relay of each other data centre: its first balancer in rank. A balancer that read a change from the
/// store sends it to the relays.
#[must_use]
pub fn relays(own: &Member, list: &Members) -> Vec<SocketAddrV4> {
    let mut first: Vec<&Member> = Vec::new();
    for member in list
        .iter()
        .filter(|member| member.data_centre != own.data_centre)
    {
        match first
            .iter_mut()
            .find(|other| other.data_centre == member.data_centre)
        {
            Some(other) if precedes(member, other) => *other = member,
            Some(_) => {}
            None => first.push(member),
        }
    }
    first.into_iter().map(|member| member.address).collect()
}

/// Whether `one` is preferred to `other` as a relay. Leaving balancers come last, as they may stop
/// before they pass anything on.
fn precedes(one: &Member, other: &Member) -> bool {
    (!one.leaving, rank(one.address)) > (!other.leaving, rank(other.address))
}
