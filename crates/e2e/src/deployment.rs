//! A whole deployment: platform, fabric, backend servers and balancers, each a process.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4, TcpListener},
    time::{Duration, Instant},
};

use acacia_config::{Config, Mark};
use acacia_stand::admin::{self, Command};
use anyhow::Context as _;
use nix::sys::signal::Signal;

use crate::{
    layout::{FABRIC_HOST, SERVERS, fabric_arguments, host, platform_arguments, relay_arguments},
    net::{ADMIN, ANSWERS, Network, TRAFFIC},
    process::{Ended, Process},
};

/// How long a process may take to end when asked to.
const ENDING: Duration = Duration::from_secs(20);

/// Between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// Balancers that start together own flows after this long, several times over.
const SETTLED: Duration = Duration::from_secs(8);

/// A service of the deployment, and how its backend servers behave.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// The mark of its callers.
    pub mark: Mark,
    /// Number of backend servers.
    pub servers: u8,
    /// Pieces of work that each runs at once.
    pub slots: usize,
    /// How long a piece of work takes, in milliseconds, by server: the list is repeated.
    pub work: Vec<u64>,
    /// Whether it is in the configuration from the start; its backend servers run anyway.
    pub at_start: bool,
}

impl Service {
    /// How long a piece of work takes at backend server `number`, counted from 1, in milliseconds.
    #[must_use]
    pub fn work_of(&self, number: u8) -> u64 {
        self.work[usize::from(number - 1) % self.work.len()]
    }
}

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The services.
    pub services: Vec<Service>,
    /// Number of balancers.
    pub balancers: u16,
    /// Data centres, over which balancers and backend servers are dealt out in turn.
    pub data_centres: Vec<&'static str>,
}

/// A sender and a receiver: balancers' numbers, or [`PLATFORM_ID`](crate::fault::PLATFORM_ID).
pub type Direction = (u16, u16);

/// A backend server that runs.
#[derive(Debug)]
struct Server {
    name: String,
    host: u8,
    process: Process,
}

/// The running processes. Dropping it ends them all.
#[derive(Debug)]
pub struct Deployment {
    pub(crate) network: Network,
    pub(crate) plan: Plan,
    pub(crate) runtime: tokio::runtime::Runtime,
    servers: Vec<Server>,
    pub(crate) balancers: BTreeMap<u16, Process>,
    pub(crate) cut: BTreeSet<Direction>,
    _fabric: Process,
    _platform: Process,
    _relay: Process,
    _claim: TcpListener,
    pub(crate) changes: u128,
    pub(crate) applied: Option<Config>,
}

impl Deployment {
    /// Starts everything and puts `config` in the platform's store.
    pub fn start(plan: Plan) -> anyhow::Result<Self> {
        let (network, claim) = Network::claim()?;
        let platform = Process::start("acacia-stand", &platform_arguments(network), "")?;
        let fabric = Process::start("acacia-stand", &fabric_arguments(network), "")?;
        let relay = Process::start("acacia-stand", &relay_arguments(network, &plan), "")?;
        let mut deployment = Deployment {
            network,
            plan,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?,
            servers: Vec::new(),
            balancers: BTreeMap::new(),
            cut: BTreeSet::new(),
            _fabric: fabric,
            _platform: platform,
            _relay: relay,
            _claim: claim,
            changes: 0,
            applied: None,
        };
        deployment.start_servers()?;
        deployment.apply(&deployment.config()?)?;
        for id in 1..=deployment.plan.balancers {
            deployment.start_balancer(id)?;
        }
        deployment.spray_over_all()?;
        Ok(deployment)
    }

    /// The network that the deployment lives in.
    #[must_use]
    pub fn network(&self) -> Network {
        self.network
    }

    /// Starts balancer `id`; the platform lists it, the fabric doesn't know it yet.
    pub fn start_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        let arguments = ["--settings".to_owned(), "-".to_owned()];
        let process = Process::start("acaciad", &arguments, &self.settings(id))?;
        self.balancers.insert(id, process);
        self.list(&self.balancers())
    }

    /// Asks balancer `id` to end and waits for it; gives its exit status.
    pub fn end_balancer(&mut self, id: u16) -> anyhow::Result<i32> {
        self.signal_balancer(id, Signal::SIGTERM)?;
        Ok(self.wait_balancer(id)?.status)
    }

    /// Kills balancer `id`; the platform's list of VMs no longer has it.
    pub fn kill_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        self.signal_balancer(id, Signal::SIGKILL)?;
        self.wait_balancer(id).map(|_| ())
    }

    /// Waits until balancer `id`, which was told to end, has ended.
    pub fn wait_balancer(&mut self, id: u16) -> anyhow::Result<Ended> {
        let process = self.balancers.remove(&id).context("no such balancer")?;
        let ended = process.wait(ENDING)?;
        self.list(&self.balancers())?;
        Ok(ended)
    }

    /// Whether balancer `id` runs.
    pub fn is_running(&mut self, id: u16) -> bool {
        self.balancers.get_mut(&id).is_some_and(Process::is_running)
    }

    /// Sends a signal to balancer `id`.
    pub fn signal_balancer(&mut self, id: u16, signal: Signal) -> anyhow::Result<()> {
        self.balancers
            .get(&id)
            .context("no such balancer")?
            .signal(signal)
    }

    /// What balancer `id` has logged since it was started.
    #[must_use]
    pub fn log(&self, id: u16) -> String {
        self.balancers
            .get(&id)
            .map(Process::log)
            .unwrap_or_default()
    }

    /// The most memory that balancer `id` has had resident at a time, in bytes.
    ///
    /// # Errors
    /// When it does not run.
    pub fn peak_memory(&self, id: u16) -> anyhow::Result<u64> {
        let process = self.balancers.get(&id);
        process.context("no such balancer")?.peak_memory()
    }

    /// The balancers that were started and not ended.
    #[must_use]
    pub fn balancers(&self) -> Vec<u16> {
        self.balancers.keys().copied().collect()
    }

    /// Waits until the balancers know each other and own flows: they start joining, and are ready
    /// after some heartbeats.
    pub fn settle(&self) {
        std::thread::sleep(SETTLED);
    }

    /// Replaces balancer `id` as a planned change: the fabric stops sending to it, it hands over
    /// and ends, a new one starts under the same number and joins.
    pub fn replace_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        let others: Vec<u16> = self
            .balancers()
            .into_iter()
            .filter(|other| *other != id)
            .collect();
        self.spray_over(&others)?;
        let status = self.end_balancer(id)?;
        anyhow::ensure!(status == 0, "balancer {id} ended with status {status}");
        self.start_balancer(id)?;
        self.settle();
        self.spray_over_all()
    }

    /// Connections that the backend server `name` has taken since its start.
    pub fn opened(&self, name: &str) -> anyhow::Result<u64> {
        let server = self
            .servers
            .iter()
            .find(|s| s.name == name)
            .context("no such server")?;
        let address = SocketAddr::V4(self.network.port(server.host, ADMIN));
        admin::ask(address, &Command::Opened)?
            .parse()
            .context("a count was expected")
    }

    /// The fabric sprays over `ids` from now on.
    pub fn spray_over(&self, ids: &[u16]) -> anyhow::Result<()> {
        let addresses = ids
            .iter()
            .map(|id| SocketAddr::V4(self.network.port(host(*id), TRAFFIC)))
            .collect();
        self.command(FABRIC_HOST, &Command::Balancers(addresses))
    }

    /// The fabric sprays over all balancers that were started and not ended.
    pub fn spray_over_all(&self) -> anyhow::Result<()> {
        self.spray_over(&self.balancers())
    }

    /// Tells the fabric or a backend server something.
    pub fn command(&self, host: u8, command: &Command) -> anyhow::Result<()> {
        admin::send(SocketAddr::V4(self.network.port(host, ADMIN)), command)
    }

    /// Tells the backend server `name` how long a piece of work takes from now on.
    pub fn set_work(&self, name: &str, millis: u64) -> anyhow::Result<()> {
        let server = self
            .servers
            .iter()
            .find(|s| s.name == name)
            .context("no such server")?;
        self.command(server.host, &Command::Work(millis))
    }

    /// Starts a caller with the address 192.0.2.`number`, asking `service`.
    pub fn caller(
        &self,
        number: u8,
        service: &str,
        arguments: &[(&str, String)],
    ) -> anyhow::Result<Process> {
        let service = self
            .plan
            .services
            .iter()
            .find(|s| s.name == service)
            .context("no such service")?;
        let mut all = vec![
            "caller".to_owned(),
            format!("--fabric={}", self.network.port(FABRIC_HOST, TRAFFIC)),
            format!("--listen={}:0", self.network.host(1)),
            format!("--address=192.0.2.{number}"),
            format!("--service={}", service.address),
        ];
        all.extend(
            arguments
                .iter()
                .map(|(name, value)| format!("--{name}={value}")),
        );
        Process::start("acacia-stand", &all, "")
    }

    /// Ends the backend servers and gives the line of results of each.
    pub fn end_servers(&mut self) -> anyhow::Result<Vec<String>> {
        let servers = std::mem::take(&mut self.servers);
        servers
            .into_iter()
            .map(|server| Ok(server.process.end(ENDING)?.output))
            .collect()
    }

    /// Ends all balancers and backend servers gracefully.
    pub fn end_all(&mut self) -> anyhow::Result<()> {
        let balancers = std::mem::take(&mut self.balancers);
        // All are asked before the first is waited for.
        let asked = balancers
            .values()
            .try_for_each(|b| b.signal(Signal::SIGTERM));
        asked?;
        for (id, process) in balancers {
            let status = process.wait(ENDING)?.status;
            anyhow::ensure!(status == 0, "balancer {id} ended with status {status}");
        }
        self.end_servers().map(|_| ())
    }

    fn start_servers(&mut self) -> anyhow::Result<()> {
        let mut host = SERVERS;
        for service in self.plan.services.clone() {
            for number in 1..=service.servers {
                let name = format!("{}-{number}", service.name);
                let work = service.work_of(number);
                let arguments = [
                    "backend".to_owned(),
                    format!("--name={name}"),
                    format!("--listen={}", self.network.port(host, TRAFFIC)),
                    format!("--fabric={}", self.network.port(FABRIC_HOST, ANSWERS)),
                    format!("--admin={}", self.network.port(host, ADMIN)),
                    format!("--service={}", service.address),
                    format!("--slots={}", service.slots),
                    format!("--work={work}"),
                ];
                let process = Process::start("acacia-stand", &arguments, "")?;
                self.servers.push(Server {
                    name,
                    host,
                    process,
                });
                host += 1;
            }
        }
        Ok(())
    }

    /// The data centre of the balancer or backend server with this number.
    pub(crate) fn data_centre(&self, number: u16) -> &'static str {
        let count = self.plan.data_centres.len();
        self.plan.data_centres[usize::from(number) % count]
    }
}

/// Looks until `look` finds nothing amiss; after `limit` fails with what it finds then.
pub fn wait_until(
    limit: Duration,
    mut look: impl FnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + limit;
    loop {
        match look() {
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(LOOK),
            Ok(()) => return Ok(()),
        }
    }
}
