//! Fault injection for the IP transport. Balancers are paused, or killed and restarted; traffic
//! between them is cut in one direction or open connections go silent; unauthenticated clients hold
//! control connections. Meanwhile callers keep feeds open and make check-ins.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    thread::sleep,
    time::{Duration, Instant},
};

use acacia_api::{Error, Status};
use acacia_config::{Mark, State};
use acacia_e2e::{
    deployment::{Deployment, Plan, Service},
    process::{Ended, Process},
};
use nix::sys::signal::Signal;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64;

/// Number of balancers of a run.
const BALANCERS: u16 = 5;
/// Number of feeds that callers keep open from before the first fault until after the last.
const FEEDS: u64 = 32;
/// The service that callers use.
const SERVICE: &str = "talkoo-live";
/// Period in which faults begin.
const SPAN: Duration = Duration::from_secs(14);
/// Longest duration of a fault.
const MAX_DURATION: Duration = Duration::from_secs(12);
/// Number of connections held by an unauthenticated client.
const STRANGERS: usize = 300;
/// Interval of polling for faults that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a killed balancer is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time after the last fault by which the deployment must have recovered.
const SETTLE: Duration = Duration::from_secs(8);
/// Longest time since the last message of a peer after the recovery: four heartbeats.
const HEARD: Duration = Duration::from_secs(2);
/// Duration of the check-ins after the recovery, in seconds.
const RECOVERY_SECONDS: u64 = 3;
/// Time limit for a caller to finish by itself.
const CALLER_LIMIT: Duration = Duration::from_secs(90);
/// Marks the log lines of a caller about broken flows.
const BROKEN: &str = "event=flow-broken";
/// Time limit for a balancer's status and for opening a connection to its control port.
const ANSWER: Duration = Duration::from_secs(2);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A balancer process is suspended and resumed later.
    Pause(u16),
    /// A balancer is killed and restarted.
    Kill(u16),
    /// All traffic from the first balancer to the second is dropped.
    Cut(u16, u16),
    /// The control connections that are open from the first balancer to the second drop all data
    /// until they are closed.
    Silence(u16, u16),
    /// The connections that are open to the platform drop all data until they are closed.
    Platform,
    /// An unauthenticated client holds connections to a balancer's control port.
    Strangers(u16),
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Start time, relative to the start of the run.
    pub at: Duration,
    /// Duration of a pause, a cut or held connections. For other faults it only extends the run.
    pub lasts: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Generates the faults of a seed, sorted by start time. At most one balancer is killed, as a flow
/// whose two owners die at the same time is lost, which violates no guarantee.
///
/// ```
/// let faults = acacia_soak::ip::draw(7, 10);
/// assert_eq!(faults.len(), 10);
/// assert_eq!(faults, acacia_soak::ip::draw(7, 10));
/// ```
#[must_use]
pub fn draw(seed: u64, count: usize) -> Vec<Entry> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut may_kill = true;
    let mut entries: Vec<Entry> = (0..count)
        .map(|_| {
            let fault = draw_fault(&mut random, may_kill);
            may_kill &= !matches!(fault, Fault::Kill(_));
            Entry {
                at: SPAN.mul_f64(random.random()),
                lasts: Duration::from_secs(1)
                    + (MAX_DURATION - Duration::from_secs(1)).mul_f64(random.random()),
                fault,
            }
        })
        .collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}

fn draw_fault(random: &mut Pcg64, may_kill: bool) -> Fault {
    let ids: Vec<u16> = (1..=BALANCERS).collect();
    let two: Vec<u16> = ids.sample(random, 2).copied().collect();
    let (a, b) = (two[0], two[1]);
    match random.random_range(0..10) {
        0..=2 => Fault::Pause(a),
        3 if may_kill => Fault::Kill(a),
        3..=5 => Fault::Cut(a, b),
        6..=7 => Fault::Silence(a, b),
        8 => Fault::Strangers(a),
        _ => Fault::Platform,
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults in order of their start.
    pub faults: Vec<Entry>,
    /// The callers' output: counts, and a log line for each broken flow.
    pub callers: Vec<String>,
    /// Violated guarantees.
    pub breaches: Vec<String>,
    /// Logs of the balancers, if a guarantee was violated.
    pub logs: Vec<String>,
}

/// Runs a seed.
///
/// # Errors
/// When the deployment cannot be started, or one of its processes cannot be controlled.
pub fn play(seed: u64, faults: usize) -> anyhow::Result<Report> {
    let faults = draw(seed, faults);
    let mut deployment = start()?;
    let recovered_at = faults.iter().map(|entry| entry.at + entry.lasts).max();
    let recovered_at = recovered_at.unwrap_or_default() + SETTLE;
    let seconds = recovered_at.as_secs() + RECOVERY_SECONDS + 4;
    let feeds = caller(
        &deployment,
        1,
        &[("feeds", FEEDS), ("interval", 1_000), ("seconds", seconds)],
    )?;
    let checkins = caller(
        &deployment,
        2,
        &[("rate", 30), ("seconds", recovered_at.as_secs())],
    )?;
    let begun = Instant::now();
    FaultInjector::new(&mut deployment).run(&faults)?;
    sleep(recovered_at.saturating_sub(begun.elapsed()));

    let mut breaches = unheard(&deployment);
    let recovery = caller(
        &deployment,
        3,
        &[("rate", 30), ("seconds", RECOVERY_SECONDS)],
    )?
    .wait(CALLER_LIMIT)?;
    let (feeds, checkins) = (feeds.wait(CALLER_LIMIT)?, checkins.wait(CALLER_LIMIT)?);
    let (feed_counts, recovery_counts) = (counts(&feeds.output), counts(&recovery.output));
    if feed_counts.get("lasted") != Some(&FEEDS) {
        breaches.push(format!("feeds ended: {}", feeds.output.trim()));
    }
    // Late answers are expected, as check-ins wait while the owners of their flow are paused or cut
    // off.
    let reset = report_lines(&checkins)
        .into_iter()
        .filter(|line| line.contains(BROKEN) && !line.contains("reason=answer-late"));
    breaches.extend(reset.map(|line| format!("a check-in failed: {line}")));
    let failures =
        ["broken", "unanswered", "refused"].map(|name| recovery_counts.get(name).copied());
    if failures != [Some(0); 3] {
        breaches.push(format!(
            "failures after recovery: {}",
            recovery.output.trim()
        ));
    }
    let logs = if breaches.is_empty() {
        Vec::new()
    } else {
        let ids = deployment.balancers();
        ids.into_iter().map(|id| deployment.log(id)).collect()
    };
    Ok(Report {
        faults,
        callers: [&feeds, &checkins, &recovery].map(report_lines).concat(),
        breaches,
        logs,
    })
}

/// The output of a caller: its counts, and a log line for each broken flow.
fn report_lines(caller: &Ended) -> Vec<String> {
    let broken = caller.log.lines();
    let broken = broken.filter(|line| line.contains(BROKEN));
    let lines = caller.output.lines().chain(broken);
    lines.map(str::to_owned).collect()
}

/// Starts balancers in front of four servers, one of which drains, so that some flows depend on pins.
fn start() -> anyhow::Result<Deployment> {
    let service = Service {
        name: SERVICE,
        address: SocketAddrV4::new([198, 51, 100, 1].into(), 443),
        mark: Mark::Paying,
        servers: 4,
        slots: 2,
        work: vec![1],
        at_start: true,
    };
    let mut deployment = Deployment::start(Plan {
        services: vec![service],
        balancers: BALANCERS,
        data_centres: vec!["hervanta", "lielahti", "kangasala"],
    })?;
    deployment.settle();
    let mut config = deployment.current()?;
    config.update_server("talkoo-live-1", |server| {
        server.state = State::Drain { deadline: None };
    });
    deployment.apply(&config)?;
    sleep(SETTLE);
    Ok(deployment)
}

fn caller(
    deployment: &Deployment,
    number: u8,
    arguments: &[(&str, u64)],
) -> anyhow::Result<Process> {
    let arguments = arguments
        .iter()
        .map(|(name, value)| (*name, value.to_string()));
    deployment.caller(number, SERVICE, &arguments.collect::<Vec<_>>())
}

/// Parses the numeric values of a line of `key=value` pairs.
fn counts(line: &str) -> BTreeMap<&str, u64> {
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
        .collect()
}

/// Lists the balancers that have not received a message from a live peer within [`HEARD`].
fn unheard(deployment: &Deployment) -> Vec<String> {
    let ids = deployment.balancers();
    let mut unheard = Vec::new();
    for id in &ids {
        match status(deployment, *id) {
            Ok(status) => {
                let late = status.peers.iter().filter(|peer| {
                    let age = peer.heard_ms.map(Duration::from_millis);
                    ids.contains(&peer.id) && age.is_none_or(|age| age > HEARD)
                });
                unheard.extend(late.map(|peer| {
                    format!(
                        "balancer {id} last heard from {} {:?} ms ago",
                        peer.id, peer.heard_ms
                    )
                }));
            }
            Err(error) => unheard.push(format!("balancer {id} reports no status: {error}")),
        }
    }
    unheard
}

fn status(deployment: &Deployment, id: u16) -> Result<Status, Error> {
    let address = SocketAddr::V4(deployment.admin(id));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|_| Error::Unreachable)?;
    runtime.block_on(acacia_api::ask(address, ANSWER, async |admin, ctx| {
        admin.status(ctx).await
    }))
}

/// Injects faults and tracks the active ones, several of which may overlap.
struct FaultInjector<'a> {
    deployment: &'a mut Deployment,
    /// End of each pause, by balancer.
    paused: BTreeMap<u16, Duration>,
    /// End of each cut, by sender and receiver.
    cut: BTreeMap<(u16, u16), Duration>,
    /// When each killed balancer is restarted.
    away: BTreeMap<u16, Duration>,
    strangers: Vec<(Duration, Vec<TcpStream>)>,
}

impl<'a> FaultInjector<'a> {
    fn new(deployment: &'a mut Deployment) -> Self {
        FaultInjector {
            deployment,
            paused: BTreeMap::new(),
            cut: BTreeMap::new(),
            away: BTreeMap::new(),
            strangers: Vec::new(),
        }
    }

    /// Injects and reverts the faults at their scheduled times.
    fn run(&mut self, faults: &[Entry]) -> anyhow::Result<()> {
        let start = Instant::now();
        let mut rest = faults;
        while !rest.is_empty() || !self.is_idle() {
            let now = start.elapsed();
            while let Some((entry, later)) = rest.split_first().filter(|(entry, _)| entry.at <= now)
            {
                self.begin(entry, now)?;
                rest = later;
            }
            self.end(now)?;
            sleep(POLL_INTERVAL);
        }
        self.deployment.spray_over_all()
    }

    fn is_idle(&self) -> bool {
        let balancers = self.paused.is_empty() && self.away.is_empty();
        balancers && self.cut.is_empty() && self.strangers.is_empty()
    }

    fn begin(&mut self, entry: &Entry, now: Duration) -> anyhow::Result<()> {
        let until = now + entry.lasts;
        match entry.fault {
            Fault::Pause(id) | Fault::Kill(id) if self.away.contains_key(&id) => {}
            // A pause that extends another could be longer than a flow has to survive.
            Fault::Pause(id) if self.paused.contains_key(&id) => {}
            Fault::Pause(id) => {
                self.deployment.signal_balancer(id, Signal::SIGSTOP)?;
                self.paused.insert(id, until);
                self.spray()?;
            }
            Fault::Kill(id) => {
                self.deployment.kill_balancer(id)?;
                self.paused.remove(&id);
                self.away.insert(id, now + RESTART_DELAY);
                self.spray()?;
            }
            Fault::Cut(a, b) => {
                self.cut.insert((a, b), until);
                self.deployment.cut_directions(&[(a, b)])?;
            }
            Fault::Silence(a, b) => self.deployment.silence(&[(a, b)])?,
            Fault::Platform => self.deployment.silence_platform()?,
            Fault::Strangers(id) => {
                let address = self.deployment.control(id);
                let connect = |_| TcpStream::connect_timeout(&address.into(), ANSWER).ok();
                // A paused balancer accepts only as many connections as its backlog holds.
                let held = (0..STRANGERS).map_while(connect).collect();
                self.strangers.push((until, held));
            }
        }
        Ok(())
    }

    fn end(&mut self, now: Duration) -> anyhow::Result<()> {
        let woken: Vec<u16> = take_ended(&mut self.paused, now);
        for id in &woken {
            self.deployment.signal_balancer(*id, Signal::SIGCONT)?;
        }
        let back: Vec<u16> = take_ended(&mut self.away, now);
        for id in &back {
            self.deployment.start_balancer(*id)?;
        }
        if !woken.is_empty() || !back.is_empty() {
            self.spray()?;
        }
        if !take_ended(&mut self.cut, now).is_empty() {
            self.deployment.heal()?;
            let still: Vec<(u16, u16)> = self.cut.keys().copied().collect();
            self.deployment.cut_directions(&still)?;
        }
        self.strangers.retain(|(until, _)| *until > now);
        Ok(())
    }

    /// Makes the fabric send to the balancers that are running and not paused.
    fn spray(&self) -> anyhow::Result<()> {
        let ids = self.deployment.balancers().into_iter();
        let running: Vec<u16> = ids.filter(|id| !self.paused.contains_key(id)).collect();
        if running.is_empty() {
            return Ok(());
        }
        self.deployment.spray_over(&running)
    }
}

/// Removes the entries that have ended and returns their keys.
fn take_ended<K: Copy + Ord>(ends: &mut BTreeMap<K, Duration>, now: Duration) -> Vec<K> {
    ends.extract_if(.., |_, until| *until <= now)
        .map(|(key, _)| key)
        .collect()
}
