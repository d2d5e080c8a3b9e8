use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use acacia_config::{self as config, Config};
use acacia_flow::snapshot::Address;
use acacia_wire::{collections::Set, flow::Protocol};

use crate::{
    Error,
    document::{Document, Service, State},
    number::{self, MAX_RELEASED, Released, Retired},
};

mod service;

/// The weight of a server of average or unknown speed.
pub const NOMINAL_WEIGHT: u32 = 1_000;

/// Inputs of an update of the tables, besides the previous tables and the configuration.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The Unix time in seconds.
    pub now: u64,
    /// Whether every balancer is known to have the tables of a version, or later ones
    /// ([`acacia_flow::Control::is_known_everywhere`]).
    pub is_known: &'a dyn Fn(u64) -> bool,
    /// The weight to set for a server, by the service's name and the server's name; `None` keeps
    /// the server's weight. [`NOMINAL_WEIGHT`] stands for average speed.
    pub weight: &'a dyn Fn(&str, &str) -> Option<u32>,
}

/// Builds the document that succeeds `previous` under a configuration. Returns `None` if nothing
/// changes, or if `previous` was built from a later configuration.
///
/// The base of a bucket moves only away from a server that is gone, and only once every balancer
/// is known to have a version in which that server gets no new flows. A change therefore takes
/// effect over several documents: call this function again when balancers are known to have
/// received a version, or when a deadline has passed.
///
/// Services and servers that can't be served are left out and don't delay the others: see
/// [`unserved`](crate::unserved).
///
/// # Errors
/// If the configuration can't be read, or the document would exceed the store's size limit.
///
/// ```
/// use acacia_config::{Config, Server, Service, document};
/// use acacia_tables::{Context, next_document};
///
/// let mut config = Config::default();
/// config
///     .add_service(Service::new("live", [10, 77, 0, 1], 443, 70))
///     .add_server(Server::new("live-1", "live", "10.1.0.1:6080".parse()?, "hervanta"));
/// let draft = document::Draft {
///     change: document::Id::new(1),
///     author: "aino".into(),
///     time: 0,
///     config,
///     in_force: None,
/// };
/// let accepted = document::Document::follow(None, &draft)?;
/// let context = Context { now: 0, is_known: &|_| false, weight: &|_, _| None };
/// let first = next_document(None, &accepted, &context)?.ok_or("a document")?;
/// assert_eq!((first.version, first.config), (1, 1));
/// assert_eq!(first.services[0].base, first.services[0].next);
/// assert_eq!(next_document(Some(&first), &accepted, &context)?, None);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn next_document(
    previous: Option<&Document>,
    accepted: &config::document::Document,
    context: &Context<'_>,
) -> Result<Option<Document>, Error> {
    let empty = Document::default();
    let before = previous.unwrap_or(&empty);
    if accepted.revision < before.config {
        return Ok(None);
    }
    let config = accepted.config()?;
    let served_services = served_services(accepted, &config)?;
    let next = Update::new(before, &config, context).run(&served_services);
    if previous.is_some() && next.services == before.services {
        return Ok(None);
    }
    let next = Document {
        config: accepted.revision,
        ..next
    };
    next.encode()?;
    Ok(Some(next))
}

/// A service of the configuration that the tables can serve.
struct ServedService<'a> {
    service: &'a config::Service,
    address: Address,
    instance: u64,
}

fn served_services<'a>(
    accepted: &config::document::Document,
    config: &'a Config,
) -> Result<Vec<ServedService<'a>>, Error> {
    let served = config.services().iter();
    let served = served.filter_map(|service| Some((service, address(service)?)));
    let with_instance = |(service, address): (&'a config::Service, Address)| {
        let instance = accepted.instances.get(&service.name).copied();
        let missing = || Error::InstanceMissing {
            service: Arc::clone(&service.name),
        };
        Ok(ServedService {
            service,
            address,
            instance: instance.ok_or_else(missing)?,
        })
    };
    served.map(with_instance).collect()
}

/// Returns the address that clients connect to; `None` if flow resolution doesn't support it.
pub(crate) fn address(service: &config::Service) -> Option<Address> {
    let IpAddr::V4(ip) = service.address else {
        return None;
    };
    let protocol = match service.protocol {
        config::Protocol::Tcp => Protocol::Tcp,
        config::Protocol::Udp => Protocol::Udp,
    };
    Some(Address {
        ip,
        port: service.port,
        protocol,
    })
}

/// The state of an update from one document to the next.
struct Update<'a> {
    before: &'a Document,
    config: &'a Config,
    context: &'a Context<'a>,
    version: u64,
    retired: Vec<Retired>,
    released: Vec<Released>,
}

impl<'a> Update<'a> {
    fn new(before: &'a Document, config: &'a Config, context: &'a Context<'a>) -> Self {
        let waiting = |released: &&Released| !(context.is_known)(released.version);
        Update {
            before,
            config,
            context,
            version: before.version + 1,
            retired: before.retired.clone(),
            released: before.released.iter().filter(waiting).copied().collect(),
        }
    }

    fn run(mut self, served_services: &[ServedService<'_>]) -> Document {
        for old in &self.before.services {
            let is_kept = |served: &ServedService<'_>| is_same_instance(served, old);
            if !served_services.iter().any(is_kept) {
                self.remove(old);
            }
        }
        let mut services: Vec<Service> = served_services
            .iter()
            .map(|served| self.carry_over(served))
            .collect();
        let listed = services.iter().flat_map(|service| &service.servers);
        let mut listed: Set<SocketAddr> = listed.map(|server| server.address).collect();
        for service in &mut services {
            let added = self.added_servers(service, &listed);
            listed.extend(added.iter().map(|(server, _)| server.address));
            service.add(added, self.version);
        }
        for service in &mut services {
            self.update_tables(service);
        }
        let mut fold = self.before.fold;
        number::merge_excess(&mut self.retired, &mut fold, self.context.now);
        let excess = self.released.len().saturating_sub(MAX_RELEASED);
        self.released.drain(..excess);
        Document {
            version: self.version,
            config: self.before.config,
            services,
            retired: self.retired,
            fold,
            released: self.released,
        }
    }

    /// Removes a service that is no longer configured, or was replaced at its address.
    fn remove(&mut self, old: &Service) {
        self.retired.push(Retired {
            address: old.address,
            next_number: old.next_number,
            at: self.context.now,
        });
        for server in &old.servers {
            self.release(server.address);
        }
    }

    fn release(&mut self, server: SocketAddr) {
        let version = self.version;
        self.released.push(Released { server, version });
    }

    /// Returns the previous service with its servers' states brought up to date, or a new service
    /// without servers.
    fn carry_over(&mut self, served: &ServedService<'_>) -> Service {
        let previous = &self.before.services;
        if let Some(old) = previous.iter().find(|old| is_same_instance(served, old)) {
            let mut service = old.clone();
            service.name = Arc::clone(&served.service.name);
            let is_over = |until: u64| until <= self.context.now;
            service.strict_until = old.strict_until.filter(|until| !is_over(*until));
            service.update_servers(self.config, served.service, self.context.now, self.version);
            return service;
        }
        let now = self.context.now;
        let (next_number, strict_until) =
            number::take_retired(&mut self.retired, &self.before.fold, &served.address, now);
        Service {
            name: Arc::clone(&served.service.name),
            address: served.address,
            instance: served.instance,
            since: self.version,
            strict_until,
            next_number,
            base: Arc::default(),
            next: Arc::default(),
            servers: Vec::new(),
        }
    }

    /// Returns the configured servers to add to a service: those that no service lists, and that no
    /// balancer may still use for another service.
    fn added_servers(
        &self,
        service: &Service,
        listed: &Set<SocketAddr>,
    ) -> Vec<(&'a config::Server, config::Limit)> {
        let Some(configured) = self.config.service(&service.name) else {
            return Vec::new();
        };
        // New flows of a new service are held back until every balancer has the service, so it
        // need not wait until all balancers have released its servers.
        let is_new = service.since == self.version;
        let in_use = |address| {
            let mut released = self.released.iter();
            !is_new && released.any(|released| released.server == address)
        };
        let servers = self.config.servers_of(&configured.name).iter();
        servers
            .filter(|server| !server.state.is_gone(self.context.now))
            .filter(|server| !listed.contains(&server.address) && !in_use(server.address))
            .map(|server| (server, server.limit_in(configured)))
            .collect()
    }

    /// Updates weights and tables of a service, and releases the servers that it no longer needs.
    fn update_tables(&mut self, service: &mut Service) {
        let before = self.before.services.iter();
        let before = before
            .clone()
            .find(|old| old.address == service.address && old.instance == service.instance);
        service.update_weights(before, self.context.weight);
        service.rebuild_next(before);
        let known = self.context.is_known;
        service.move_base(|closed| closed < self.version && known(closed));
        let servers = std::mem::take(&mut service.servers);
        let (kept, gone): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| server.state != State::Gone || service.refers_to(server.number));
        service.servers = kept;
        gone.iter().for_each(|server| self.release(server.address));
    }
}

fn is_same_instance(served: &ServedService<'_>, old: &Service) -> bool {
    served.address == old.address && served.instance == old.instance
}

impl Document {
    /// Counts the conditions that may make [`next_document`] return another document under the
    /// same configuration: deadlines that have passed, and changes that every balancer is known to
    /// have.
    ///
    /// The count only increases while the document stays the same, so there is nothing to update
    /// as long as the count is unchanged. It is cheap enough to be polled.
    ///
    /// ```
    /// use acacia_tables::Document;
    /// assert_eq!(Document::default().due_updates(0, &|_| true), 0);
    /// ```
    #[must_use]
    pub fn due_updates(&self, now: u64, is_known: &dyn Fn(u64) -> bool) -> usize {
        let is_over = |until: Option<u64>| until.is_some_and(|until| until <= now);
        let is_due = |server: &&crate::Server| match server.state {
            State::Up => false,
            State::Draining { deadline } => is_over(deadline),
            State::Gone => server.closed.is_some_and(is_known),
        };
        let services = self.services.iter();
        let released = self.released.iter();
        services
            .filter(|service| is_over(service.strict_until))
            .count()
            + self.servers().filter(is_due).count()
            + released
                .filter(|released| is_known(released.version))
                .count()
    }
}
