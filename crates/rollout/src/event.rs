use std::sync::Arc;

use acacia_config::document::Document;

use crate::{ActiveConfig, Version};

/// Another balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its number.
    pub id: u16,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
}

/// What the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key's revision in the store, for the next watch.
    pub revision: u64,
    /// The document; none if the key holds none, or nothing that can be decoded.
    pub document: Option<Arc<Document>>,
}

impl StoreEntry {
    /// The answer that a read or watch of the store's key gave. What can't be decoded counts as
    /// nothing: serving goes on by what is in force.
    ///
    /// ```
    /// use acacia_rollout::StoreEntry;
    /// assert_eq!(StoreEntry::read(7, Some("no document")).document, None);
    /// assert_eq!(StoreEntry::read(7, None).revision, 7);
    /// ```
    #[must_use]
    pub fn read(revision: u64, value: Option<&str>) -> Self {
        let document = value.and_then(|value| Document::decode(value).ok());
        StoreEntry {
            revision,
            document: document.map(Arc::new),
        }
    }
}

/// Something that has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The live balancers besides this one, whenever they change.
    View(Vec<Peer>),
    /// A heartbeat: the version that a peer has in force.
    Heartbeat {
        /// The peer.
        peer: u16,
        /// Its version, none if it has none yet.
        version: Option<Version>,
    },
    /// The end of the last [`Action::Watch`]; none if the store could not be reached.
    WatchEnded(Option<StoreEntry>),
    /// The end of the last [`Action::Fetch`]; none if the peer did not answer or has none.
    Fetched {
        /// The peer.
        peer: u16,
        /// What it answered.
        document: Option<Arc<Document>>,
    },
    /// Time has passed. Due about ten times a second.
    Tick,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Watch the store's key, and give its end as [`Event::WatchEnded`]. Takes the place of a watch
    /// that is still waiting.
    Watch {
        /// The revision that the key must rise above.
        above: u64,
    },
    /// Fetch the document from a peer, and give its end as [`Event::Fetched`].
    Fetch {
        /// The peer.
        peer: u16,
    },
    /// Put a document in force.
    Enforce(ActiveConfig),
    /// From now on this balancer may serve: it holds the highest version it could learn of.
    Ready,
    /// A newer document can't be understood and is left alone; this is its version.
    Reject(Version),
}
