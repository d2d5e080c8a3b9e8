//! The fabric: forwards each packet of a caller to a randomly chosen balancer, and each answer
//! directly to its caller.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use acacia_wire::collections::Map;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    admin::{self, Command, DONE},
    stop::{Flag, POLL},
};

/// Length of an IPv4 header without options, in bytes.
const IPV4_HEADER_BYTES: usize = 20;

/// Addresses, the initial balancers and the random seed.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Address that receives the packets of callers.
    #[arg(long)]
    pub callers: SocketAddr,
    /// Address that receives the packets of backend servers and balancers for callers.
    #[arg(long)]
    pub answers: SocketAddr,
    /// Address that receives administration commands.
    #[arg(long)]
    pub admin: SocketAddr,
    /// Balancers over which packets are spread at first.
    #[arg(long, value_delimiter = ',')]
    pub balancers: Vec<SocketAddr>,
    /// Seed of the random choice of balancers and of lost packets.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Debug)]
struct State {
    balancers: Vec<SocketAddr>,
    loss_per_mille: u32,
    caller_endpoints: Map<Ipv4Addr, SocketAddr>,
    random: Pcg64Mcg,
}

/// Runs until `stop` is raised.
pub fn run(options: &Options, stop: &Flag) -> anyhow::Result<()> {
    let sockets = [options.callers, options.answers, options.admin].map(|address| {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(POLL))?;
        Ok::<_, std::io::Error>(socket)
    });
    let [callers, answers, commands] = sockets;
    let (callers, answers, commands) = (callers?, answers?, commands?);
    let state = Arc::new(Mutex::new(State {
        balancers: options.balancers.clone(),
        loss_per_mille: 0,
        caller_endpoints: Map::default(),
        random: Pcg64Mcg::seed_from_u64(options.seed),
    }));
    log::info!(
        "event=fabric-up callers={} balancers={}",
        options.callers,
        options.balancers.len()
    );
    thread::scope(|scope| {
        scope.spawn(|| {
            forward_packets(&callers, stop, |packet, from| {
                choose_balancer(&state, packet, from)
            })
        });
        scope.spawn(|| {
            forward_packets(&answers, stop, |packet, _| {
                lock(&state)
                    .caller_endpoints
                    .get(&ipv4_address(packet, 16)?)
                    .copied()
            });
        });
        while !stop.is_raised() {
            if let Err(error) = admin::receive(&commands, |command| execute(&state, command)) {
                log::warn!("event=command-failed error=\"{error}\"");
            }
        }
    });
    Ok(())
}

fn forward_packets(
    socket: &UdpSocket,
    stop: &Flag,
    route: impl Fn(&[u8], SocketAddr) -> Option<SocketAddr>,
) {
    let mut bytes = [0; 2048];
    while !stop.is_raised() {
        let Ok((len, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if let Some(to) = route(&bytes[..len], from) {
            // A packet that doesn't fit the socket buffer is lost, as in a network; TCP
            // retransmits it.
            let _ = socket.send_to(&bytes[..len], to);
        }
    }
}

fn choose_balancer(state: &Mutex<State>, packet: &[u8], from: SocketAddr) -> Option<SocketAddr> {
    let source = ipv4_address(packet, 12)?;
    let mut state = lock(state);
    state.caller_endpoints.insert(source, from);
    if state.balancers.is_empty() || state.random.random_range(0..1000) < state.loss_per_mille {
        return None;
    }
    let count = state.balancers.len();
    let choice = state.random.random_range(0..count);
    Some(state.balancers[choice])
}

fn execute(state: &Mutex<State>, command: Command) -> String {
    let mut state = lock(state);
    match command {
        Command::Balancers(balancers) => state.balancers = balancers,
        Command::Loss(loss) => state.loss_per_mille = loss,
        _ => return "the fabric doesn't support this command".to_owned(),
    }
    DONE.to_owned()
}

fn ipv4_address(packet: &[u8], at: usize) -> Option<Ipv4Addr> {
    let header = packet.get(..IPV4_HEADER_BYTES)?;
    Some(Ipv4Addr::new(
        header[at],
        header[at + 1],
        header[at + 2],
        header[at + 3],
    ))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
