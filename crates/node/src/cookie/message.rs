//! Messages between balancers.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{
    Change, Position,
    member::{Gossip, Member},
    server::Server,
    spread::Tree,
};
use acacia_cookie::{roster::claim, speed};
use acacia_load::{demand, tally::Count};
use serde::{Deserialize, Serialize};

/// The content of a datagram between balancers: the sender, the revision it knows, and optional
/// reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// How much of the store's state the sender knows.
    pub known: Known,
    /// What the sender knew before `changes`.
    pub base: Position,
    /// The tree along which the receiver passes the message's changes on; `None` if it doesn't.
    pub tree: Option<Tree>,
    /// All changes from `base` to what the sender knows. Empty if they don't fit; receivers that
    /// need them fetch them over TCP.
    pub changes: Vec<Change>,
    /// What the sender tells of other balancers.
    pub gossip: Gossip,
    /// Backend servers that the sender found silent by its own examination.
    pub silent: Vec<Arc<str>>,
    /// Backend servers that the sender considered silent, and that have answered its probes since.
    pub back: Vec<Arc<str>>,
    /// Data centres none of whose servers answered the sender.
    pub lost: Vec<Arc<str>>,
    /// Data centres that the sender could not reach, and one of whose servers has answered it since.
    pub reached: Vec<Arc<str>>,
    /// Data centres some of whose servers answered the sender and others didn't, so that each is to be
    /// examined.
    pub scattered: Vec<Arc<str>>,
    /// The sender's request counts of servers that the receiver observes.
    pub failures: Vec<Failure>,
    /// Servers that the sender, as their observer, found to fail their requests.
    pub failing: Vec<Arc<str>>,
    /// The sender's request counts of servers since its last report.
    pub seen: Vec<Seen>,
    /// The load of services that passes through the sender; `None` if it doesn't report it.
    pub rates: Option<Rates>,
    /// The load of services by the callers of whole data centres.
    pub demands: Vec<Demand>,
    /// Servers to which cookies lead that others have too.
    pub claims: Vec<Claim>,
}

/// A server to which a cookie leads that others have too, in about 120 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The server, as its entry last described it.
    pub server: Arc<Server>,
    /// The store's revision at which its entry was first created.
    pub created: u64,
    /// How long its entry has been missing, in milliseconds; `None` if it exists.
    pub missing_ms: Option<u64>,
}

impl From<claim::Claim> for Claim {
    fn from(claim: claim::Claim) -> Self {
        let millis = |missing: Duration| missing.as_millis() as u64;
        Claim {
            server: claim.server,
            created: claim.created,
            missing_ms: claim.missing.map(millis),
        }
    }
}

impl From<Claim> for claim::Claim {
    fn from(claim: Claim) -> Self {
        claim::Claim {
            server: claim.server,
            created: claim.created,
            missing: claim.missing_ms.map(Duration::from_millis),
        }
    }
}

/// What callers ask of a service, in thousandths per second. A balancer of a large fleet sees less than one
/// request per second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests on open flows.
    pub requests: u64,
    /// Opened flows.
    pub opened: u64,
    /// New flows by priority, refused ones included.
    pub offered: Vec<(u32, u64)>,
}

impl From<&demand::Load> for Load {
    fn from(load: &demand::Load) -> Self {
        let thousandths = |rate: f64| (rate * 1_000.0).round() as u64;
        let offered = load.offered.iter();
        let offered = offered.map(|(priority, rate)| (*priority, thousandths(*rate)));
        Load {
            requests: thousandths(load.requests),
            opened: thousandths(load.opened),
            offered: offered.collect(),
        }
    }
}

impl From<&Load> for demand::Load {
    fn from(load: &Load) -> Self {
        let per_second = |thousandths: u64| thousandths as f64 / 1_000.0;
        let offered = load.offered.iter();
        let offered = offered.map(|(priority, rate)| (*priority, per_second(*rate)));
        demand::Load {
            requests: per_second(load.requests),
            opened: per_second(load.opened),
            offered: offered.collect(),
        }
    }
}

/// The load of services that passes through one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rates {
    /// The load by service.
    pub rows: Vec<Rate>,
    /// Whether these are all services with requests; others follow in later messages if not.
    pub is_whole: bool,
}

/// The load of a service that passes through one balancer, in about 20 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rate {
    /// The service.
    pub service: Arc<str>,
    /// Its load.
    pub load: Load,
}

impl From<&demand::Rate> for Rate {
    fn from(rate: &demand::Rate) -> Self {
        Rate {
            service: Arc::clone(&rate.service),
            load: Load::from(&rate.load),
        }
    }
}

impl From<&Rate> for demand::Rate {
    fn from(rate: &Rate) -> Self {
        demand::Rate {
            service: Arc::clone(&rate.service),
            load: demand::Load::from(&rate.load),
        }
    }
}

/// The load of a service by the callers of one data centre, in about 30 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Their load.
    pub load: Load,
    /// How long ago this was measured, in milliseconds.
    pub age_ms: u32,
}

impl Demand {
    /// A report for sending at `now`.
    #[must_use]
    pub fn new(report: demand::Report, now: Duration) -> Self {
        let age = now.saturating_sub(report.measured).as_millis();
        Demand {
            data_centre: report.data_centre,
            service: report.service,
            load: Load::from(&report.load),
            age_ms: age.try_into().unwrap_or(u32::MAX),
        }
    }

    /// The report as received at `now`; `None` if it claims to be older than the clock.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<demand::Report> {
        let age = Duration::from_millis(self.age_ms.into());
        Some(demand::Report {
            data_centre: Arc::clone(&self.data_centre),
            service: Arc::clone(&self.service),
            load: demand::Load::from(&self.load),
            measured: now.checked_sub(age)?,
        })
    }
}

/// One balancer's request counts of a server that fails some requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The server.
    pub server: Arc<str>,
    /// Requests that callers gave up, or that were answered too fast to have been processed.
    pub failed: u32,
    /// Requests that were answered.
    pub answered: u32,
}

/// One balancer's request counts and answer times of a server, in about 30 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The server.
    pub server: Arc<str>,
    /// Number of requests: data from callers on flows where no request was unanswered.
    pub asked: u32,
    /// Number of these requests that were answered.
    pub answered: u32,
    /// Sum of the times from a request to the acknowledgement of its answer, in microseconds.
    pub answering_us: u64,
    /// Number of completed connection openings.
    pub completed: u32,
    /// Sum of the times from an opening to the caller's next packet, in microseconds.
    pub opening_us: u64,
}

impl From<speed::Count> for Seen {
    fn from(seen: speed::Count) -> Self {
        let speed::Count { server, count } = seen;
        Seen {
            server,
            asked: count.asked,
            answered: count.answered,
            answering_us: count.answering.as_micros() as u64,
            completed: count.completed,
            opening_us: count.opening.as_micros() as u64,
        }
    }
}

impl From<&Seen> for speed::Count {
    fn from(seen: &Seen) -> Self {
        speed::Count {
            server: Arc::clone(&seen.server),
            count: Count {
                asked: seen.asked,
                answered: seen.answered,
                timed: seen.answered,
                answering: Duration::from_micros(seen.answering_us),
                completed: seen.completed,
                opening: Duration::from_micros(seen.opening_us),
                ..Count::default()
            },
        }
    }
}

/// How much of the store's state a balancer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// What it knows.
    pub position: Position,
    /// How long ago that was known to be the store's latest, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// How long ago a balancer was last known to be reading all servers' entries anew, in milliseconds;
    /// `None` if none ever was.
    pub rebuild_age_ms: Option<u64>,
}

impl Known {
    /// The time at which `position` was known to be the store's latest, on the clock of `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::Position;
    /// use acacia_node::cookie::message::Known;
    /// let position = Position { revision: 3, operators: 3 };
    /// let known = Known { position, age_ms: Some(400), rebuild_age_ms: None };
    /// let at = known.at(Duration::from_secs(1));
    /// assert_eq!(at, Some(Duration::from_millis(600)));
    /// ```
    #[must_use]
    pub fn at(&self, now: Duration) -> Option<Duration> {
        before(now, self.age_ms)
    }

    /// The time at which a balancer was last known to be reading all servers' entries anew, on the clock
    /// of `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::Position;
    /// use acacia_node::cookie::message::Known;
    /// let known = Known { position: Position::default(), age_ms: None, rebuild_age_ms: Some(400) };
    /// let at = known.rebuild_at(Duration::from_secs(1));
    /// assert_eq!(at, Some(Duration::from_millis(600)));
    /// ```
    #[must_use]
    pub fn rebuild_at(&self, now: Duration) -> Option<Duration> {
        before(now, self.rebuild_age_ms)
    }
}

fn before(now: Duration, age_ms: Option<u64>) -> Option<Duration> {
    now.checked_sub(Duration::from_millis(age_ms?))
}

/// Maximum size of the changes in a datagram, in bytes. With the envelope, the datagram still fits
/// into one Ethernet frame. Larger sets of changes are fetched over TCP.
pub const MAX_CHANGES_BYTES: usize = 1_000;

/// Maximum size of a message with reports, in bytes. With the envelope and the authenticator, the datagram fits
/// into one Ethernet frame. A longer one would be lost with any of its fragments.
pub const MAX_REPORT_BYTES: usize = 1_350;

/// Size of an encoded part of a message, in bytes.
pub fn encoded_size<T: Serialize + ?Sized>(part: &T) -> usize {
    postcard::experimental::serialized_size(part).unwrap_or(usize::MAX)
}

/// A message to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receivers' control addresses.
    pub to: Vec<SocketAddrV4>,
    /// The message.
    pub message: Message,
}

/// All changes after a revision, as fetched from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// How much the peer knows.
    pub known: Known,
    /// The changes.
    pub changes: Vec<Change>,
    /// Whether `changes` is the full state, so that servers missing from it no longer exist. This
    /// is the case if the peer has already discarded records of removals after the requested
    /// revision.
    pub whole: bool,
}
