//! A complete deployment: platform, fabric, backend servers and balancers, each in a process of its
//! own.

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

/// Time limit for a process to exit after it was asked to.
const EXIT_LIMIT: Duration = Duration::from_secs(20);

/// Interval of polling a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time to wait for balancers to own flows: several times what they need when started together.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// A service of the deployment and the behaviour of its backend servers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Public address and port.
    pub address: SocketAddrV4,
    /// The mark of its callers.
    pub mark: Mark,
    /// Number of backend servers.
    pub servers: u8,
    /// Number of requests that each backend server processes concurrently.
    pub slots: usize,
    /// Processing time of a request in milliseconds, by backend server; repeated if the list is
    /// shorter than the number of servers.
    pub work: Vec<u64>,
    /// Whether the initial configuration contains the service. Its backend servers run either way.
    pub at_start: bool,
}

impl Service {
    /// Processing time of a request at backend server `number`, counted from 1, in milliseconds.
    #[must_use]
    pub fn work_of(&self, number: u8) -> u64 {
        self.work[usize::from(number - 1) % self.work.len()]
    }
}

/// The services, balancers and data centres of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The services.
    pub services: Vec<Service>,
    /// Number of balancers.
    pub balancers: u16,
    /// Data centres, to which balancers and backend servers are assigned in turn.
    pub data_centres: Vec<&'static str>,
}

/// Sender and receiver: balancer ids, or [`PLATFORM_ID`](crate::fault::PLATFORM_ID).
pub type Direction = (u16, u16);

/// A running backend server.
#[derive(Debug)]
struct Server {
    name: String,
    host: u8,
    process: Process,
}

/// A running deployment. Dropping it kills all of its processes.
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
    /// Starts all processes and writes the plan's initial configuration to the platform's store.
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

    /// The loopback network of the deployment.
    #[must_use]
    pub fn network(&self) -> Network {
        self.network
    }

    /// Starts balancer `id` and adds it to the platform's list of VMs. The fabric does not send to it
    /// yet.
    pub fn start_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        let arguments = ["--settings".to_owned(), "-".to_owned()];
        let process = Process::start("acaciad", &arguments, &self.settings(id))?;
        self.balancers.insert(id, process);
        self.list(&self.balancers())
    }

    /// Sends SIGTERM to balancer `id` and waits for it to exit. Returns its exit status.
    pub fn end_balancer(&mut self, id: u16) -> anyhow::Result<i32> {
        self.signal_balancer(id, Signal::SIGTERM)?;
        Ok(self.wait_balancer(id)?.status)
    }

    /// Kills balancer `id` and removes it from the platform's list of VMs.
    pub fn kill_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        self.signal_balancer(id, Signal::SIGKILL)?;
        self.wait_balancer(id).map(|_| ())
    }

    /// Waits for balancer `id`, which was signalled before, to exit, and removes it from the
    /// platform's list of VMs.
    pub fn wait_balancer(&mut self, id: u16) -> anyhow::Result<Ended> {
        let process = self.balancers.remove(&id).context("no such balancer")?;
        let ended = process.wait(EXIT_LIMIT)?;
        self.list(&self.balancers())?;
        Ok(ended)
    }

    /// Whether balancer `id` is running.
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

    /// The log of balancer `id` since its last start.
    #[must_use]
    pub fn log(&self, id: u16) -> String {
        self.balancers
            .get(&id)
            .map(Process::log)
            .unwrap_or_default()
    }

    /// Peak resident memory of balancer `id`, in bytes.
    ///
    /// # Errors
    /// When it is not running.
    pub fn peak_memory(&self, id: u16) -> anyhow::Result<u64> {
        let process = self.balancers.get(&id);
        process.context("no such balancer")?.peak_memory()
    }

    /// Ids of the balancers that were started and not ended.
    #[must_use]
    pub fn balancers(&self) -> Vec<u16> {
        self.balancers.keys().copied().collect()
    }

    /// Waits until the balancers know each other and own flows, which takes several heartbeats after
    /// their start.
    pub fn settle(&self) {
        std::thread::sleep(SETTLE_TIME);
    }

    /// Replaces balancer `id` as in a planned upgrade: the fabric stops sending to it, it hands over
    /// its flows and exits, and a new process with the same id starts and joins.
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

    /// Number of connections that the backend server `name` has accepted since its start.
    pub fn opened(&self, name: &str) -> anyhow::Result<u64> {
        let server = self
            .servers
            .iter()
            .find(|s| s.name == name)
            .context("no such server")?;
        let address = SocketAddr::V4(self.network.port(server.host, ADMIN));
        admin::ask(address, &Command::Opened)?
            .parse()
            .context("expected a number")
    }

    /// Makes the fabric spray packets over the balancers `ids`.
    pub fn spray_over(&self, ids: &[u16]) -> anyhow::Result<()> {
        let addresses = ids
            .iter()
            .map(|id| SocketAddr::V4(self.network.port(host(*id), TRAFFIC)))
            .collect();
        self.command(FABRIC_HOST, &Command::Balancers(addresses))
    }

    /// Makes the fabric spray packets over all balancers that were started and not ended.
    pub fn spray_over_all(&self) -> anyhow::Result<()> {
        self.spray_over(&self.balancers())
    }

    /// Sends a command to the fabric, the relay or a backend server.
    pub fn command(&self, host: u8, command: &Command) -> anyhow::Result<()> {
        admin::send(SocketAddr::V4(self.network.port(host, ADMIN)), command)
    }

    /// Sets the processing time of a request at the backend server `name`, in milliseconds.
    pub fn set_work(&self, name: &str, millis: u64) -> anyhow::Result<()> {
        let server = self
            .servers
            .iter()
            .find(|s| s.name == name)
            .context("no such server")?;
        self.command(server.host, &Command::Work(millis))
    }

    /// Starts a caller of `service` with the address 192.0.2.`number`.
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

    /// Ends the backend servers and returns their results, one line for each.
    pub fn end_servers(&mut self) -> anyhow::Result<Vec<String>> {
        let servers = std::mem::take(&mut self.servers);
        servers
            .into_iter()
            .map(|server| Ok(server.process.end(EXIT_LIMIT)?.output))
            .collect()
    }

    /// Ends all balancers and backend servers gracefully.
    pub fn end_all(&mut self) -> anyhow::Result<()> {
        let balancers = std::mem::take(&mut self.balancers);
        // Signal all balancers before waiting for the first, so that they shut down concurrently.
        let asked = balancers
            .values()
            .try_for_each(|b| b.signal(Signal::SIGTERM));
        asked?;
        for (id, process) in balancers {
            let status = process.wait(EXIT_LIMIT)?.status;
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

/// Polls `check` until it succeeds. After `limit`, fails with the last error.
pub fn wait_until(
    limit: Duration,
    mut check: impl FnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + limit;
    loop {
        match check() {
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(POLL_INTERVAL),
            Ok(()) => return Ok(()),
        }
    }
}
