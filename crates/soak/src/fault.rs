//! Faults and planned operations, generated from a seed; they may overlap.

use std::{ops::Range, time::Duration};

use acacia_adapter_stand::store;
use nix::sys::signal::Signal;
use rand::RngExt as _;
use rand_pcg::Pcg64;

use crate::{
    fleet::{CENTRES, Fleet},
    mesh,
    proxy::{self, Proxy},
};

/// A fault or a planned operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A balancer is killed and restarted.
    Kill(u8),
    /// A balancer is shut down gracefully and restarted.
    Replace(u8),
    /// A balancer process is suspended.
    Pause(u8),
    /// A balancer is asked to reload its settings.
    Reload(u8),
    /// All balancers are killed and restarted.
    KillAll,
    /// The connection of a balancer to the store is faulty.
    Path(u8, proxy::Trouble),
    /// Traffic from the other balancers to a balancer is faulty.
    Mesh(u8, mesh::Trouble),
    /// All traffic from other balancers to the balancers of one data centre is dropped. These
    /// receive nothing, while the others still receive from them.
    Cut,
    /// The store is faulty for all balancers.
    Store(store::Trouble),
    /// The store compacts away its history.
    Compact,
    /// A backend server drains and returns to service.
    Drain(u8),
    /// A backend server stops answering while its entry stays in the store.
    Mute(u8),
    /// A route is removed and restored.
    Route,
    /// Many more callers than usual, whose packets reach only the balancers of the data centre with
    /// this index in [`CENTRES`]. There is one flood at a time: a later one replaces it.
    Flood(usize),
    /// The store is silent and has lost all servers' entries when it answers again. They are written
    /// again one after the other within [`REJOIN`], the one of this server first.
    Lapse(u8),
}

/// Time in which all servers write their entries after a lapse.
pub const REJOIN: Duration = Duration::from_secs(2);

/// A scheduled fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The fault to inject.
    pub fault: Fault,
    /// Start time, relative to the start of the fault phase.
    pub at: Duration,
    /// Duration.
    pub lasts: Duration,
}

impl Entry {
    /// The end, relative to the start of the fault phase.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.at + self.lasts
    }
}

/// Duration of a fault of [`draw`] and [`draw_mesh`], in milliseconds.
const LASTS_MS: Range<u64> = 300..3_000;
/// Duration of a flood, in milliseconds.
const FLOOD_LASTS_MS: Range<u64> = 2_000..4_000;
/// Time for which the store is silent before a lapse, in milliseconds.
const LAPSE_LASTS_MS: Range<u64> = 1_000..3_000;

/// Generates `count` faults that begin within `span`, sorted by start time.
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
            let fault = draw_fault(random, balancers, servers);
            schedule(random, fault, span, LASTS_MS)
        })
        .collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}

/// Generates `count` faults of the traffic between balancers, in no particular order.
#[must_use]
pub fn draw_mesh(random: &mut Pcg64, count: usize, span: Duration, balancers: u8) -> Vec<Entry> {
    let draw_one = |random: &mut Pcg64| {
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
            let fault = draw_one(random);
            schedule(random, fault, span, LASTS_MS)
        })
        .collect()
}

/// Generates `count` faults of load, floods and lapses in turn, in no particular order.
#[must_use]
pub fn draw_load(random: &mut Pcg64, count: usize, span: Duration, servers: u8) -> Vec<Entry> {
    (0..count)
        .map(|number| {
            let (fault, lasts_ms) = match number % 2 {
                0 => {
                    let centre = random.random_range(0..CENTRES.len());
                    (Fault::Flood(centre), FLOOD_LASTS_MS)
                }
                _ => {
                    let first = random.random_range(0..servers);
                    (Fault::Lapse(first), LAPSE_LASTS_MS)
                }
            };
            schedule(random, fault, span, lasts_ms)
        })
        .collect()
}

fn schedule(random: &mut Pcg64, fault: Fault, span: Duration, lasts_ms: Range<u64>) -> Entry {
    Entry {
        fault,
        at: span.mul_f64(random.random()),
        lasts: Duration::from_millis(random.random_range(lasts_ms)),
    }
}

fn draw_fault(random: &mut Pcg64, balancers: u8, servers: u8) -> Fault {
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
    /// Whether the fault may end flows, as it affects a backend server or removes a route.
    #[must_use]
    pub const fn ends_flows(&self) -> bool {
        matches!(self, Fault::Mute(_) | Fault::Route)
    }

    /// Whether the fault may keep most new flows of a service from being served, also for a time after
    /// its end.
    #[must_use]
    pub const fn stops_new_flows(&self) -> bool {
        matches!(
            self,
            Fault::KillAll | Fault::Store(_) | Fault::Route | Fault::Lapse(_)
        )
    }

    /// Injects the fault.
    ///
    /// # Errors
    /// When a process cannot be signalled.
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
            Fault::Path(balancer, trouble) => set_path(fleet.proxy(*balancer), *trouble),
            Fault::Mesh(balancer, trouble) => set_mesh(fleet, *balancer, *trouble),
            Fault::Cut => set_mesh_of_data_centre(fleet, mesh::Trouble::Cut),
            Fault::Store(trouble) => fleet.store.set_trouble(trouble.clone()),
            Fault::Compact => fleet.store.compact(),
            Fault::Drain(server) => fleet.set_state(*server, "draining"),
            Fault::Mute(server) => mute(fleet, *server, true),
            Fault::Route => fleet.configure(&[0]),
            Fault::Flood(centre) => fleet.set_flood(Some(*centre)),
            Fault::Lapse(_) => fleet.store.set_trouble(store::Trouble::Silent),
        }
        Ok(())
    }

    /// Reverts the fault and restarts the processes that it ended. The entries that a lapse removes are
    /// not written again here, as this takes [`REJOIN`].
    ///
    /// # Errors
    /// When a process cannot be signalled or started.
    pub fn end(&self, fleet: &mut Fleet) -> anyhow::Result<()> {
        match self {
            Fault::Kill(balancer) | Fault::Replace(balancer) => restart(fleet, *balancer)?,
            Fault::Pause(balancer) => fleet.signal(*balancer, Signal::SIGCONT)?,
            Fault::Reload(_) | Fault::Compact => {}
            Fault::KillAll => {
                for balancer in fleet.balancers() {
                    restart(fleet, balancer)?;
                }
            }
            Fault::Path(balancer, _) => set_path(fleet.proxy(*balancer), proxy::Trouble::None),
            Fault::Mesh(balancer, _) => set_mesh(fleet, *balancer, mesh::Trouble::None),
            Fault::Cut => set_mesh_of_data_centre(fleet, mesh::Trouble::None),
            Fault::Store(_) => fleet.store.set_trouble(store::Trouble::None),
            Fault::Drain(server) => fleet.set_state(*server, "ready"),
            Fault::Mute(server) => mute(fleet, *server, false),
            Fault::Route => fleet.configure(&[0, 1]),
            Fault::Flood(_) => fleet.set_flood(None),
            Fault::Lapse(_) => {
                fleet.lapse();
                fleet.store.set_trouble(store::Trouble::None);
            }
        }
        Ok(())
    }
}

/// Restarts a balancer; one that is still shutting down is killed first.
fn restart(fleet: &mut Fleet, balancer: u8) -> anyhow::Result<()> {
    fleet.kill(balancer);
    fleet.launch(balancer)
}

fn set_path(proxy: Option<&Proxy>, trouble: proxy::Trouble) {
    if let Some(proxy) = proxy {
        proxy.set_trouble(trouble);
    }
}

fn set_mesh(fleet: &Fleet, balancer: u8, trouble: mesh::Trouble) {
    if let Some(relay) = fleet.relay(balancer) {
        relay.set_trouble(trouble);
    }
}

/// Sets the fault of all relays of one data centre. Balancers are assigned to the three data centres
/// in turn, so one of them has every third balancer.
fn set_mesh_of_data_centre(fleet: &Fleet, trouble: mesh::Trouble) {
    let members = fleet
        .balancers()
        .into_iter()
        .filter(|number| number % 3 == 1);
    members.for_each(|number| set_mesh(fleet, number, trouble));
}

fn mute(fleet: &Fleet, server: u8, silent: bool) {
    if let Some(server) = fleet.servers.get(&server) {
        server.host.set_silent(silent);
    }
}
