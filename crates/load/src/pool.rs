use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Index of a backend server within its pool, in the order of the configuration.
///
/// All balancers must agree on it, so reports name the revision of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server(pub u16);

impl Server {
    /// The index into slices that hold an element for each server.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Whether a caller pays or is on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mark {
    /// On trial: may borrow, but never the headroom.
    Trial,
    /// Paying: takes its share back at once, whoever has borrowed it.
    Paying,
}

/// Callers that share one guarantee: a service, a customer or class of callers, and a mark.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// For logs and metrics, such as `talkoo-live/paying`.
    pub name: Arc<str>,
    /// The mark of its callers.
    pub mark: Mark,
    /// Relative size of its guarantee; the shares of a pool needn't add up to any number.
    pub share: f64,
}

/// A backend server as it is configured.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Requests it works on at a time.
    pub slots: u32,
    /// Connections it can hold open.
    pub connections: u32,
}

/// The backend servers that one or more services have in common, and the classes that share them.
///
/// Services without a server in common belong to different pools and can't harm each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Revision of the configuration; reports made under another one are not merged.
    pub revision: u64,
    /// Backend servers by [`Server::index`].
    pub hosts: Vec<Host>,
    /// Classes; a decision names one by its index.
    pub classes: Vec<Class>,
}

impl Pool {
    /// The fraction of the pool that is guaranteed to `class`; 0 if nothing is.
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

    /// Requests that the whole pool works on at a time.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.hosts.iter().map(|host| f64::from(host.slots)).sum()
    }

    /// Connections that the whole pool can hold open.
    #[must_use]
    pub fn connections(&self) -> f64 {
        self.hosts
            .iter()
            .map(|host| f64::from(host.connections))
            .sum()
    }
}
