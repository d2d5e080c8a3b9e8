//! What operators do with a deployment: its configuration, changes of it, and whether they are in
//! force.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use acacia_config::{
    Config,
    document::{Document, Draft, Id, KEY},
};
use acacia_platform::{Client, Options, store};

use crate::{
    deployment::{Deployment, Service, wait_until},
    layout::{PLATFORM_HOST, SERVERS},
    net::{PLATFORM, TRAFFIC},
    process::Process,
};

/// How long a change may take to be in force everywhere: several times what is promised, for
/// machines that are busy with other tests.
const IN_FORCE: Duration = Duration::from_secs(20);
/// Connections that each backend server takes.
const CONNECTIONS: u32 = 2_000;

impl Deployment {
    /// The configuration that the plan describes for the start, every backend server active.
    pub fn config(&self) -> anyhow::Result<Config> {
        self.config_of(|service| service.at_start)
    }

    /// The configuration of those services of the plan that `choose` picks.
    pub fn config_of(&self, choose: impl Fn(&Service) -> bool) -> anyhow::Result<Config> {
        let mut config = Config::default();
        let count = self.plan.services.iter().filter(|s| choose(s)).count();
        let mut host = SERVERS;
        for service in &self.plan.services {
            let hosts = host..host + service.servers;
            host = hosts.end;
            if !choose(service) {
                continue;
            }
            let (address, port) = (*service.address.ip(), service.address.port());
            let share = 100 / count as u8;
            let new = acacia_config::Service::new(service.name, address, port, share);
            let slots = service.slots as u16;
            config.add_service(new.callers(service.mark).limit(slots, CONNECTIONS));
            for (number, host) in (1..).zip(hosts) {
                let name = format!("{}-{number}", service.name);
                let address = SocketAddr::V4(self.network.port(host, TRAFFIC));
                let centre = self.data_centre(number);
                config.add_server(acacia_config::Server::new(
                    &name,
                    service.name,
                    address,
                    centre,
                ));
            }
        }
        Ok(config)
    }

    /// The configuration that was applied last.
    pub fn current(&self) -> anyhow::Result<Config> {
        match &self.applied {
            Some(config) => Ok(config.clone()),
            None => self.config(),
        }
    }

    /// Swaps `config` into the platform's store, as an operator's `apply` does.
    pub fn apply(&mut self, config: &Config) -> anyhow::Result<u64> {
        self.changes += 1;
        let draft = Draft {
            change: Id::new(self.changes),
            author: "e2e".into(),
            time: SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs(),
            config: config.clone(),
            in_force: None,
        };
        self.applied = Some(config.clone());
        let address = SocketAddr::V4(self.network.port(PLATFORM_HOST, PLATFORM));
        self.runtime.block_on(async {
            let client = Client::new(address, Options::default());
            let key: Arc<str> = KEY.into();
            let before = client.get(&key).await?;
            let document = before.value.as_deref().map(Document::decode).transpose()?;
            let after = Document::follow(document.as_ref(), &draft)?;
            let swap = store::Swap {
                key,
                expected: before.revision,
                value: Some(after.encode().into()),
                lease: None,
            };
            match client.swap(swap).await? {
                store::Outcome::Written { .. } => Ok(after.revision),
                store::Outcome::Conflict { .. } => anyhow::bail!("another write came between"),
            }
        })
    }

    /// The highest revision of the configuration that balancer `id` has had in force, 0 if none,
    /// and whether none of them was lower than the one before.
    #[must_use]
    pub fn in_force(&self, id: u16) -> (u64, bool) {
        let log = self
            .balancers
            .get(&id)
            .map(Process::log)
            .unwrap_or_default();
        let revisions: Vec<u64> = log
            .lines()
            .filter_map(|line| line.split_once("event=config-in-force revision="))
            .filter_map(|(_, revision)| revision.trim().parse().ok())
            .collect();
        let last = revisions.last().copied().unwrap_or(0);
        (last, revisions.is_sorted())
    }

    /// Waits until each of `ids` has `revision` of the configuration in force, or a later one.
    pub fn wait_in_force(&self, ids: &[u16], revision: u64) -> anyhow::Result<()> {
        wait_until(IN_FORCE, || {
            let late = ids.iter().find(|id| self.in_force(**id).0 < revision);
            match late {
                Some(id) => anyhow::bail!("balancer {id} does not have revision {revision}"),
                None => Ok(()),
            }
        })
    }
}
