//! A small deployment: a store and backend servers in this process, and balancers as processes of
//! their own.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use acacia_adapter_stand::{
    caller::Caller,
    host::Host,
    routers,
    store::{Route, Store},
};
use acacia_e2e::{
    net::{ADMIN, CONTROL, Network, PLATFORM, TRAFFIC},
    process::Process,
};
use anyhow::Context as _;
use nix::sys::signal::Signal;
use tokio::{task::JoinSet, time};

use crate::{mesh::Relay, proxy::Proxy};

/// Port of the routers' readiness checks.
const READY: u16 = 6_084;
/// Port of the relay in front of a balancer's control port, which the other balancers connect to.
const MESH: u16 = 6_086;
/// Port of metrics.
const METRICS: u16 = 6_085;
/// Port of backend servers.
const SERVER: u16 = 8_080;
/// Host number of the store.
const STORE_HOST: u8 = 2;
/// Host number of the first balancer.
const BALANCERS: u8 = 10;
/// Host number of the first backend server.
const SERVERS: u8 = 100;
/// Host number of the first caller.
const CALLERS: u8 = 200;
/// Latency objective of the routes after [`Fleet::limit_load`], in milliseconds: the time of some forty
/// requests that wait for a server with two slots, at 5 ms each. See also seed 41010 in docs/SOAK.md.
pub const OBJECTIVE_MS: u32 = 100;
/// How long to retry binding an address that is in use.
const BIND_RETRY: Duration = Duration::from_secs(2);
/// Consecutive failed readiness checks after which the routers stop sending to a balancer.
const MAX_FAILED_CHECKS: u32 = 2;
/// Public address and port of each service.
pub const FRONTS: [([u8; 4], u16); 2] = [([198, 18, 0, 1], 443), ([198, 18, 0, 2], 443)];
/// Names of the services.
pub const SERVICES: [&str; 2] = ["live", "maps"];
/// Names of the data centres.
pub const CENTRES: [&str; 3] = ["a", "b", "c"];

/// A running backend server and the values of its entry in the store.
#[derive(Debug)]
pub struct Server {
    /// The running host.
    pub host: Host,
    /// Index of its service in [`SERVICES`].
    pub service: usize,
    /// Its identifier.
    pub id: String,
    /// Its data centre.
    pub centre: &'static str,
    /// The state in its entry.
    pub state: &'static str,
}

/// A balancer: its process while it runs, the proxy to the store and the relay for its control port.
#[derive(Debug)]
struct Balancer {
    process: Option<Process>,
    proxy: Proxy,
    relay: Relay,
}

/// The balancers that the routers send packets to.
pub type Rotation = Arc<Mutex<Vec<SocketAddrV4>>>;

/// A running deployment. Dropping it ends everything that it started.
#[derive(Debug)]
pub struct Fleet {
    network: Network,
    _claim: TcpListener,
    /// The store.
    pub store: Store,
    /// The backend servers by number.
    pub servers: BTreeMap<u8, Server>,
    balancers: BTreeMap<u8, Balancer>,
    rotation: Rotation,
    /// Balancers that the packets of a flood's callers reach; none while there is no flood.
    flooded: Rotation,
    /// Latency objective of the routes in milliseconds, if they have one.
    objective: Option<u32>,
    version: u64,
    _routers: JoinSet<()>,
}

impl Fleet {
    /// Starts `balancers` balancers in front of `servers` servers of each service, and waits until
    /// all balancers are in rotation.
    ///
    /// # Errors
    /// When a part cannot start, or the balancers are not in rotation within 30 s.
    pub async fn start(balancers: u8, servers: u8, work: Duration) -> anyhow::Result<Self> {
        let (network, claim) = Network::claim()?;
        let store = Store::start(SocketAddr::V4(network.port(STORE_HOST, PLATFORM))).await?;
        let rotation = Rotation::default();
        let mut fleet = Fleet {
            network,
            _claim: claim,
            store,
            servers: BTreeMap::new(),
            balancers: BTreeMap::new(),
            rotation: Arc::clone(&rotation),
            flooded: Rotation::default(),
            objective: None,
            version: 0,
            _routers: JoinSet::new(),
        };
        for number in 0..2 * servers {
            fleet
                .add_server(number, usize::from(number % 2), work)
                .await?;
        }
        fleet.configure(&[0, 1]);
        for number in 0..balancers {
            let address = network.port(BALANCERS + number, READY);
            let traffic = network.port(BALANCERS + number, TRAFFIC);
            let rotation = Arc::clone(&rotation);
            fleet
                ._routers
                .spawn(check_readiness(address, traffic, rotation));
            let target = SocketAddr::V4(network.port(STORE_HOST, PLATFORM));
            let proxy = Proxy::start(
                SocketAddr::V4(network.port(BALANCERS + number, PLATFORM)),
                target,
            )
            .await?;
            let relay = Relay::start(
                SocketAddr::V4(network.port(BALANCERS + number, MESH)),
                SocketAddr::V4(network.port(BALANCERS + number, CONTROL)),
            )
            .await?;
            fleet.balancers.insert(
                number,
                Balancer {
                    process: None,
                    proxy,
                    relay,
                },
            );
            fleet.launch(number)?;
        }
        let ready = async {
            while fleet.in_rotation() < usize::from(balancers) {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(Duration::from_secs(30), ready)
            .await
            .context("the balancers did not get into rotation")?;
        Ok(fleet)
    }

    /// How many balancers are in rotation.
    #[must_use]
    pub fn in_rotation(&self) -> usize {
        self.rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// The balancers that the routers send packets to.
    #[must_use]
    pub fn rotation(&self) -> Rotation {
        Arc::clone(&self.rotation)
    }

    /// The numbers of the balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<u8> {
        self.balancers.keys().copied().collect()
    }

    /// Starts the process of balancer `number`, which must not be running.
    ///
    /// # Errors
    /// When the balancer does not exist, or its program is not built or cannot be started.
    pub fn launch(&mut self, number: u8) -> anyhow::Result<()> {
        let settings = self.settings(number);
        let arguments = ["--settings".to_owned(), "-".to_owned()];
        let process = Process::start("acaciad", &arguments, &settings)?;
        let balancer = self
            .balancers
            .get_mut(&number)
            .context("no such balancer")?;
        balancer.process = Some(process);
        Ok(())
    }

    /// The settings of balancer `number`.
    #[must_use]
    pub fn settings(&self, number: u8) -> String {
        let own = BALANCERS + number;
        let port = |port| self.network.port(own, port);
        let seeds: Vec<String> = (0..3)
            .map(|seed| self.network.port(BALANCERS + seed, MESH).to_string())
            .collect();
        format!(
            "[balancer]\nname = entry-{number}\ndata_centre = {}\n[traffic]\ntransport = cookie\n\
             listen = {}\n[control]\nlisten = {}\nadvertise = {}\nkey = {}\nseeds = {}\n[ready]\nlisten = {}\n\
             [metrics]\nlisten = {}\n[admin]\nlisten = {}\n[platform]\naddress = {}\n[bounds]\nin_force_ms = 3000\nflow_s = 60\ngrace_s = 6\n",
            CENTRES[usize::from(number) % CENTRES.len()],
            port(TRAFFIC),
            port(CONTROL),
            port(MESH),
            "4d".repeat(32),
            seeds.join(","),
            port(READY),
            port(METRICS),
            port(ADMIN),
            port(PLATFORM),
        )
    }

    /// Sends a signal to a balancer; does nothing if it is not running.
    ///
    /// # Errors
    /// When the signal cannot be sent.
    pub fn signal(&mut self, number: u8, signal: Signal) -> anyhow::Result<()> {
        let balancer = self
            .balancers
            .get_mut(&number)
            .context("no such balancer")?;
        let Some(process) = &mut balancer.process else {
            return Ok(());
        };
        match process.is_running() {
            true => process.signal(signal),
            false => Ok(()),
        }
    }

    /// Kills a balancer and waits for it to exit.
    pub fn kill(&mut self, number: u8) {
        if let Some(balancer) = self.balancers.get_mut(&number) {
            balancer.process = None;
        }
    }

    /// Peak resident memory of a balancer's process, in bytes.
    ///
    /// # Errors
    /// When it is not running.
    pub fn peak_memory(&self, number: u8) -> anyhow::Result<u64> {
        let balancer = self.balancers.get(&number);
        let process = balancer.and_then(|balancer| balancer.process.as_ref());
        process.context("no such process")?.peak_memory()
    }

    /// Whether the process of a balancer is running.
    pub fn is_running(&mut self, number: u8) -> bool {
        let process = self
            .balancers
            .get_mut(&number)
            .and_then(|balancer| balancer.process.as_mut());
        process.is_some_and(Process::is_running)
    }

    /// The log of a balancer's current process.
    #[must_use]
    pub fn log(&self, number: u8) -> String {
        let balancer = self.balancers.get(&number);
        let process = balancer.and_then(|balancer| balancer.process.as_ref());
        process.map(Process::log).unwrap_or_default()
    }

    /// The logs of the current processes of all balancers.
    #[must_use]
    pub fn logs(&self) -> String {
        self.balancers
            .keys()
            .map(|number| self.log(*number))
            .collect()
    }

    /// Address of the metrics of balancer `number`.
    #[must_use]
    pub fn metrics(&self, number: u8) -> SocketAddrV4 {
        self.network.port(BALANCERS + number, METRICS)
    }

    /// Address of the readiness checks of balancer `number`.
    #[must_use]
    pub fn ready(&self, number: u8) -> SocketAddrV4 {
        self.network.port(BALANCERS + number, READY)
    }

    /// Control address of balancer `number`, without the relay.
    #[must_use]
    pub fn control(&self, number: u8) -> SocketAddrV4 {
        self.network.port(BALANCERS + number, CONTROL)
    }

    /// Address of the operator interface of balancer `number`.
    #[must_use]
    pub fn admin(&self, number: u8) -> SocketAddrV4 {
        self.network.port(BALANCERS + number, ADMIN)
    }

    /// Address at which balancer `number` receives callers' packets.
    #[must_use]
    pub fn traffic(&self, number: u8) -> SocketAddrV4 {
        self.network.port(BALANCERS + number, TRAFFIC)
    }

    /// The proxy between a balancer and the store.
    #[must_use]
    pub fn proxy(&self, number: u8) -> Option<&Proxy> {
        self.balancers.get(&number).map(|balancer| &balancer.proxy)
    }

    /// The relay through which the other balancers reach a balancer.
    #[must_use]
    pub fn relay(&self, number: u8) -> Option<&Relay> {
        self.balancers.get(&number).map(|balancer| &balancer.relay)
    }

    /// Starts a server and adds its entry to the store.
    ///
    /// # Errors
    /// When its address is in use.
    pub async fn add_server(
        &mut self,
        number: u8,
        service: usize,
        work: Duration,
    ) -> anyhow::Result<()> {
        let tag = u64::from(number) + 0x7f00;
        self.add_server_with_tag(number, service, tag, work).await
    }

    /// As [`Fleet::add_server`], for a server whose identifier ends in `tag` as a hexadecimal number.
    ///
    /// # Errors
    /// When its address is in use.
    pub async fn add_server_with_tag(
        &mut self,
        number: u8,
        service: usize,
        tag: u64,
        work: Duration,
    ) -> anyhow::Result<()> {
        let address = self.network.port(SERVERS + number, SERVER);
        let server = Server {
            host: Host::start(address, tag, TRAFFIC, work).await?,
            service,
            id: format!("i-{tag:x}"),
            centre: CENTRES[usize::from(number / 2) % CENTRES.len()],
            state: "ready",
        };
        self.servers.insert(number, server);
        self.announce(number);
        Ok(())
    }

    /// Writes the entry of a server, in its present state.
    pub fn announce(&self, number: u8) {
        if let Some(server) = self.servers.get(&number) {
            let service = SERVICES[server.service];
            let entry = server.host.entry(service, server.centre, server.state);
            self.store.announce(&server.id, &entry);
        }
    }

    /// Sets the state in the entry of a server.
    pub fn set_state(&mut self, number: u8, state: &'static str) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.state = state;
        }
        self.announce(number);
    }

    /// Removes the entries of all servers, as when their leases have lapsed.
    pub fn lapse(&self) {
        for server in self.servers.values() {
            self.store.withdraw(&server.id);
        }
    }

    /// Limits each server to the slots in its entry, and gives the routes a latency objective. Without
    /// these, no number of requests overloads a server, and balancers refuse no flow.
    pub fn limit_load(&mut self, objective_ms: u32) {
        for server in self.servers.values() {
            server.host.limit_slots();
        }
        self.objective = Some(objective_ms);
        self.configure(&[0, 1]);
    }

    /// Begins a flood from the data centre with this index in [`CENTRES`], or ends it.
    pub fn set_flood(&self, centre: Option<usize>) {
        let numbers = self.balancers.keys().copied();
        let is_reached = |number: &u8| Some(usize::from(*number) % CENTRES.len()) == centre;
        let reached = numbers
            .filter(is_reached)
            .map(|number| self.traffic(number));
        *self.flooded.lock().unwrap_or_else(PoisonError::into_inner) = reached.collect();
    }

    /// The balancers that the packets of a flood's callers reach; none while there is no flood.
    #[must_use]
    pub fn flooded(&self) -> Rotation {
        Arc::clone(&self.flooded)
    }

    /// Ends one server that has executed a request since the last call and keeps its entry in the
    /// store, as after a crash. Returns the server's identifier.
    pub fn lose_server_in_use(&mut self) -> Option<String> {
        let ran = |server: &Server| !server.host.take_seen().ran.is_empty();
        let number = self
            .servers
            .iter()
            .find_map(|(number, server)| ran(server).then_some(*number))?;
        self.servers.remove(&number).map(|server| server.id)
    }

    /// Ends a server and removes its entry from the store.
    pub fn remove_server(&mut self, number: u8) {
        if let Some(server) = self.servers.remove(&number) {
            self.store.withdraw(&server.id);
        }
    }

    /// Writes a new configuration with routes to the given services, indexes into [`SERVICES`].
    pub fn configure(&mut self, services: &[usize]) {
        self.version += 2;
        let names = ["r-live", "r-maps"];
        let routes: Vec<Route<'_>> = services
            .iter()
            .map(|service| {
                let (name, front) = (names[*service], FRONTS[*service]);
                (name, front, SERVICES[*service], self.objective)
            })
            .collect();
        self.store.configure(self.version, &routes);
    }

    /// Creates a caller of a service with an address of its own.
    ///
    /// A child process that is being started holds copies of all sockets of this process until
    /// `exec`, including sockets that are closed here meanwhile. Binding is therefore retried for a
    /// short time if the address is in use.
    ///
    /// # Errors
    /// When the address stays in use.
    pub async fn caller(&self, number: u8, service: usize) -> anyhow::Result<Caller> {
        let address: Ipv4Addr = self.network.host(CALLERS + number);
        let rotation = self
            .rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let deadline = time::Instant::now() + BIND_RETRY;
        loop {
            match Caller::new(address, TRAFFIC, FRONTS[service], rotation.clone()).await {
                Ok(caller) => return Ok(caller),
                Err(error) if time::Instant::now() >= deadline => return Err(error.into()),
                Err(_) => time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

/// Checks the readiness of a balancer periodically and keeps the rotation up to date.
async fn check_readiness(address: SocketAddrV4, traffic: SocketAddrV4, rotation: Rotation) {
    let mut failed_checks = MAX_FAILED_CHECKS;
    loop {
        failed_checks = if routers::is_ready(address).await {
            0
        } else {
            failed_checks + 1
        };
        {
            let mut rotation = rotation.lock().unwrap_or_else(PoisonError::into_inner);
            rotation.retain(|known| *known != traffic || failed_checks < MAX_FAILED_CHECKS);
            if failed_checks == 0 && !rotation.contains(&traffic) {
                rotation.push(traffic);
            }
        }
        time::sleep(routers::PERIOD).await;
    }
}
