//! The soak of the transport where packets are IP: balancers are paused, killed and replaced, lines
//! between them are cut one way or go silent, and strangers hold connections, while callers keep
//! feeds open and check in.

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

/// Balancers of a run.
const BALANCERS: u16 = 5;
/// Feeds that callers keep open from before the first fault until after the last.
const FEEDS: u64 = 32;
/// The service that callers use.
const SERVICE: &str = "talkoo-live";
/// Faults begin within this time.
const SPAN: Duration = Duration::from_secs(14);
/// Longest pause or cut.
const LONGEST: Duration = Duration::from_secs(12);
/// Connections that a stranger holds.
const STRANGERS: usize = 300;
/// Between two looks at what is due.
const LOOK: Duration = Duration::from_millis(50);
/// How long a balancer is away that was killed.
const AWAY: Duration = Duration::from_secs(2);
/// After the last fault, all must be well.
const SETTLE: Duration = Duration::from_secs(8);
/// How long ago a peer may have been heard when all is well: four heartbeats.
const HEARD: Duration = Duration::from_secs(2);
/// How long check-ins go on once all is well.
const CALM: u64 = 3;
/// Longest time that a caller may take to end by itself.
const CALLER: Duration = Duration::from_secs(90);
/// What a caller logs of a flow that broke.
const BROKEN: &str = "event=flow-broken";
/// How long a balancer has to tell how it is.
const ANSWER: Duration = Duration::from_secs(2);

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A balancer is stopped and goes on later.
    Pause(u16),
    /// A balancer is killed and started again.
    Kill(u16),
    /// Nothing passes from one balancer to another.
    Cut(u16, u16),
    /// The open control connections from one balancer to another carry nothing any more, for good.
    Silence(u16, u16),
    /// The open connections to the platform go silent for good.
    Platform,
    /// A stranger holds connections to a balancer's control port.
    Strangers(u16),
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// After the start of the run.
    pub at: Duration,
    /// What follows the begin: the end of a pause, a cut, of strangers.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

/// Draws the faults of a seed, in order of their begin. One balancer at most is killed: flows of which
/// both owners die at once are lost, which is no broken promise.
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
            let fault = one(&mut random, may_kill);
            may_kill &= !matches!(fault, Fault::Kill(_));
            Entry {
                at: SPAN.mul_f64(random.random()),
                lasts: Duration::from_secs(1)
                    + (LONGEST - Duration::from_secs(1)).mul_f64(random.random()),
                fault,
            }
        })
        .collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}

fn one(random: &mut Pcg64, may_kill: bool) -> Fault {
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

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults.
    pub faults: Vec<Entry>,
    /// What callers saw, as they tell it: counts and broken flows.
    pub callers: Vec<String>,
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Logs of the balancers, if a promise was broken.
    pub logs: Vec<String>,
}

/// Plays a seed.
///
/// # Errors
/// When the deployment can't start, or a process of it does not do as it is told.
pub fn play(seed: u64, faults: usize) -> anyhow::Result<Report> {
    let faults = draw(seed, faults);
    let mut deployment = start()?;
    let over = faults.iter().map(|entry| entry.at + entry.lasts).max();
    let over = over.unwrap_or_default() + SETTLE;
    let seconds = over.as_secs() + CALM + 4;
    let feeds = caller(
        &deployment,
        1,
        &[("feeds", FEEDS), ("interval", 1_000), ("seconds", seconds)],
    )?;
    let checkins = caller(&deployment, 2, &[("rate", 30), ("seconds", over.as_secs())])?;
    let begun = Instant::now();
    Stage::new(&mut deployment).run(&faults)?;
    sleep(over.saturating_sub(begun.elapsed()));

    let mut breaches = unheard(&deployment);
    let calm = caller(&deployment, 3, &[("rate", 30), ("seconds", CALM)])?.wait(CALLER)?;
    let (feeds, checkins) = (feeds.wait(CALLER)?, checkins.wait(CALLER)?);
    let (kept, calmly) = (counts(&feeds.output), counts(&calm.output));
    if kept.get("lasted") != Some(&FEEDS) {
        breaches.push(format!("feeds ended: {}", feeds.output.trim()));
    }
    // Those on flows whose owners are paused or cut off wait.
    let reset = told(&checkins)
        .into_iter()
        .filter(|line| line.contains(BROKEN) && !line.contains("reason=answer-late"));
    breaches.extend(reset.map(|line| format!("a check-in broke off: {line}")));
    let lost = ["broken", "unanswered", "refused"].map(|name| calmly.get(name).copied());
    if lost != [Some(0); 3] {
        breaches.push(format!("not well again: {}", calm.output.trim()));
    }
    let logs = if breaches.is_empty() {
        Vec::new()
    } else {
        let ids = deployment.balancers();
        ids.into_iter().map(|id| deployment.log(id)).collect()
    };
    Ok(Report {
        faults,
        callers: [&feeds, &checkins, &calm].map(told).concat(),
        breaches,
        logs,
    })
}

/// What a caller tells: its counts, and each flow that broke.
fn told(caller: &Ended) -> Vec<String> {
    let broken = caller.log.lines();
    let broken = broken.filter(|line| line.contains(BROKEN));
    let lines = caller.output.lines().chain(broken);
    lines.map(str::to_owned).collect()
}

/// Balancers before four servers, one of which drains, so that some flows live by pins alone.
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

/// The counts of a line of key=value pairs.
fn counts(line: &str) -> BTreeMap<&str, u64> {
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
        .collect()
}

/// Balancers that have not heard a living peer lately.
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
                    format!("balancer {id} heard {} {:?} ms ago", peer.id, peer.heard_ms)
                }));
            }
            Err(error) => unheard.push(format!("balancer {id} does not tell how it is: {error}")),
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

/// The faults that are in force, as several overlap.
struct Stage<'a> {
    deployment: &'a mut Deployment,
    /// When each pause ends.
    paused: BTreeMap<u16, Duration>,
    /// When each cut ends.
    cut: BTreeMap<(u16, u16), Duration>,
    /// When a balancer that was killed is started again, and goes back into rotation.
    away: BTreeMap<u16, Duration>,
    strangers: Vec<(Duration, Vec<TcpStream>)>,
}

impl<'a> Stage<'a> {
    fn new(deployment: &'a mut Deployment) -> Self {
        Stage {
            deployment,
            paused: BTreeMap::new(),
            cut: BTreeMap::new(),
            away: BTreeMap::new(),
            strangers: Vec::new(),
        }
    }

    /// Begins and ends all faults at their times.
    fn run(&mut self, faults: &[Entry]) -> anyhow::Result<()> {
        let start = Instant::now();
        let mut rest = faults;
        while !rest.is_empty() || !self.is_calm() {
            let now = start.elapsed();
            while let Some((entry, later)) = rest.split_first().filter(|(entry, _)| entry.at <= now)
            {
                self.begin(entry, now)?;
                rest = later;
            }
            self.end(now)?;
            sleep(LOOK);
        }
        self.deployment.spray_over_all()
    }

    fn is_calm(&self) -> bool {
        let balancers = self.paused.is_empty() && self.away.is_empty();
        balancers && self.cut.is_empty() && self.strangers.is_empty()
    }

    fn begin(&mut self, entry: &Entry, now: Duration) -> anyhow::Result<()> {
        let until = now + entry.lasts;
        match entry.fault {
            Fault::Pause(id) | Fault::Kill(id) if self.away.contains_key(&id) => {}
            // Two that follow each other would be longer than any pause that a flow has to survive.
            Fault::Pause(id) if self.paused.contains_key(&id) => {}
            Fault::Pause(id) => {
                self.deployment.signal_balancer(id, Signal::SIGSTOP)?;
                self.paused.insert(id, until);
                self.spray()?;
            }
            Fault::Kill(id) => {
                self.deployment.kill_balancer(id)?;
                self.paused.remove(&id);
                self.away.insert(id, now + AWAY);
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
                // A paused balancer takes as many as its backlog holds.
                let held = (0..STRANGERS).map_while(connect).collect();
                self.strangers.push((until, held));
            }
        }
        Ok(())
    }

    fn end(&mut self, now: Duration) -> anyhow::Result<()> {
        let woken: Vec<u16> = over(&mut self.paused, now);
        for id in &woken {
            self.deployment.signal_balancer(*id, Signal::SIGCONT)?;
        }
        let back: Vec<u16> = over(&mut self.away, now);
        for id in &back {
            self.deployment.start_balancer(*id)?;
        }
        if !woken.is_empty() || !back.is_empty() {
            self.spray()?;
        }
        if !over(&mut self.cut, now).is_empty() {
            self.deployment.heal()?;
            let still: Vec<(u16, u16)> = self.cut.keys().copied().collect();
            self.deployment.cut_directions(&still)?;
        }
        self.strangers.retain(|(until, _)| *until > now);
        Ok(())
    }

    /// The fabric sends to those that run.
    fn spray(&self) -> anyhow::Result<()> {
        let ids = self.deployment.balancers().into_iter();
        let running: Vec<u16> = ids.filter(|id| !self.paused.contains_key(id)).collect();
        if running.is_empty() {
            return Ok(());
        }
        self.deployment.spray_over(&running)
    }
}

/// Takes out what is over.
fn over<K: Copy + Ord>(ends: &mut BTreeMap<K, Duration>, now: Duration) -> Vec<K> {
    ends.extract_if(.., |_, until| *until <= now)
        .map(|(key, _)| key)
        .collect()
}
