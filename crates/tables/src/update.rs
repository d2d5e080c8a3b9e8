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

/// The weight of a server of average speed, and of one whose speed is not known.
pub const NOMINAL_WEIGHT: u32 = 1_000;

/// What the next tables depend on besides the tables before and the configuration.
#[derive(Clone, Copy)]
pub struct UpdateContext<'a> {
    /// Seconds of Unix time.
    pub now: u64,
    /// Whether every balancer is known to have tables of a version
    /// ([`acacia_flow::Control::is_known_everywhere`]).
    pub is_known: &'a dyn Fn(u64) -> bool,
    /// The weight of a server of a service, by their names, in [`NOMINAL_WEIGHT`]s of 1,000; none leaves it
    /// as it is.
    pub weight: &'a dyn Fn(&str, &str) -> Option<u32>,
}

/// The document that follows `previous` under a configuration; none if nothing changes, or if
/// `previous` follows a later configuration.
///
/// The base of a bucket moves only away from a server that is gone, and only once every balancer
/// is known to have a version in which that server takes no new flows. So a change takes effect
/// over several documents: call this again when more is known, or when a deadline has passed.
///
/// What can't be served is left out and does not hold up the rest: see [`unserved`].
///
/// # Errors
/// When the configuration can't be read, or the document would not fit into the store.
///
/// ```
/// use acacia_config::{Config, Server, Service, document};
/// use acacia_tables::{UpdateContext, next_document};
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
/// let context = UpdateContext { now: 0, is_known: &|_| false, weight: &|_, _| None };
/// let first = next_document(None, &accepted, &context)?.ok_or("a document")?;
/// assert_eq!((first.version, first.config), (1, 1));
/// assert_eq!(first.services[0].base, first.services[0].next);
/// assert_eq!(next_document(Some(&first), &accepted, &context)?, None);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn next_document(
    previous: Option<&Document>,
    accepted: &config::document::Document,
    context: &UpdateContext<'_>,
) -> Result<Option<Document>, Error> {
    let empty = Document::default();
    let before = previous.unwrap_or(&empty);
    if accepted.revision < before.config {
        return Ok(None);
    }
    let config = accepted.config()?;
    let fronts = fronts(accepted, &config)?;
    let next = Step::new(before, &config, context).run(&fronts);
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

/// A service of the configuration that can be served.
struct Front<'a> {
    service: &'a config::Service,
    address: Address,
    instance: u64,
}

fn fronts<'a>(
    accepted: &config::document::Document,
    config: &'a Config,
) -> Result<Vec<Front<'a>>, Error> {
    let served = config.services().iter();
    let served = served.filter_map(|service| Some((service, address(service)?)));
    let front = |(service, address): (&'a config::Service, Address)| {
        let instance = accepted.instances.get(&service.name).copied();
        let missing = || Error::InstanceMissing {
            service: Arc::clone(&service.name),
        };
        Ok(Front {
            service,
            address,
            instance: instance.ok_or_else(missing)?,
        })
    };
    served.map(front).collect()
}

/// Where callers reach a service; none at addresses that flow resolution doesn't carry.
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

/// One step from a document to the next.
struct Step<'a> {
    before: &'a Document,
    config: &'a Config,
    context: &'a UpdateContext<'a>,
    version: u64,
    retired: Vec<Retired>,
    released: Vec<Released>,
}

impl<'a> Step<'a> {
    fn new(before: &'a Document, config: &'a Config, context: &'a UpdateContext<'a>) -> Self {
        let waiting = |released: &&Released| !(context.is_known)(released.version);
        Step {
            before,
            config,
            context,
            version: before.version + 1,
            retired: before.retired.clone(),
            released: before.released.iter().filter(waiting).copied().collect(),
        }
    }

    fn run(mut self, fronts: &[Front<'_>]) -> Document {
        for old in &self.before.services {
            let stays = |front: &Front<'_>| is_same(front, old);
            if !fronts.iter().any(stays) {
                self.remove(old);
            }
        }
        let mut services: Vec<Service> = fronts.iter().map(|front| self.aged(front)).collect();
        let listed = services.iter().flat_map(|service| &service.servers);
        let mut listed: Set<SocketAddr> = listed.map(|server| server.address).collect();
        for service in &mut services {
            let fresh = self.fresh(service, &listed);
            listed.extend(fresh.iter().map(|(server, _)| server.address));
            service.add(fresh, self.version);
        }
        for service in &mut services {
            self.finish(service);
        }
        let mut fold = self.before.fold;
        number::fold(&mut self.retired, &mut fold, self.context.now);
        let beyond = self.released.len().saturating_sub(MAX_RELEASED);
        self.released.drain(..beyond);
        Document {
            version: self.version,
            config: self.before.config,
            services,
            retired: self.retired,
            fold,
            released: self.released,
        }
    }

    /// Ends a service: it was removed, or another was created on its address.
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

    /// The service as it was, with its servers' states brought up to date, or a new one without
    /// servers.
    fn aged(&mut self, front: &Front<'_>) -> Service {
        let olds = &self.before.services;
        if let Some(old) = olds.iter().find(|old| is_same(front, old)) {
            let mut service = old.clone();
            service.name = Arc::clone(&front.service.name);
            let is_over = |until: u64| until <= self.context.now;
            service.strict_until = old.strict_until.filter(|until| !is_over(*until));
            service.age(self.config, front.service, self.context.now, self.version);
            return service;
        }
        let now = self.context.now;
        let (next_number, strict_until) =
            number::revive(&mut self.retired, &self.before.fold, &front.address, now);
        Service {
            name: Arc::clone(&front.service.name),
            address: front.address,
            instance: front.instance,
            since: self.version,
            strict_until,
            next_number,
            base: Arc::default(),
            next: Arc::default(),
            servers: Vec::new(),
        }
    }

    /// The configuration's servers that the service doesn't have yet, and that none has.
    fn fresh(
        &self,
        service: &Service,
        listed: &Set<SocketAddr>,
    ) -> Vec<(&'a config::Server, config::Limit)> {
        let Some(front) = self.config.service(&service.name) else {
            return Vec::new();
        };
        // New flows of a service are held back until every balancer knows of it, so a new one
        // need not wait for servers.
        let is_new = service.since == self.version;
        let in_use = |address| {
            let mut released = self.released.iter();
            !is_new && released.any(|released| released.server == address)
        };
        let servers = self.config.servers_of(&front.name).iter();
        servers
            .filter(|server| !server.state.is_gone(self.context.now))
            .filter(|server| !listed.contains(&server.address) && !in_use(server.address))
            .map(|server| (server, server.limit_in(front)))
            .collect()
    }

    /// Brings weights and tables up to date, and lets go of servers that are no longer needed.
    fn finish(&mut self, service: &mut Service) {
        let before = self.before.services.iter();
        let before = before
            .clone()
            .find(|old| old.address == service.address && old.instance == service.instance);
        service.weigh(before, self.context.weight);
        service.place_new(before);
        let known = self.context.is_known;
        service.move_base(|closed| closed < self.version && known(closed));
        let servers = std::mem::take(&mut service.servers);
        let (kept, gone): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| server.state != State::Gone || service.names(server.number));
        service.servers = kept;
        gone.iter().for_each(|server| self.release(server.address));
    }
}

fn is_same(front: &Front<'_>, old: &Service) -> bool {
    front.address == old.address && front.instance == old.instance
}

impl Document {
    /// How many things may let [`next_document`] give another document under the same configuration:
    /// deadlines that have passed, and changes that every balancer knows of. It only rises as long
    /// as the document is the same, so a look is in vain while the number is. Cheap, so that it
    /// can be asked often.
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
