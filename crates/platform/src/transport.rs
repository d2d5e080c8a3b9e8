//! How calls travel to a platform: closures that a [`Client`](crate::Client) is built with.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    Error,
    machine::Machine,
    store::{Entry, Events, Lease, Outcome, Page, Refusal, Swap},
};

/// A call of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads a key.
    Get {
        /// The key.
        key: Arc<str>,
    },
    /// Writes a key if it has the expected revision.
    Swap(Swap),
    /// Waits until a key's revision is above the given one.
    Watch {
        /// The key.
        key: Arc<str>,
        /// That revision.
        above: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Takes out a lease.
    Grant {
        /// How long it lasts unless it is kept alive.
        ttl: Duration,
    },
    /// Starts a lease's time anew.
    KeepAlive {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease.
    Revoke {
        /// The lease.
        lease: Lease,
    },
    /// The list of VMs.
    Machines,
    /// Reads a page of the items below a prefix.
    Range {
        /// The prefix.
        prefix: Arc<str>,
        /// The last key of the page before.
        after: Option<Arc<str>>,
        /// How new the answer must be.
        consistency: Consistency,
    },
    /// Waits for changes below a prefix.
    Changes {
        /// The prefix.
        prefix: Arc<str>,
        /// The revision after which they count.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
}

/// How new the answer to a reading must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// As new as every write that was acknowledged before the call.
    Linearizable,
    /// It may be seconds old. Such a reading costs the store a fraction of the other.
    Serializable,
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// To [`Call::Get`] and [`Call::Watch`].
    Entry(Entry),
    /// To [`Call::Swap`].
    Swapped(Result<Outcome, Refusal>),
    /// To [`Call::Grant`].
    Granted(Lease),
    /// To [`Call::KeepAlive`] and [`Call::Revoke`].
    Done(Result<(), Refusal>),
    /// To [`Call::Machines`].
    Machines(Vec<Machine>),
    /// To [`Call::Range`].
    Page(Page),
    /// To [`Call::Changes`].
    Events(Events),
}

impl Answer {
    pub(crate) fn entry(self) -> Option<Entry> {
        match self {
            Answer::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    pub(crate) fn swapped(self) -> Option<Result<Outcome, Refusal>> {
        match self {
            Answer::Swapped(outcome) => Some(outcome),
            _ => None,
        }
    }

    pub(crate) fn granted(self) -> Option<Result<Lease, Refusal>> {
        match self {
            Answer::Granted(lease) => Some(Ok(lease)),
            _ => None,
        }
    }

    pub(crate) fn done(self) -> Option<Result<(), Refusal>> {
        match self {
            Answer::Done(done) => Some(done),
            _ => None,
        }
    }

    pub(crate) fn machines(self) -> Option<Vec<Machine>> {
        match self {
            Answer::Machines(machines) => Some(machines),
            _ => None,
        }
    }

    pub(crate) fn page(self) -> Option<Page> {
        match self {
            Answer::Page(page) => Some(page),
            _ => None,
        }
    }

    pub(crate) fn events(self) -> Option<Events> {
        match self {
            Answer::Events(events) => Some(events),
            _ => None,
        }
    }
}

/// Why a call on a connection has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// Its time is over.
    Deadline,
    /// The connection is broken, for the reason given.
    Broken(String),
    /// The platform answered that it did not make the call.
    Refused(Error),
}

/// A call under way.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + Send>>;
/// Makes a call on a connection, until a deadline.
pub type CallFn = Box<dyn Fn(Call, Instant) -> CallFuture + Send + Sync>;
/// A connection that is being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = std::io::Result<Connection>> + Send>>;

/// An open connection.
pub struct Connection {
    /// Makes calls on it.
    pub call: CallFn,
    /// Carries them; ends with the connection.
    pub driver: Pin<Box<dyn Future<Output = ()> + Send>>,
}

/// Opens connections.
pub struct Transport {
    open: Box<dyn Fn(SocketAddr) -> ConnectFuture + Send + Sync>,
}

impl Transport {
    /// A transport that opens connections with `open`.
    ///
    /// ```
    /// use acacia_platform::transport::Transport;
    /// let refusing = Transport::new(|_| Box::pin(async { Err(std::io::ErrorKind::Other.into()) }));
    /// assert!(format!("{refusing:?}").contains("Transport"));
    /// ```
    pub fn new(open: impl Fn(SocketAddr) -> ConnectFuture + Send + Sync + 'static) -> Self {
        Transport {
            open: Box::new(open),
        }
    }

    pub(crate) fn open(&self, address: SocketAddr) -> ConnectFuture {
        (self.open)(address)
    }
}

impl std::fmt::Debug for Transport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Transport").finish_non_exhaustive()
    }
}
