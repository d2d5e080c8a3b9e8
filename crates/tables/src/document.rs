use std::{net::SocketAddr, sync::Arc};

use acacia_flow::snapshot::Address;
use serde::{Deserialize, Serialize};

use crate::{
    Error,
    number::{Released, Retired, RetiredSummary},
    pack,
};

/// The key of the platform's store that holds the document.
pub const KEY: &str = "acaciatrack/tables";
/// Largest document, in bytes: the store holds values up to a megabyte.
pub const MAX_SIZE: usize = 1 << 20;
/// The format that this version reads and writes.
pub const FORMAT: u32 = 1;
/// Buckets of a service. A server's share is a whole number of buckets: with 15 servers of 1:4
/// speeds the slowest has about 100, so that its share is right to a percent, and with 200 servers
/// there are still 20 for each. Twice as many would double the document and every balancer's flags
/// for half a percent.
pub const BUCKETS: usize = 4_096;
/// The server number of buckets for which there is no server.
pub const NO_SERVER: u16 = 0;

/// The agreed tables of all services.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Document {
    /// Rises by one with every write; a balancer never goes back to a lower one.
    pub version: u64,
    /// The revision of the configuration that it follows. A later one that changes nothing here
    /// is not noted.
    pub config: u64,
    /// The services, in the order of their names.
    pub services: Vec<Service>,
    /// Addresses that had a service before.
    pub retired: Vec<Retired>,
    /// What is left of older ones.
    pub fold: RetiredSummary,
    /// Backend servers that some balancers may still use for their former service.
    pub released: Vec<Released>,
}

/// A service's part of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Where callers reach it.
    pub address: Address,
    /// Its instance in the configuration.
    pub instance: u64,
    /// The version in which it appeared.
    pub since: u64,
    /// While another service's flows may still arrive at its address: when that ends, in seconds
    /// of Unix time.
    pub strict_until: Option<u64>,
    /// The next unused server number; above `u16::MAX` when all are used.
    pub next_number: u32,
    /// Bucket to server: where flows without a pin are.
    #[serde(with = "packed")]
    pub base: Arc<[u16]>,
    /// Bucket to server: where new flows go.
    #[serde(with = "packed")]
    pub next: Arc<[u16]>,
    /// Its servers, by number.
    pub servers: Vec<Server>,
}

/// A backend server's part of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its number, never used for another at the same service address.
    pub number: u16,
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// Where it takes encapsulated packets. A server that moves to another address is another.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it gets new flows.
    pub state: State,
    /// The first version in which it takes no new flows.
    pub closed: Option<u64>,
    /// Its share of new flows, relative to the others'; 0 if it is to have none.
    pub weight: u32,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Connections that it holds open.
    pub connections: u32,
}

/// What the operators want of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes new flows.
    Up,
    /// It keeps its flows and takes no new ones.
    Draining {
        /// When it is gone, in seconds of Unix time.
        deadline: Option<u64>,
    },
    /// It was removed or its deadline has passed. It stays listed until its buckets are others'.
    Gone,
}

impl Document {
    /// The document as the store's value.
    ///
    /// # Errors
    /// When it is larger than the store's values may be.
    pub fn encode(&self) -> Result<String, Error> {
        let form = Form {
            format: FORMAT,
            document: self,
        };
        let text =
            serde_json::to_string(&form).map_err(|error| Error::Undecodable(error.to_string()))?;
        match text.len() {
            size if size > MAX_SIZE => Err(Error::TooLarge { size }),
            _ => Ok(text),
        }
    }

    /// Reads the store's value.
    ///
    /// # Errors
    /// When it is no document, one of a later version, or one that contradicts itself.
    ///
    /// ```
    /// use acacia_tables::{Document, Error};
    /// let document = Document::default();
    /// assert_eq!(Document::decode(&document.encode()?)?, document);
    /// assert_eq!(Document::decode("{\"format\":2}"), Err(Error::Later { format: 2 }));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn decode(value: &str) -> Result<Self, Error> {
        let undecodable = |error: serde_json::Error| Error::Undecodable(error.to_string());
        let size = value.len();
        if size > MAX_SIZE {
            return Err(Error::TooLarge { size });
        }
        let head: Head = serde_json::from_str(value).map_err(undecodable)?;
        if head.format > FORMAT {
            return Err(Error::Later {
                format: head.format,
            });
        }
        let form: Form<Document> = serde_json::from_str(value).map_err(undecodable)?;
        form.document.check()?;
        Ok(form.document)
    }

    /// The service at an address.
    #[must_use]
    pub fn service(&self, address: &Address) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.address == *address)
    }

    /// What every document has to keep. A value that somebody wrote by hand must not make a
    /// traffic thread index past a table, or send one service's flows to another's server.
    fn check(&self) -> Result<(), Error> {
        let ensure = |good: bool, what| good.then_some(()).ok_or(Error::Inconsistent(what));
        for (at, service) in self.services.iter().enumerate() {
            let others = || self.services[at + 1..].iter();
            let twice = others().any(|other| other.address == service.address);
            ensure(!twice, "two services at one address")?;
            let mut numbers = service.servers.iter().map(|server| server.number);
            let rising = service.servers.is_sorted_by(|a, b| a.number < b.number);
            ensure(rising, "server numbers don't rise")?;
            let used = |number| number != NO_SERVER && u32::from(number) < service.next_number;
            ensure(numbers.all(used), "a server number was never given out")?;
            let known = |number: &u16| *number == NO_SERVER || service.server(*number).is_some();
            let named = service.base.iter().chain(service.next.iter());
            ensure(
                named.into_iter().all(known),
                "a bucket's server is not listed",
            )?;
        }
        let mut addresses: Vec<_> = self.servers().map(|server| server.address).collect();
        addresses.sort_unstable();
        let unique = addresses.is_sorted_by(|a, b| a < b);
        ensure(unique, "a backend server stands twice")
    }

    /// The servers of all services.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.services.iter().flat_map(|service| &service.servers)
    }
}

impl Service {
    /// The server of that number.
    #[must_use]
    pub fn server(&self, number: u16) -> Option<&Server> {
        let at = self.servers.binary_search_by_key(&number, |s| s.number);
        self.servers.get(at.ok()?)
    }

    /// Whether any bucket names the server.
    pub(crate) fn names(&self, number: u16) -> bool {
        self.base.contains(&number) || self.next.contains(&number)
    }
}

/// The stored form.
#[derive(Serialize, Deserialize)]
struct Form<D> {
    format: u32,
    document: D,
}

/// What every format begins with.
#[derive(Deserialize)]
struct Head {
    format: u32,
}

/// Tables as text.
mod packed {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use super::{Arc, pack};

    pub(super) fn serialize<S: Serializer>(
        table: &Arc<[u16]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&pack::write(table))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u16]>, D::Error> {
        let text = String::deserialize(deserializer)?;
        pack::read(&text).ok_or_else(|| D::Error::custom("not a table"))
    }
}
