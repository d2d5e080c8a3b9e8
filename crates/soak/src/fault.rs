//! What goes wrong: drawn from a seed, in series and overlapping.

use std::time::Duration;

use acacia_adapter_stand::store;
use nix::sys::signal::Signal;
use rand::RngExt as _;
use rand_pcg::Pcg64;

use crate::{
    fleet::Fleet,
    mesh,
    proxy::{self, Proxy},
};

/// Something that goes wrong, or planned work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A balancer is killed and started again.
    Kill(u8),
    /// A balancer is asked to end, and started again.
    Replace(u8),
    /// A balancer stands still.
    Pause(u8),
    /// A balancer is asked to read its settings again.
    Reload(u8),
    /// All balancers are killed and started again.
    KillAll,
    /// A balancer's way to the store fails.
    Path(u8, proxy::Trouble),
    /// The other balancers' way to a balancer fails.
    Mesh(u8, mesh::Trouble),
    /// The other balancers' ways to every third balancer are cut, as of a data centre: these hear
    /// nobody, and the others still hear them.
    Cut,
    /// The store fails for everybody.
    Store(store::Trouble),
    /// The store drops its history.
    Compact,
    /// A server drains and comes back.
    Drain(u8),
    /// A server stops answering, and its entry stands.
    Mute(u8),
    /// A route is removed and added again.
    Route,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// What.
    pub fault: Fault,
    /// When it begins, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

/// Draws `count` faults that begin within `span`, for so many balancers and servers.
#[must_use]
pub fn draw(
    random: &mut Pcg64,
    count: usize,
    span: Duration,
    balancers: u8,
    servers: u8,
) -> Vec<Entry> {
    let mut entries: Vec<Entry> = (0..count)
        .map(|_| {
            let fault = one(random, balancers, servers);
            entry(random, fault, span)
        })
        .collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}

/// Draws `count` faults between balancers, in addition to others.
#[must_use]
pub fn draw_mesh(random: &mut Pcg64, count: usize, span: Duration, balancers: u8) -> Vec<Entry> {
    let one = |random: &mut Pcg64| {
        let balancer = random.random_range(0..balancers);
        match random.random_range(0..4) {
            0 => Fault::Mesh(balancer, mesh::Trouble::Cut),
            1 => Fault::Mesh(balancer, mesh::Trouble::Lossy),
            2 => Fault::Mesh(balancer, mesh::Trouble::Late),
            _ => Fault::Cut,
        }
    };
    (0..count)
        .map(|_| {
            let fault = one(random);
            entry(random, fault, span)
        })
        .collect()
}

fn entry(random: &mut Pcg64, fault: Fault, span: Duration) -> Entry {
    Entry {
        fault,
        at: span.mul_f64(random.random()),
        lasts: Duration::from_millis(random.random_range(300..3_000)),
    }
}

fn one(random: &mut Pcg64, balancers: u8, servers: u8) -> Fault {
    let balancer = random.random_range(0..balancers);
    let server = random.random_range(0..servers);
    match random.random_range(0..16) {
        0 | 1 => Fault::Kill(balancer),
        2 | 3 => Fault::Replace(balancer),
        4 => Fault::Pause(balancer),
        5 => Fault::Reload(balancer),
        6 => Fault::KillAll,
        7 => Fault::Path(balancer, proxy::Trouble::Silent),
        8 => Fault::Path(balancer, proxy::Trouble::OneWay),
        9 => Fault::Path(balancer, proxy::Trouble::Forgotten),
        10 => Fault::Path(balancer, proxy::Trouble::Refused),
        11 => Fault::Store(store_trouble(random)),
        12 => Fault::Compact,
        13 => Fault::Drain(server),
        14 => Fault::Mute(server),
        _ => Fault::Route,
    }
}

fn store_trouble(random: &mut Pcg64) -> store::Trouble {
    match random.random_range(0..5) {
        0 => store::Trouble::Silent,
        1 => store::Trouble::Refuse(503),
        2 => store::Trouble::Reset,
        3 => store::Trouble::Garbage,
        _ => store::Trouble::Slow(Duration::from_millis(250)),
    }
}

impl Fault {
    /// Whether callers may lose flows by it: a server of theirs is disturbed, or a route goes.
    #[must_use]
    pub const fn ends_flows(&self) -> bool {
        matches!(self, Fault::Mute(_) | Fault::Route)
    }

    /// Begins it.
    ///
    /// # Errors
    /// When a process can't be signalled.
    pub fn begin(&self, fleet: &mut Fleet) -> anyhow::Result<()> {
        match self {
            Fault::Kill(balancer) => fleet.kill(*balancer),
            Fault::Replace(balancer) => fleet.signal(*balancer, Signal::SIGTERM)?,
            Fault::Pause(balancer) => fleet.signal(*balancer, Signal::SIGSTOP)?,
            Fault::Reload(balancer) => fleet.signal(*balancer, Signal::SIGHUP)?,
            Fault::KillAll => fleet
                .balancers()
                .into_iter()
                .for_each(|number| fleet.kill(number)),
            Fault::Path(balancer, trouble) => set(fleet.proxy(*balancer), *trouble),
            Fault::Mesh(balancer, trouble) => set_mesh(fleet, *balancer, *trouble),
            Fault::Cut => cut(fleet, mesh::Trouble::Cut),
            Fault::Store(trouble) => fleet.store.set_trouble(trouble.clone()),
            Fault::Compact => fleet.store.compact(),
            Fault::Drain(server) => fleet.drain(*server),
            Fault::Mute(server) => mute(fleet, *server, true),
            Fault::Route => fleet.configure(&[0]),
        }
        Ok(())
    }

    /// Ends it. Whatever runs no more is started again.
    ///
    /// # Errors
    /// When a process can't be signalled or started.
    pub fn end(&self, fleet: &mut Fleet) -> anyhow::Result<()> {
        match self {
            Fault::Kill(balancer) | Fault::Replace(balancer) => revive(fleet, *balancer)?,
            Fault::Pause(balancer) => fleet.signal(*balancer, Signal::SIGCONT)?,
            Fault::Reload(_) | Fault::Compact => {}
            Fault::KillAll => {
                for balancer in fleet.balancers() {
                    revive(fleet, balancer)?;
                }
            }
            Fault::Path(balancer, _) => set(fleet.proxy(*balancer), proxy::Trouble::None),
            Fault::Mesh(balancer, _) => set_mesh(fleet, *balancer, mesh::Trouble::None),
            Fault::Cut => cut(fleet, mesh::Trouble::None),
            Fault::Store(_) => fleet.store.set_trouble(store::Trouble::None),
            Fault::Drain(server) => fleet.resume(*server),
            Fault::Mute(server) => mute(fleet, *server, false),
            Fault::Route => fleet.configure(&[0, 1]),
        }
        Ok(())
    }
}

/// Starts a balancer that has ended; one that is still leaving is killed first.
fn revive(fleet: &mut Fleet, balancer: u8) -> anyhow::Result<()> {
    fleet.kill(balancer);
    fleet.launch(balancer)
}

fn set(proxy: Option<&Proxy>, trouble: proxy::Trouble) {
    if let Some(proxy) = proxy {
        proxy.set_trouble(trouble);
    }
}

fn set_mesh(fleet: &Fleet, balancer: u8, trouble: mesh::Trouble) {
    if let Some(relay) = fleet.relay(balancer) {
        relay.set_trouble(trouble);
    }
}

/// Balancers are dealt out over three data centres in turn.
fn cut(fleet: &Fleet, trouble: mesh::Trouble) {
    let centre = fleet
        .balancers()
        .into_iter()
        .filter(|number| number % 3 == 1);
    centre.for_each(|number| set_mesh(fleet, number, trouble));
}

fn mute(fleet: &Fleet, server: u8, silent: bool) {
    if let Some(server) = fleet.servers.get(&server) {
        server.host.set_silent(silent);
    }
}
