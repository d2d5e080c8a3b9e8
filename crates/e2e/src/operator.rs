//! Operator tasks on a deployment: reading and changing its configuration, and checking whether a
//! change is in force.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use acacia_config::{
    Config,
    document::{Document, Draft, Id, KEY},
};
use acacia_platform::{Client, Options, apply, store};

use crate::{
    deployment::{Deployment, Service, wait_until},
    layout::{PLATFORM_HOST, SERVERS},
    net::{PLATFORM, TRAFFIC},
    process::Process,
};

/// Time limit for a change to be in force on all balancers: several times the guaranteed limit, to
/// allow for machines that run other tests.
const IN_FORCE: Duration = Duration::from_secs(20);
/// Time for which an operator tries again while the platform doesn't answer.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(20);
/// Connection limit of each backend server.
const CONNECTIONS: u32 = 2_000;

impl Deployment {
    /// The plan's initial configuration, with every backend server active.
    pub fn config(&self) -> anyhow::Result<Config> {
        self.config_of(|service| service.at_start)
    }

    /// A configuration with the services of the plan for which `choose` returns true, and every
    /// backend server active.
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

    /// The configuration that was last passed to [`Deployment::apply`], initially that of the plan.
    pub fn current(&self) -> anyhow::Result<Config> {
        match &self.applied {
            Some(config) => Ok(config.clone()),
            None => self.config(),
        }
    }

    /// Applies `config` as the operators' tool does, which reads the key back if the answer to its write is
    /// lost, and returns the configuration's revision. If the platform doesn't answer, it tries again, as
    /// an operator would whom the tool tells that nothing was written.
    pub fn apply(&mut self, config: &Config) -> anyhow::Result<u64> {
        let draft = self.draft(config)?;
        let end = Instant::now() + OPERATOR_PATIENCE;
        loop {
            match self.attempt(&draft) {
                apply::Verdict::Accepted { revision } | apply::Verdict::Unchanged { revision } => {
                    return Ok(revision);
                }
                apply::Verdict::Refused(apply::Reason::Platform(error)) if Instant::now() < end => {
                    eprintln!("event=apply-repeated reason=\"{error}\"");
                }
                apply::Verdict::Refused(reason) => return Err(reason.into()),
                apply::Verdict::Conflict { .. } => anyhow::bail!("concurrent config change"),
                apply::Verdict::Unknown { .. } => {
                    return Err(acacia_platform::Error::Unknown.into());
                }
            }
        }
    }

    fn attempt(&self, draft: &Draft) -> apply::Verdict {
        let request = apply::Request {
            draft: draft.clone(),
            reviewed_revision: None,
            read_back: apply::READ_BACK,
        };
        let client = self.operator();
        let seed = self.changes as u64;
        self.runtime.block_on(apply::run(&client, request, seed))
    }

    /// Writes `config` to the platform's store with a compare-and-swap and returns its revision. Unlike
    /// [`Deployment::apply`], it fails if the answer to the write is lost.
    pub fn write(&mut self, config: &Config) -> anyhow::Result<u64> {
        let draft = self.draft(config)?;
        let client = self.operator();
        self.runtime.block_on(async {
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
                store::Outcome::Conflict { .. } => anyhow::bail!("concurrent config change"),
            }
        })
    }

    fn draft(&mut self, config: &Config) -> anyhow::Result<Draft> {
        self.changes += 1;
        self.applied = Some(config.clone());
        Ok(Draft {
            change: Id::new(self.changes),
            author: "e2e".into(),
            time: SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs(),
            config: config.clone(),
            in_force: None,
        })
    }

    fn operator(&self) -> Client {
        let address = SocketAddr::V4(self.network.port(PLATFORM_HOST, PLATFORM));
        Client::new(address, Options::default())
    }

    /// The last revision of the configuration that balancer `id` logged as in force, or 0, and
    /// whether the logged revisions never decreased.
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

    /// Waits until all balancers in `ids` have `revision` of the configuration, or a later one, in
    /// force.
    pub fn wait_in_force(&self, ids: &[u16], revision: u64) -> anyhow::Result<()> {
        wait_until(IN_FORCE, || {
            let late = ids.iter().find(|id| self.in_force(**id).0 < revision);
            match late {
                Some(id) => anyhow::bail!("revision {revision} is not in force on balancer {id}"),
                None => Ok(()),
            }
        })
    }
}
