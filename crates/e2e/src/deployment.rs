//! A whole deployment: platform, fabric, backend servers and balancers, each a process.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use acacia_config::{
    Config,
    document::{Document, Draft, Id, KEY},
};
use acacia_platform::{Client, Options, store};
use acacia_stand::admin::{self, Command};
use anyhow::Context as _;
use nix::sys::signal::Signal;

use crate::{
    net::{ADMIN, ANSWERS, CONTROL, Network, PLATFORM, TRAFFIC},
    process::Process,
};

/// Host number of the platform.
const PLATFORM_HOST: u8 = 2;
/// Host number of the fabric.
const FABRIC_HOST: u8 = 3;
/// Host number of the first balancer, which is number 1.
const BALANCERS: u8 = 10;
/// Host number of the first backend server.
const SERVERS: u8 = 100;
/// Key of the traffic between balancers, in hexadecimal.
const SECRET: &str = "4d2f1a9b8c7d6e5f00112233445566778899aabbccddeeff0123456789abcdef";
/// How long a process may take to end when asked to.
const ENDING: Duration = Duration::from_secs(20);

/// Balancers that start together own flows after this long, several times over.
const SETTLED: Duration = Duration::from_secs(4);

/// A service of the deployment, and how its backend servers behave.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Number of backend servers.
    pub servers: u8,
    /// Pieces of work that each runs at once.
    pub slots: usize,
    /// How long a piece of work takes, in milliseconds, by server: the list is repeated.
    pub work: Vec<u64>,
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
    network: Network,
    plan: Plan,
    runtime: tokio::runtime::Runtime,
    servers: Vec<Server>,
    balancers: BTreeMap<u16, Process>,
    _fabric: Process,
    _platform: Process,
    changes: u128,
}

impl Deployment {
    /// Starts everything and puts `config` in the platform's store.
    pub fn start(plan: Plan) -> anyhow::Result<Self> {
        let network = Network::unused();
        let platform = Process::start("acacia-stand", &platform_arguments(network), "")?;
        let fabric = Process::start("acacia-stand", &fabric_arguments(network), "")?;
        let mut deployment = Deployment {
            network,
            plan,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?,
            servers: Vec::new(),
            balancers: BTreeMap::new(),
            _fabric: fabric,
            _platform: platform,
            changes: 0,
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

    /// The configuration that the plan describes, every backend server active.
    pub fn config(&self) -> anyhow::Result<Config> {
        let mut config = Config::default();
        for service in &self.plan.services {
            let (address, port) = (*service.address.ip(), service.address.port());
            let share = 100 / self.plan.services.len() as u8;
            config.add_service(acacia_config::Service::new(
                service.name,
                address,
                port,
                share,
            ));
        }
        let mut host = SERVERS;
        for service in &self.plan.services {
            for number in 1..=service.servers {
                let name = format!("{}-{number}", service.name);
                let address = SocketAddr::V4(self.network.port(host, TRAFFIC));
                let centre = self.data_centre(u16::from(number));
                config.add_server(acacia_config::Server::new(
                    &name,
                    service.name,
                    address,
                    centre,
                ));
                host += 1;
            }
        }
        Ok(config)
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

    /// Starts balancer `id`; the fabric doesn't know it yet.
    pub fn start_balancer(&mut self, id: u16) -> anyhow::Result<()> {
        let arguments = ["--settings".to_owned(), "-".to_owned()];
        let process = Process::start("acaciad", &arguments, &self.settings(id))?;
        self.balancers.insert(id, process);
        Ok(())
    }

    /// Asks balancer `id` to end and waits for it; gives its exit status.
    pub fn end_balancer(&mut self, id: u16) -> anyhow::Result<i32> {
        let process = self.balancers.remove(&id).context("no such balancer")?;
        Ok(process.end(ENDING)?.0)
    }

    /// Sends a signal to balancer `id`.
    pub fn signal_balancer(&mut self, id: u16, signal: Signal) -> anyhow::Result<()> {
        self.balancers
            .get(&id)
            .context("no such balancer")?
            .signal(signal)
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
            .map(|server| Ok(server.process.end(ENDING)?.1))
            .collect()
    }

    fn start_servers(&mut self) -> anyhow::Result<()> {
        let mut host = SERVERS;
        for service in self.plan.services.clone() {
            for number in 1..=service.servers {
                let name = format!("{}-{number}", service.name);
                let work = service.work[usize::from(number - 1) % service.work.len()];
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

    fn data_centre(&self, number: u16) -> &'static str {
        let count = self.plan.data_centres.len();
        self.plan.data_centres[usize::from(number) % count]
    }

    fn settings(&self, id: u16) -> String {
        let at = |port| self.network.port(host(id), port);
        let mut text = format!(
            "[balancer]\nid = {id}\ndata_centre = {}\n\
             [traffic]\nlisten = {}\nthreads = 1\ngateway = {}\n\
             [control]\nlisten = {}\nkey = {SECRET}\n\
             [admin]\nlisten = {}\n[platform]\naddress = {}\n",
            self.data_centre(id),
            at(TRAFFIC),
            self.network.port(FABRIC_HOST, ANSWERS),
            at(CONTROL),
            at(ADMIN),
            self.network.port(PLATFORM_HOST, PLATFORM),
        );
        for peer in (1..=self.plan.balancers).filter(|peer| *peer != id) {
            text += &format!(
                "[peer.{peer}]\ncontrol = {}\ndata_centre = {}\n",
                self.network.port(host(peer), CONTROL),
                self.data_centre(peer)
            );
        }
        text
    }
}

/// Host number of balancer `id`.
fn host(id: u16) -> u8 {
    BALANCERS + id as u8
}

fn platform_arguments(network: Network) -> [String; 3] {
    [
        "platform".to_owned(),
        format!("--listen={}", network.port(PLATFORM_HOST, PLATFORM)),
        format!("--control={}", network.port(PLATFORM_HOST, ADMIN)),
    ]
}

fn fabric_arguments(network: Network) -> [String; 4] {
    [
        "fabric".to_owned(),
        format!("--callers={}", network.port(FABRIC_HOST, TRAFFIC)),
        format!("--answers={}", network.port(FABRIC_HOST, ANSWERS)),
        format!("--admin={}", network.port(FABRIC_HOST, ADMIN)),
    ]
}
