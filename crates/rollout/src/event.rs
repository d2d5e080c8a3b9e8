use std::sync::Arc;

use acacia_config::document::Document;

use crate::{ActiveConfig, Version};

/// A balancer: this one or a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The balancer's id.
    pub id: u16,
    /// The data centre that the balancer runs in.
    pub data_centre: Arc<str>,
}

/// The content of the store's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key's revision in the store, for the next watch.
    pub revision: u64,
    /// The document; `None` if the key has no value, or one that can't be decoded.
    pub document: Option<Arc<Document>>,
}

impl Entry {
    /// Decodes the value that a read or watch of the store's key returned. A value that can't be
    /// decoded is treated as missing, so the configuration in force stays.
    ///
    /// ```
    /// use acacia_rollout::Entry;
    /// assert_eq!(Entry::read(7, Some("no document")).document, None);
    /// assert_eq!(Entry::read(7, None).revision, 7);
    /// ```
    #[must_use]
    pub fn read(revision: u64, value: Option<&str>) -> Self {
        let document = value.and_then(|value| Document::decode(value).ok());
        Entry {
            revision,
            document: document.map(Arc::new),
        }
    }
}

/// An input of the rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The set of other live balancers has changed to this one.
    View(Vec<Peer>),
    /// A heartbeat with the version that a peer has in force.
    Heartbeat {
        /// The peer's id.
        peer: u16,
        /// The peer's version; `None` if it has no configuration yet.
        version: Option<Version>,
    },
    /// The result of the last [`Action::Watch`]; `None` if the store could not be reached.
    WatchEnded(Option<Entry>),
    /// The result of the last [`Action::Fetch`].
    Fetched {
        /// The peer's id.
        peer: u16,
        /// The peer's document; `None` if it did not answer or has none.
        document: Option<Arc<Document>>,
    },
    /// Time has passed. To be sent about ten times a second.
    Tick,
}

/// An output of the rollout, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Watch the store's key, and report the result as [`Event::WatchEnded`]. Replaces a watch that
    /// is still waiting.
    Watch {
        /// The watch ends when the key's revision is above this one.
        above: u64,
    },
    /// Fetch the document from a peer, and report the result as [`Event::Fetched`].
    Fetch {
        /// The peer's id.
        peer: u16,
    },
    /// Put a document in force.
    Enforce(ActiveConfig),
    /// From now on this balancer may serve: it has the highest version that it could learn of.
    Ready,
    /// A newer document, of this version, can't be decoded and is ignored.
    Reject(Version),
}
