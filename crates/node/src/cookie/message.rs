//! What balancers tell each other.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{
    Change,
    member::{Heartbeat, Member},
};
use acacia_cookie::speed;
use acacia_load::tally::Count;
use serde::{Deserialize, Serialize};

/// A datagram between balancers: who sends it, how much it knows, and news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// What the sender knows of the store.
    pub known: Known,
    /// The revision that `changes` follow on.
    pub base: u64,
    /// The balancer of the sender's data centre that had the news first.
    pub root: SocketAddrV4,
    /// All changes from `base` to the sender's revision, if they fit; else none, and whoever needs
    /// them fetches them.
    pub changes: Vec<Change>,
    /// Other balancers that the receiver may not know.
    pub others: Vec<Member>,
    /// Other balancers that live.
    pub heartbeats: Vec<Heartbeat>,
    /// Balancers that the receiver has named and the sender wants to know more of.
    pub unknown: Vec<SocketAddrV4>,
    /// Backend servers that the sender finds silent.
    pub silent: Vec<Arc<str>>,
    /// Backend servers that the sender found silent, and that have answered it since.
    pub back: Vec<Arc<str>>,
    /// How the requests of servers that the receiver observes ended at the sender.
    pub failures: Vec<Failure>,
    /// Servers that the sender, as their observer, finds to fail their requests.
    pub failing: Vec<Arc<str>>,
    /// What the sender saw servers do since it last told.
    pub seen: Vec<Seen>,
    /// Whether the sender asks for a message in return.
    pub wants: bool,
}

/// How requests of a server that fails some of them ended at one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The server.
    pub server: Arc<str>,
    /// Requests that were given up, or answered too soon to have been worked on.
    pub failed: u32,
    /// Requests that were answered.
    pub answered: u32,
}

/// What a balancer saw a server do. About 30 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The server.
    pub server: Arc<str>,
    /// Data of callers, where nothing was unanswered before.
    pub asked: u32,
    /// Those of them that were answered.
    pub answered: u32,
    /// Time from the data to the acknowledgement of the answer, summed, in microseconds.
    pub answering_us: u64,
    /// Openings that were answered.
    pub completed: u32,
    /// Time from the opening to the caller's next packet, summed, in microseconds.
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

/// How much a balancer knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The revision up to which it knows everything.
    pub revision: u64,
    /// How long ago that was the store's newest, in milliseconds; none if it never knew.
    pub age_ms: Option<u64>,
}

impl Known {
    /// When the store's newest revision was known, seen from `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_node::cookie::message::Known;
    /// let known = Known { revision: 3, age_ms: Some(400) };
    /// let at = known.at(Duration::from_secs(1));
    /// assert_eq!(at, Some(Duration::from_millis(600)));
    /// ```
    #[must_use]
    pub fn at(&self, now: Duration) -> Option<Duration> {
        let age = Duration::from_millis(self.age_ms?);
        now.checked_sub(age)
    }
}

/// Maximum size of the changes in a datagram, in bytes. With the envelope, the datagram still fits into
/// one Ethernet frame. Larger sets of changes are fetched over TCP.
pub const MAX_CHANGES_BYTES: usize = 1_000;

/// A message to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receivers' control addresses.
    pub to: Vec<SocketAddrV4>,
    /// What they are told.
    pub message: Message,
}

/// All that changed after a revision, as it is fetched from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// What the peer knows.
    pub known: Known,
    /// The changes.
    pub changes: Vec<Change>,
    /// Whether these are all that the peer knows, and servers that are not among them are gone: it
    /// has forgotten some removals that the other has not heard of.
    pub whole: bool,
}
