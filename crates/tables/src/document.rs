use std::{net::SocketAddr, sync::Arc};

use acacia_flow::snapshot::Address;
use serde::{Deserialize, Serialize};

use crate::{
    Error,
    number::{Released, Retired, Summary},
    pack,
};

/// The key of the platform's store under which the document is stored.
pub const KEY: &str = "acaciatrack/tables";
/// Size limit of a document, in bytes: the store accepts values of up to a megabyte.
pub const MAX_SIZE: usize = 1 << 20;
/// The format number that this version reads and writes.
pub const FORMAT: u32 = 1;
/// Number of buckets in a service's tables.
///
/// A server's share is a whole number of buckets. With 15 servers whose speeds differ by up to 1:4,
/// the slowest gets about 100 buckets, so its share is accurate to 1%; with 200 servers, each still
/// gets 20. Twice as many buckets would double the size of the document and of the flags that each
/// balancer keeps per bucket, and gain half a percent.
pub const BUCKETS: usize = 4_096;
/// The server number in buckets that have no server.
pub const NO_SERVER: u16 = 0;

/// The tables of all services, as stored and shared by all balancers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Document {
    /// Increases by one with every write. A balancer never goes back to a lower version.
    pub version: u64,
    /// The revision of the configuration that the tables were built from. A later revision that
    /// leaves the tables unchanged is not recorded.
    pub config: u64,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// Addresses whose service was removed.
    pub retired: Vec<Retired>,
    /// Summary of the retired addresses that were dropped from `retired`.
    pub fold: Summary,
    /// Backend servers to which some balancers may still send packets of their former service.
    pub released: Vec<Released>,
}

/// A service and its tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The address that clients connect to.
    pub address: Address,
    /// The instance number of the service in the configuration.
    pub instance: u64,
    /// The version of the tables in which the service was added.
    pub since: u64,
    /// Set while flows of a previous service may still arrive at this address: the Unix time, in
    /// seconds, at which that ends.
    pub strict_until: Option<u64>,
    /// The next unused server number; above `u16::MAX` when all are used.
    pub next_number: u32,
    /// Server number by bucket, for flows that have no pin.
    #[serde(with = "packed")]
    pub base: Arc<[u16]>,
    /// Server number by bucket, for new flows.
    #[serde(with = "packed")]
    pub next: Arc<[u16]>,
    /// The servers, sorted by number.
    pub servers: Vec<Server>,
}

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server's number, never reused for another server at the same service address.
    pub number: u16,
    /// The server's name in the configuration.
    pub name: Arc<str>,
    /// Where the server receives encapsulated packets. At another address, it counts as another
    /// server.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
    pub data_centre: Arc<str>,
    /// Whether the server gets new flows.
    pub state: State,
    /// The first version of the tables in which the server gets no new flows.
    pub closed: Option<u64>,
    /// Share of new flows, relative to the other servers' weights; 0 for no new flows.
    pub weight: u32,
    /// Maximum number of requests that the server handles at once.
    pub slots: u16,
    /// Maximum number of connections that the server keeps open.
    pub connections: u32,
}

/// The state that the configuration gives a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The server gets new flows.
    Up,
    /// The server keeps its flows and gets no new ones.
    Draining {
        /// The Unix time, in seconds, at which the server is gone.
        deadline: Option<u64>,
    },
    /// The server was removed, or its deadline has passed. It stays listed until its buckets have
    /// moved to other servers.
    Gone,
}

impl Document {
    /// Encodes the document as the value to store.
    ///
    /// # Errors
    /// If the document exceeds [`MAX_SIZE`].
    pub fn encode(&self) -> Result<String, Error> {
        let versioned = Versioned {
            format: FORMAT,
            document: self,
        };
        let text = serde_json::to_string(&versioned)
            .map_err(|error| Error::Undecodable(error.to_string()))?;
        match text.len() {
            size if size > MAX_SIZE => Err(Error::TooLarge { size }),
            _ => Ok(text),
        }
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    /// If the value is not a document, has a later format, or is inconsistent.
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
        let header: Header = serde_json::from_str(value).map_err(undecodable)?;
        if header.format > FORMAT {
            return Err(Error::Later {
                format: header.format,
            });
        }
        let versioned: Versioned<Document> = serde_json::from_str(value).map_err(undecodable)?;
        versioned.document.validate()?;
        Ok(versioned.document)
    }

    /// Returns the service at an address.
    #[must_use]
    pub fn service(&self, address: &Address) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.address == *address)
    }

    /// Checks the invariants of a document. A value that was edited by hand must not make a traffic
    /// thread index past the end of a table, or send flows of one service to another's server.
    fn validate(&self) -> Result<(), Error> {
        let ensure = |holds: bool, what| holds.then_some(()).ok_or(Error::Inconsistent(what));
        for (at, service) in self.services.iter().enumerate() {
            let others = || self.services[at + 1..].iter();
            let is_duplicate = others().any(|other| other.address == service.address);
            ensure(!is_duplicate, "two services at one address")?;
            let mut numbers = service.servers.iter().map(|server| server.number);
            let is_ascending = service.servers.is_sorted_by(|a, b| a.number < b.number);
            ensure(is_ascending, "server numbers are not in ascending order")?;
            let is_assigned =
                |number| number != NO_SERVER && u32::from(number) < service.next_number;
            ensure(
                numbers.all(is_assigned),
                "a server number was never assigned",
            )?;
            let is_listed =
                |number: &u16| *number == NO_SERVER || service.server(*number).is_some();
            let referenced = service.base.iter().chain(service.next.iter());
            ensure(
                referenced.into_iter().all(is_listed),
                "a bucket refers to an unlisted server",
            )?;
        }
        let mut addresses: Vec<_> = self.servers().map(|server| server.address).collect();
        addresses.sort_unstable();
        let is_unique = addresses.is_sorted_by(|a, b| a < b);
        ensure(is_unique, "a backend server is listed twice")
    }

    /// Iterates over the servers of all services.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.services.iter().flat_map(|service| &service.servers)
    }
}

impl Service {
    /// Returns the server with a number.
    #[must_use]
    pub fn server(&self, number: u16) -> Option<&Server> {
        let at = self.servers.binary_search_by_key(&number, |s| s.number);
        self.servers.get(at.ok()?)
    }

    /// Whether any bucket refers to the server.
    pub(crate) fn refers_to(&self, number: u16) -> bool {
        self.base.contains(&number) || self.next.contains(&number)
    }
}

/// The stored format: the document with its format number.
#[derive(Serialize, Deserialize)]
struct Versioned<D> {
    format: u32,
    document: D,
}

/// The part that all formats share, read to tell them apart.
#[derive(Deserialize)]
struct Header {
    format: u32,
}

/// Serialises tables in the compact text format of [`pack`].
mod packed {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use super::{Arc, pack};

    pub(super) fn serialize<S: Serializer>(
        table: &Arc<[u16]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&pack::encode(table))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u16]>, D::Error> {
        let text = String::deserialize(deserializer)?;
        pack::decode(&text).ok_or_else(|| D::Error::custom("not a bucket table"))
    }
}
