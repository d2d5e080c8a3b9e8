//! The control thread's loop: channels and connections around [`Core`].

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
    agreement::PlatformCall,
    core::{self, Core, Outgoing},
    platform::PlatformEvent,
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

/// Between two ticks; the membership's own number.
const TICK: Duration = Duration::from_millis(50);
/// How long a leaving balancer goes on after the last packet from the fabric: the fabric learns of
/// it late, and packets that it has sent are still on their way.
const QUIET: Duration = Duration::from_millis(1_500);
/// How long a leaving balancer goes on at most. A fabric that never stops sending to it would keep
/// it for ever; by then its pins have been handed over or the peers are out of reach.
const LONGEST_LEAVING: Duration = Duration::from_secs(15);

/// The ends of the channels and what the thread shares.
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// From the platform's thread.
    pub platform_events: Receiver<PlatformEvent>,
    /// To the platform's thread.
    pub platform_calls: mpsc::Sender<PlatformCall>,
    /// From the traffic threads.
    pub notices: Receiver<(u16, Notice)>,
    /// From the traffic threads.
    pub counts: Receiver<Counts>,
    /// For the admin and metrics threads.
    pub status: admin::Published,
    /// How flows ended, for operators.
    pub ledger: Arc<Ledger>,
    /// For the traffic threads.
    pub published: Published,
    /// Pins and caches.
    pub shards: Arc<Shards>,
    /// Counts.
    pub counter: Arc<Counter>,
    /// Raised to begin a graceful shutdown.
    pub leave: Arc<AtomicBool>,
    /// Raised by this thread when nothing depends on the balancer any more.
    pub left: Arc<AtomicBool>,
    /// Raised to end the thread.
    pub stop: Arc<AtomicBool>,
}

/// Between two lines of counts in the log.
const COUNTS: Duration = Duration::from_secs(10);

struct Loop<'a> {
    context: &'a Context,
    core: Core,
    mesh: Mesh<Message>,
    peers: Vec<(u16, SocketAddr)>,
    incarnation: u64,
    leaving: Option<Leaving>,
    counted: Duration,
    status_publisher: admin::StatusPublisher,
}

/// How far a graceful shutdown has come.
struct Leaving {
    since: Duration,
    ingress: u64,
    quiet_since: Duration,
}

/// Runs until `stop` is raised.
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
        status_publisher: admin::StatusPublisher::new(Arc::clone(&context.status)),
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
        if now.saturating_sub(self.counted) >= COUNTS {
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

    /// Hands an order to the platform's thread. Never waits: one that a full queue doesn't take has
    /// failed, and is told so to whoever waits for its end.
    fn call_platform(&mut self, now: Duration, call: PlatformCall) {
        if let Err(error) = self.context.platform_calls.try_send(call) {
            let call = error.into_inner();
            log::warn!("event=platform-order-dropped order={call:?}");
            self.core
                .handle_platform_event(now, PlatformEvent::failed(&call));
        }
    }

    fn send(&self, outgoing: Outgoing) {
        // The mesh counts what it drops; a heartbeat's successor is due soon, the rest is repeated.
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
        let quiet = now.saturating_sub(leaving.quiet_since) >= QUIET;
        let late = now.saturating_sub(leaving.since) >= LONGEST_LEAVING;
        if (quiet && self.core.may_leave()) || late {
            self.context.left.store(true, Ordering::Relaxed);
        }
    }
}
