//! The control thread's event loop, which connects [`Core`] to channels and peer connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_flow::{Shards, verdict::Notice};
use acacia_peer::{Mesh, Received};
use crossbeam_channel::{Receiver, select, tick};
use tokio::sync::mpsc;

use super::{
    agreement,
    core::{self, Core, Outgoing},
    platform,
};
use crate::{
    admin,
    clock::{self, time_of_day},
    counter::{Counter, Kind},
    ledger::Ledger,
    load::Counts,
    message::Message,
    settings::Settings,
    view::Published,
};

/// Interval between ticks, the same as in the membership protocol.
const TICK: Duration = Duration::from_millis(50);
/// How long a leaving balancer keeps running after the last packet from the fabric. The fabric
/// learns of the departure late, and packets that it has already sent are still in flight.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time that a leaving balancer keeps running. Without it, a fabric that never stops
/// sending would keep the process running for ever. By then its pins have been handed over, or the
/// peers are out of reach.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Channels of the control thread and the state that it shares with other threads.
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// Results from the platform thread.
    pub platform_events: Receiver<platform::Event>,
    /// Calls for the platform thread to make.
    pub platform_calls: mpsc::Sender<agreement::Call>,
    /// Notices of the traffic threads, to be sent to peers.
    pub notices: Receiver<(u16, Notice)>,
    /// Load counts of the traffic threads.
    pub counts: Receiver<Counts>,
    /// Status snapshots for the admin and metrics threads.
    pub status: admin::Published,
    /// Flow counts for the burn report.
    pub ledger: Arc<Ledger>,
    /// Views for the traffic threads.
    pub published: Published,
    /// Pins and caches, spread over shards.
    pub shards: Arc<Shards>,
    /// Event counters.
    pub counter: Arc<Counter>,
    /// Set to start a graceful shutdown.
    pub leave: Arc<AtomicBool>,
    /// Set by this thread when nothing depends on this balancer any more and the process may exit.
    pub left: Arc<AtomicBool>,
    /// Set to stop the thread.
    pub stop: Arc<AtomicBool>,
}

/// Interval between log lines with the event counters.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

struct Loop<'a> {
    context: &'a Context,
    core: Core,
    mesh: Mesh<Message>,
    peers: Vec<(u16, SocketAddr)>,
    incarnation: u64,
    leaving: Option<Leaving>,
    counted: Duration,
    status_publisher: admin::Publisher,
}

/// Progress of a graceful shutdown.
struct Leaving {
    since: Duration,
    ingress: u64,
    quiet_since: Duration,
}

/// Runs the control thread until `stop` is set.
pub fn run(context: &Context) -> anyhow::Result<()> {
    let now = clock::now();
    let incarnation = time_of_day().as_millis() as u64;
    let settings = &context.settings;
    let mesh_settings =
        acacia_peer::Settings::new(settings.id, SocketAddr::V4(settings.control), incarnation);
    let (mesh, inbox) = Mesh::open(mesh_settings, settings.secret.clone())?;
    let core = Core::new(Arc::clone(settings), incarnation, now);
    let mut state = Loop {
        context,
        core,
        mesh,
        peers: Vec::new(),
        incarnation,
        leaving: None,
        counted: now,
        status_publisher: admin::Publisher::new(Arc::clone(&context.status)),
    };
    let ticks = tick(TICK);
    while !context.stop.load(Ordering::Relaxed) {
        select! {
            recv(inbox) -> received => state.receive(received?),
            recv(context.platform_events) -> event =>
                state.core.handle_platform_event(clock::now(), event?),
            recv(context.notices) -> notice => {
                let (to, notice) = notice?;
                state.send(Core::notice(to, notice));
            }
            recv(context.counts) -> counts => state.counts(&counts?),
            recv(ticks) -> _ => state.tick(),
        }
    }
    state.mesh.close();
    Ok(())
}

impl Loop<'_> {
    fn counts(&mut self, counts: &Counts) {
        for (service, mark, count) in self.core.counts(counts) {
            self.context.ledger.add(&service, mark, count);
        }
    }

    fn receive(&mut self, received: Received<Message>) {
        let (now, shards) = (clock::now(), &self.context.shards);
        match self
            .core
            .receive(now, &received.envelope, received.message, shards)
        {
            Ok(answers) => answers.into_iter().for_each(|answer| self.send(answer)),
            Err(code) => self.context.counter.code(code),
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        let outcome = self.core.tick(now, time_of_day(), &self.context.shards);
        if outcome.incarnation != self.incarnation {
            self.incarnation = outcome.incarnation;
            self.mesh.set_incarnation(outcome.incarnation);
        }
        if outcome.peers != self.peers {
            self.mesh.set_peers(&outcome.peers);
            self.peers = outcome.peers;
        }
        self.context.published.store(outcome.view.map(Arc::new));
        if outcome.forget {
            core::forget(&self.context.shards);
        }
        for call in outcome.platform_calls {
            self.call_platform(now, call);
        }
        outcome
            .outgoing
            .into_iter()
            .for_each(|message| self.send(message));
        self.leave(now);
        self.status_publisher
            .tick(now, &mut self.core, &self.context.shards, || {
                self.mesh.stats()
            });
        if now.saturating_sub(self.counted) >= LOG_INTERVAL {
            self.counted = now;
            let (id, counts) = (self.context.settings.id, self.context.counter.line());
            let traffic = self.status_publisher.traffic();
            log::info!(
                "event=counts id={id} {counts} control_sent={} control_received={}",
                traffic.sent,
                traffic.received
            );
        }
    }

    /// Passes a call to the platform thread without blocking. If the queue is full, the call is
    /// handled as failed, so that the part of the core that waits for its result can go on.
    fn call_platform(&mut self, now: Duration, call: agreement::Call) {
        if let Err(error) = self.context.platform_calls.try_send(call) {
            let call = error.into_inner();
            log::warn!("event=platform-order-dropped order={call:?}");
            self.core
                .handle_platform_event(now, platform::Event::failed(&call));
        }
    }

    fn send(&self, outgoing: Outgoing) {
        // The mesh counts the messages that it drops. The next heartbeat is due soon, and other
        // messages are repeated.
        let _ = self
            .mesh
            .send(outgoing.to, outgoing.class, &outgoing.message);
    }

    fn leave(&mut self, now: Duration) {
        if !self.context.leave.load(Ordering::Relaxed) {
            return;
        }
        let ingress = self.context.counter.of(Kind::Ingress);
        let leaving = self.leaving.get_or_insert_with(|| {
            self.core.leave();
            Leaving {
                since: now,
                ingress,
                quiet_since: now,
            }
        });
        if leaving.ingress != ingress {
            leaving.ingress = ingress;
            leaving.quiet_since = now;
        }
        let quiet = now.saturating_sub(leaving.quiet_since) >= QUIET_TIME;
        let late = now.saturating_sub(leaving.since) >= LEAVE_TIMEOUT;
        if (quiet && self.core.may_leave()) || late {
            self.context.left.store(true, Ordering::Relaxed);
        }
    }
}
