use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Index of a backend server within its pool, in the order of the configuration.
///
/// Reports contain the revision of the configuration, since balancers can only merge them if they
/// number the servers alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server(pub u16);

impl Server {
    /// Returns the index into slices with one element per server.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Whether a caller pays or is on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mark {
    /// May borrow idle share, but not the headroom while paying callers are active.
    Trial,
    /// Gets its share at once, even if other callers have borrowed it.
    Paying,
}

/// Callers that share one guarantee: those of a service or customer with the same mark.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name in logs and metrics, such as `talkoo-live/paying`.
    pub name: Arc<str>,
    /// The mark of its callers.
    pub mark: Mark,
    /// Relative size of the guarantee; the shares of a pool needn't have a particular sum.
    pub share: f64,
}

/// Configured sizes of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Number of connections that it can hold open.
    pub connections: u32,
}

/// The backend servers that one or more services have in common, and the classes that share them.
///
/// Services without a common server belong to different pools, so that load on one doesn't affect
/// the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Revision of the configuration; reports with another revision aren't merged.
    pub revision: u64,
    /// Backend servers by [`Server::index`].
    pub hosts: Vec<Host>,
    /// Classes, which decisions refer to by index.
    pub classes: Vec<Class>,
}

impl Pool {
    /// Returns the fraction of the pool that is guaranteed to `class`, which may be 0.
    ///
    /// ```
    /// use acacia_load::pool::{Class, Mark, Pool};
    /// let class = |share, mark| Class { name: "maps".into(), mark, share };
    /// let classes = vec![class(3.0, Mark::Paying), class(1.0, Mark::Trial)];
    /// let pool = Pool { revision: 1, hosts: Vec::new(), classes };
    /// assert_eq!(pool.fraction(0), 0.75);
    /// ```
    #[must_use]
    pub fn fraction(&self, class: usize) -> f64 {
        let total: f64 = self.classes.iter().map(|class| class.share.max(0.0)).sum();
        let own = self
            .classes
            .get(class)
            .map_or(0.0, |class| class.share.max(0.0));
        if total > 0.0 { own / total } else { 0.0 }
    }

    /// Returns the number of requests that the whole pool processes at a time.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.hosts.iter().map(|host| f64::from(host.slots)).sum()
    }

    /// Returns the number of connections that the whole pool can hold open.
    #[must_use]
    pub fn connections(&self) -> f64 {
        self.hosts
            .iter()
            .map(|host| f64::from(host.connections))
            .sum()
    }
}
