//! Who reads the store, and whom a balancer tells.
//!
//! The store counts each call, and its rates grow more slowly than the fleet: if every balancer watched,
//! each change would cost a call a balancer, and a recovering store would be overrun. So one balancer of
//! the fleet, the *reader*, watches; it tells one balancer of each data centre, the *relay*, which tells
//! its own data centre. Nobody is elected and nothing is leased: readers
//! and relays follow from the list of members, and a balancer whose word from the reader has grown
//! old reads for itself, so a wrong list costs calls and never freshness.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::flow::mix;

use crate::member::{Member, MemberList, rank};

/// The times that govern reading, all derived from the bound on a change being in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// How long the reader's watch waits at the store: its heartbeat. A watch that is silent for
    /// longer has lost its connection.
    pub watch_timeout: Duration,
    /// How old a balancer's knowledge may be before it reads for itself.
    pub max_age: Duration,
    /// Spread of that age over the balancers, so that they don't all read in one moment.
    pub jitter: Duration,
    /// Longest wait between two failed calls.
    pub max_backoff: Duration,
}

impl ReadTiming {
    /// The pace that keeps a change in force within `bound` of the store's answer, also when the
    /// reader is lost at the worst moment: half of it may pass before anybody notices, a fifth
    /// spreads the readings, the rest is for the reading itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timing = acacia_catalog::spread::ReadTiming::within(Duration::from_secs(3));
    /// assert_eq!(timing.watch_timeout, Duration::from_millis(1200));
    /// assert_eq!(timing.max_age, Duration::from_millis(1500));
    /// ```
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        ReadTiming {
            watch_timeout: bound * 2 / 5,
            max_age: bound / 2,
            jitter: bound / 5,
            max_backoff: bound / 3,
        }
    }
}

/// What a balancer does next about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAction {
    /// Call and let the store hold the answer until something changes.
    Watch,
    /// Call for an answer at once.
    Poll,
    /// Nothing, for so long.
    Wait(Duration),
}

/// A balancer's own part in reading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadSchedule {
    timing: ReadTiming,
    /// Until when everything is known; none before the first whole reading.
    fresh_until: Option<Duration>,
    /// When a reading of unknown age came in; none if there was none.
    primed: Option<Duration>,
    /// Calls failed in a row, and when the last did.
    failures: u32,
    failed: Duration,
}

impl ReadSchedule {
    /// Nothing is known yet.
    #[must_use]
    pub const fn new(timing: ReadTiming) -> Self {
        ReadSchedule {
            timing,
            fresh_until: None,
            primed: None,
            failures: 0,
            failed: Duration::ZERO,
        }
    }

    /// The pace in force.
    #[must_use]
    pub const fn timing(&self) -> ReadTiming {
        self.timing
    }

    /// Takes another pace.
    pub fn set_timing(&mut self, timing: ReadTiming) {
        self.timing = timing;
    }

    /// Until when everything is known.
    #[must_use]
    pub const fn fresh_until(&self) -> Option<Duration> {
        self.fresh_until
    }

    /// Whether a reading has come in, of whatever age.
    #[must_use]
    pub const fn is_primed(&self) -> bool {
        self.primed.is_some() || self.fresh_until.is_some()
    }

    /// The store has answered with what may be seconds old.
    pub fn prime(&mut self, now: Duration) {
        self.failures = 0;
        self.primed = Some(now);
    }

    /// Whether the latest call to the store was answered.
    #[must_use]
    pub const fn is_store_reachable(&self) -> bool {
        self.failures == 0
    }

    /// The store has answered a call that left at `sent`.
    pub fn answered(&mut self, sent: Duration) {
        self.failures = 0;
        self.confirmed(sent);
    }

    /// A peer has vouched that everything is known until `at`.
    pub fn confirmed(&mut self, at: Duration) {
        self.fresh_until = Some(self.fresh_until.map_or(at, |fresh| fresh.max(at)));
    }

    /// A call to the store has failed.
    pub fn failed(&mut self, now: Duration) {
        self.failures += 1;
        self.failed = now;
    }

    /// What to do now. `reads` tells whether this balancer is the reader; `share` in 0..1 is its
    /// own place in the spread; `blind` is how many other balancers don't see the store either.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::spread::{ReadTiming, ReadSchedule, ReadAction};
    /// let mut reading = ReadSchedule::new(ReadTiming::within(Duration::from_secs(3)));
    /// assert_eq!(reading.next_action(Duration::ZERO, false, 0.0, 0), ReadAction::Poll);
    /// reading.answered(Duration::ZERO);
    /// assert_eq!(reading.next_action(Duration::ZERO, true, 0.0, 0), ReadAction::Watch);
    /// assert!(matches!(reading.next_action(Duration::ZERO, false, 0.0, 0), ReadAction::Wait(_)));
    /// assert_eq!(reading.next_action(Duration::from_secs(2), false, 0.0, 0), ReadAction::Poll);
    /// ```
    #[must_use]
    pub fn next_action(&self, now: Duration, reads: bool, share: f64, blind: usize) -> ReadAction {
        let wait = self.pause(now, share, blind);
        if !wait.is_zero() {
            return ReadAction::Wait(wait);
        }
        if reads && self.fresh_until.is_some() {
            return ReadAction::Watch;
        }
        // What is primed waits for a peer's word; the reader has none to wait for.
        let Some(fresh) = self.fresh_until.or(self.primed.filter(|_| !reads)) else {
            return ReadAction::Poll;
        };
        let due = fresh + self.timing.max_age + self.timing.jitter.mul_f64(share);
        match due.checked_sub(now) {
            Some(wait) if !wait.is_zero() => ReadAction::Wait(wait),
            _ => ReadAction::Poll,
        }
    }

    /// How long to leave the store alone after failures. It doubles from an eighth of the longest
    /// wait, and grows with the number of balancers that wait as well.
    ///
    /// Whoever reaches the store first tells the others at once, so it is enough that the fleet as a whole
    /// asks a few times a second. More would overrun a store that is coming back.
    fn pause(&self, now: Duration, share: f64, blind: usize) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let doubled = (self.timing.max_backoff / 8) * (1 << (self.failures - 1).min(3));
        let crowd = (blind as f64 / CROWD).clamp(1.0, MOST_CROWDED);
        let pause = doubled.mul_f64((0.75 + share / 2.0) * crowd);
        (self.failed + pause).saturating_sub(now)
    }
}

/// Balancers that may each keep to their own pace towards a store that is away.
const CROWD: f64 = 8.0;
/// Largest factor on that pace: at 64 balancers and a longest wait of 1.7 s, 13 s.
const MOST_CROWDED: f64 = 8.0;

/// Whether `own` is the first in rank among those that can see the store.
#[must_use]
pub fn is_reader(own: &Member, list: &MemberList) -> bool {
    let able = |member: &Member| member.sighted && !member.leaving;
    able(own)
        && list
            .iter()
            .filter(|member| able(member))
            .all(|member| rank(member.address) < rank(own.address))
}

/// Whom a balancer tells small news that came to it from `source`: the store itself, when none.
///
/// From the store: all of its own data centre, and one relay of each other. From another data
/// centre: all of its own. From its own data centre: nobody, they were all told.
#[must_use]
pub fn recipients(own: &Member, list: &MemberList, source: Option<&Arc<str>>) -> Vec<SocketAddrV4> {
    let near = |member: &&Member| member.data_centre == own.data_centre;
    let mut recipients: Vec<SocketAddrV4> = Vec::new();
    if source.is_some_and(|centre| *centre == own.data_centre) {
        return recipients;
    }
    recipients.extend(list.iter().filter(near).map(|member| member.address));
    if source.is_none() {
        recipients.extend(relays(own, list));
    }
    recipients
}

/// Whether `own` is among the first `count` of its data centre in the order that belongs to `key`:
/// those that do something for all of it. Each key has its own, so that work is spread evenly, and a
/// balancer that dies hands its part to the next without a word.
///
/// ```
/// use acacia_catalog::{member::{MemberList, Member}, spread::is_chosen};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, beat: 0,
///     sighted: true, leaving: false,
/// };
/// assert!(is_chosen(&own, &MemberList::default(), 7, 1), "nobody else is there");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn is_chosen(own: &Member, list: &MemberList, key: u64, count: usize) -> bool {
    let place = |member: &Member| mix(rank(member.address) ^ key);
    let near = list
        .iter()
        .filter(|member| member.data_centre == own.data_centre && !member.leaving);
    let before = near.filter(|member| place(member) > place(own));
    before.take(count).count() < count
}

/// The first `count` balancers of a data centre in the order that belongs to `key`, see [`is_chosen`].
///
/// ```
/// use acacia_catalog::{member::{MemberList, Member}, spread::chosen};
/// let own = Member {
///     address: "192.0.2.1:7000".parse()?, data_centre: "a".into(), incarnation: 1, beat: 0,
///     sighted: true, leaving: false,
/// };
/// assert_eq!(chosen(&own, &MemberList::default(), "a", 7, 2), [own.address]);
/// assert!(chosen(&own, &MemberList::default(), "b", 7, 2).is_empty());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn chosen(
    own: &Member,
    list: &MemberList,
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

/// How many each balancer tells of large news.
const BRANCHES: usize = 3;

/// Whom a balancer tells news that are too large for a datagram, so that whoever is told fetches
/// them from it. `root` is the first of the data centre that had them.
///
/// The data centre is a tree in which each is asked by a few: fetched from one by all, a large
/// configuration would fill its link, and callers' packets would wait behind it. Whoever is missed, as
/// one above has just died, hears by gossip within a second.
#[must_use]
pub fn fetch_children(
    own: &Member,
    list: &MemberList,
    root: SocketAddrV4,
    source: Option<&Arc<str>>,
) -> Vec<SocketAddrV4> {
    let near = list
        .iter()
        .filter(|member| member.data_centre == own.data_centre);
    let mut order: Vec<SocketAddrV4> = near
        .map(|member| member.address)
        .chain([own.address])
        .collect();
    // The root first, then all in an order on which everybody agrees.
    order.sort_by_key(|address| (*address != root, rank(*address)));
    let at = order
        .iter()
        .position(|address| *address == own.address)
        .unwrap_or(0);
    let first = at * BRANCHES + 1;
    let mut told: Vec<SocketAddrV4> = order.into_iter().skip(first).take(BRANCHES).collect();
    if source.is_none() {
        told.extend(relays(own, list));
    }
    told
}

/// The first in rank of each other data centre.
fn relays(own: &Member, list: &MemberList) -> Vec<SocketAddrV4> {
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

/// One that leaves comes last: it may be gone before it has passed anything on.
fn precedes(one: &Member, other: &Member) -> bool {
    (!one.leaving, rank(one.address)) > (!other.leaving, rank(other.address))
}
