use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use acacia_code::Code;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime};
use nng::{Protocol, Socket};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::state::{Frame, State};

/// How long the thread sleeps when nobody wakes it. 50 ms: silence and idleness are judged by
/// seconds, bulk waits in the budget anyway.
const SLEEP: Duration = Duration::from_millis(50);
/// The same while a connection would not take a frame. 5 ms: a megabyte passes in a few of them.
const RETRY: Duration = Duration::from_millis(5);
/// Frames sent to one peer before the next has its turn. 16: no peer waits for another's backlog.
const TURN: usize = 16;
/// First and longest wait of nng between two attempts to connect; it draws them at random below.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The state, its lock and the sending thread's alarm.
pub(crate) struct Shared {
    state: Mutex<State>,
    alarm: Condvar,
}

impl Shared {
    pub(crate) fn new(state: State) -> Self {
        Shared {
            state: Mutex::new(state),
            alarm: Condvar::new(),
        }
    }

    /// The state. A thread that panicked while it held the lock can't have left it half changed
    /// in a way that matters: counters and queues are valid after every step.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wake(&self, state: &mut State) {
        state.woken = true;
        self.alarm.notify_one();
    }

    fn sleep(&self, period: Duration) {
        let state = self.lock();
        let idle = |state: &mut State| !state.woken && !state.closing;
        let waited = self.alarm.wait_timeout_while(state, period, idle);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.woken = false;
    }
}

/// The connection to one peer.
struct Link {
    socket: Socket,
    address: SocketAddr,
    /// A frame that the connection would not take yet.
    waiting: Option<Frame>,
    /// Drawn anew for each connection.
    random: f64,
}

impl Link {
    /// Begins to connect, in the background.
    fn dial(address: SocketAddr, random: f64) -> Result<Self, nng::Error> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT.1))?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Link {
            socket,
            address,
            waiting: None,
            random,
        })
    }
}

/// The sending thread: until the mesh closes.
pub(crate) fn run(shared: &Shared, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut links: BTreeMap<u16, Link> = BTreeMap::new();
    loop {
        let peers = {
            let state = shared.lock();
            if state.closing {
                return;
            }
            let addresses = state.peers.iter().map(|(id, peer)| (*id, peer.address));
            addresses.collect::<BTreeMap<_, _>>()
        };
        links.retain(|id, link| peers.get(id) == Some(&link.address));
        for (id, address) in &peers {
            connect(shared, &mut links, *id, *address, &mut random);
        }
        let mut sent_all = true;
        for (id, link) in &mut links {
            sent_all &= drain(shared, *id, link);
        }
        shared.sleep(if sent_all { SLEEP } else { RETRY });
    }
}

/// Dials a peer that has no connection, or whose connection has gone silent.
fn connect(
    shared: &Shared,
    links: &mut BTreeMap<u16, Link>,
    id: u16,
    address: SocketAddr,
    random: &mut Pcg64Mcg,
) {
    if links
        .get(&id)
        .is_some_and(|link| !is_silent(shared, id, link))
    {
        return;
    }
    let waiting = links.remove(&id).and_then(|link| link.waiting);
    match Link::dial(address, random.random()) {
        Ok(link) => {
            links.insert(id, Link { waiting, ..link });
        }
        Err(error) => log::warn!("event=dial_failed peer={id} address={address} error={error:?}"),
    }
}

fn is_silent(shared: &Shared, id: u16, link: &Link) -> bool {
    let mut state = shared.lock();
    let (now, silent) = (state.now(), state.settings.silent());
    let longest = state.settings.longest_silence;
    let Some(peer) = state.peers.get_mut(&id) else {
        return false;
    };
    if !peer.watch.is_silent(now, silent, longest, link.random) {
        return false;
    }
    peer.watch.replaced();
    state.stats.peers.entry(id).or_default().redials += 1;
    let code = Code::ControlSilent;
    log::warn!(
        "event=redial code={code} peer={id} address={}",
        link.address
    );
    true
}

/// Sends what may pass. False if the connection would not take all of it.
fn drain(shared: &Shared, id: u16, link: &mut Link) -> bool {
    for _ in 0..TURN {
        let frame = match link.waiting.take() {
            Some(frame) => frame,
            None => match shared.lock().next_frame(id) {
                Some(frame) => frame,
                None => return true,
            },
        };
        let taken = link.socket.try_send(frame.bytes.as_slice()).is_ok();
        let mut state = shared.lock();
        let now = state.now();
        if let Some(peer) = state.peers.get_mut(&id) {
            peer.watch.sent(now, frame.sequence);
        }
        if !taken {
            link.waiting = Some(frame);
            return false;
        }
        state.count_sent(id, frame.bytes.len());
    }
    false
}
