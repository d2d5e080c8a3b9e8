use std::{fmt, net::SocketAddr, sync::Arc};

use acacia_config::{
    Config, Server, Service, State,
    document::{Document, Draft, Id},
};

/// Dimensions and the values measured in each.
pub const DIMENSIONS: &[(&str, &[u32])] = &[
    ("peers", &[2, 4, 8, 16, 32, 64]),
    ("servers", &[4, 15, 30, 60, 120, 240]),
    ("services", &[1, 4, 9, 18, 36]),
    ("pins", &[0, 12_500, 25_000, 50_000, 100_000]),
    ("changes", &[0, 1, 2, 6, 12]),
];

/// Size of the simulated group and of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of balancers in the group.
    pub peers: u16,
    /// Backend servers per service.
    pub servers: u32,
    /// Number of services.
    pub services: u32,
    /// Pins held by each balancer as first or second owner.
    pub pins: u32,
    /// Configuration changes per minute.
    pub changes: u32,
}

impl Default for Size {
    fn default() -> Self {
        Size {
            peers: 8,
            servers: 15,
            services: 4,
            pins: 0,
            changes: 0,
        }
    }
}

impl Size {
    /// Returns a copy with the named dimension set to another value.
    #[must_use]
    pub fn with(mut self, dimension: &str, value: u32) -> Self {
        match dimension {
            "peers" => self.peers = value as u16,
            "servers" => self.servers = value,
            "services" => self.services = value,
            "pins" => self.pins = value,
            _ => self.changes = value,
        }
        self
    }

    /// Builds the configuration, whose services all have the same number of backend servers.
    #[must_use]
    pub fn config(&self) -> Config {
        let mut config = Config::default();
        for service in 0..self.services {
            let name = format!("service-{service}");
            let [.., high, low] = service.to_be_bytes();
            config.add_service(Service::new(&name, [10, 77, high, low], 443, 1));
            for server in 0..self.servers {
                let number = service * self.servers + server;
                let [_, a, b, c] = (number + 1).to_be_bytes();
                let at = SocketAddr::from(([10, 100 + a, b, c], 6_080));
                let own = format!("server-{number}");
                config.add_server(Server::new(&own, &name, at, "hervanta"));
            }
        }
        config
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "peers={} servers={} services={} pins={} changes_per_minute={}",
            self.peers, self.servers, self.services, self.pins, self.changes
        )
    }
}

/// Applies change `number` to the configuration `before`: alternately drains the first backend
/// server of the first service and returns it to service.
pub fn change(
    before: Option<&Document>,
    mut config: Config,
    number: u64,
) -> anyhow::Result<Arc<Document>> {
    config.update_server("server-0", |server| {
        server.state = match number % 2 {
            1 => State::Drain { deadline: None },
            _ => State::Active,
        };
    });
    let draft = Draft {
        change: Id::new(u128::from(number) + 1),
        author: "aino".into(),
        time: 1_800_000_000 + number,
        config,
        in_force: None,
    };
    Ok(Arc::new(Document::follow(before, &draft)?))
}
