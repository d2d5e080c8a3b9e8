//! The interface between a [`Client`](crate::Client) and the protocol of a platform.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    Error,
    machine::Machine,
    store::{Entry, Events, Lease, Outcome, Page, Refusal, Swap},
};

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads a key.
    Get {
        /// The key.
        key: Arc<str>,
    },
    /// Writes a key if it has the expected revision.
    Swap(Swap),
    /// Waits until a key's revision is above `above`.
    Watch {
        /// The key.
        key: Arc<str>,
        /// The revision.
        above: u64,
        /// The maximum wait.
        wait: Duration,
    },
    /// Requests a lease.
    Grant {
        /// The time until it expires unless it is renewed.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease.
        lease: Lease,
    },
    /// Revokes a lease.
    Revoke {
        /// The lease.
        lease: Lease,
    },
    /// Requests the list of VMs.
    Machines,
    /// Reads a page of the items whose keys begin with a prefix.
    Range {
        /// The prefix.
        prefix: Arc<str>,
        /// The last key of the previous page; `None` for the first page.
        after: Option<Arc<str>>,
        /// The required consistency.
        consistency: Consistency,
    },
    /// Waits for changes of keys that begin with a prefix.
    Changes {
        /// The prefix.
        prefix: Arc<str>,
        /// The revision after which changes are returned.
        after: u64,
        /// The maximum wait.
        wait: Duration,
    },
}

/// The consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The answer reflects every write that was acknowledged before the call.
    Linearizable,
    /// The answer may be seconds old. Such a read costs the store a fraction of a linearizable one.
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

/// Why a call over a connection failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The deadline of the call has passed.
    Deadline,
    /// The connection has failed, for the given reason.
    Broken(String),
    /// The answer is longer than can be read; this many bytes were read at most. The rest of it is left on
    /// the connection, which is no longer usable.
    TooLong(usize),
    /// The call failed for the given reason, but the connection is usable: the platform refused or
    /// does not offer the call, or its answer is malformed.
    Refused(Error),
}

/// The future of a call.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + Send>>;
/// Makes a call over a connection. The answer must begin by the deadline, and may take
/// [`Transport::with_transfer`] longer to arrive.
pub type CallFn = Box<dyn Fn(Call, Instant) -> CallFuture + Send + Sync>;
/// The future of a connection that is being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = std::io::Result<Connection>> + Send>>;

/// An open connection.
pub struct Connection {
    /// Makes calls over it.
    pub call: CallFn,
    /// Drives the connection and ends with it. Calls make progress only while it is polled.
    pub driver: Pin<Box<dyn Future<Output = ()> + Send>>,
}

/// Opens connections to a platform.
pub struct Transport {
    open: Box<dyn Fn(SocketAddr) -> ConnectFuture + Send + Sync>,
    transfer: Duration,
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
            transfer: Duration::ZERO,
        }
    }

    /// Allows an answer that has begun by the deadline of its call to take `transfer` longer to arrive. The
    /// calls themselves enforce their deadlines then.
    #[must_use]
    pub fn with_transfer(self, transfer: Duration) -> Self {
        Transport { transfer, ..self }
    }

    pub(crate) const fn transfer(&self) -> Duration {
        self.transfer
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
