//! Serves the platform's calls and the control calls over TCP.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use acacia_accept::{Limiter, Limits, listen};
use acacia_platform::{
    machine::Machine,
    server,
    service::Platform,
    store::{Entry, Lease, Outcome, Refusal, Swap},
};
use tarpc::{context::Context, server::Serve as _};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use super::{
    control::Control,
    fault::{Counts, Faults},
    state::{Inner, Shared},
};

/// Maximum size of a call, in bytes: twice the size of the largest configuration.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Maximum number of simultaneous connections: enough for all balancers and operators of a test.
const MAX_CONNECTIONS: usize = 1000;
/// Maximum lifetime of a connection: longer than any test runs.
const MAX_CONNECTION_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// A running stand-in for the platform, with its listeners and state.
#[derive(Debug)]
pub struct Stand {
    shared: Arc<Shared>,
    address: SocketAddr,
    control: SocketAddr,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Stand {
    /// Starts a stand-in that serves the platform's calls on `address` and the control calls on
    /// `control`. Port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// use acacia_stand::platform::Stand;
    /// let any = "127.0.0.1:0".parse().expect("an address");
    /// let stand = Stand::start(any, any).await?;
    /// stand.change_faults(|faults| faults.slow_ms = 50);
    /// assert_eq!(stand.counts().total(), 0);
    /// stand.stop().await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(address: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let control_listener = TcpListener::bind(control).await?;
        let mut stand = Stand {
            shared: Arc::new(Shared::new()),
            address: listener.local_addr()?,
            control: control_listener.local_addr()?,
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
        };
        let (shared, stop) = (Arc::clone(&stand.shared), stand.stop.clone());
        stand.tasks.spawn(listen(
            listener,
            stop,
            limiter("store"),
            move |stream, slot| {
                slot.activate();
                serve_platform(stream, Arc::clone(&shared))
            },
        ));
        let (shared, stop) = (Arc::clone(&stand.shared), stand.stop.clone());
        stand.tasks.spawn(listen(
            control_listener,
            stop,
            limiter("steering"),
            move |stream, slot| {
                slot.activate();
                let session = ControlSession(Arc::clone(&shared));
                server::serve_connection(stream, MAX_CALL_BYTES, move |ctx, req| {
                    session.clone().serve().serve(ctx, req)
                })
            },
        ));
        Ok(stand)
    }

    /// Returns the address that serves the platform's calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves the control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Changes the faults in force.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.with(|inner, _| change(&mut inner.faults));
        self.shared.wake();
    }

    /// Leaves every connection that is open now unanswered for good; later connections work.
    pub fn silence_open(&self) {
        self.shared.with(silence_open);
    }

    /// Expires every lease at once.
    pub fn lapse_leases(&self) {
        self.shared.with(lapse_leases);
        self.shared.wake();
    }

    /// Restores the store from a backup that lacks the last write of each key.
    pub fn restore(&self) {
        self.shared.with(|inner, _| inner.store.restore());
        self.shared.wake();
    }

    /// Replaces the list of VMs.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        let set = |inner: &mut Inner, now| inner.set_machines(now, machines);
        self.shared.with(set);
    }

    /// Returns the number of calls received so far, by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.with(|inner, _| inner.counts)
    }

    /// Stops serving and waits until all tasks have ended.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

fn limiter(name: &'static str) -> Arc<Limiter> {
    let limits = Limits {
        pending: MAX_CONNECTIONS,
        active: MAX_CONNECTIONS,
        pending_timeout: MAX_CONNECTION_LIFETIME,
        idle_timeout: MAX_CONNECTION_LIFETIME,
        stalled_after: MAX_CONNECTION_LIFETIME,
    };
    Arc::new(Limiter::new(name, limits))
}

fn silence_open(inner: &mut Inner, _now: Duration) {
    inner.silent_below = inner.opened;
}

fn lapse_leases(inner: &mut Inner, _now: Duration) {
    inner.store.expire(Duration::MAX);
}

/// Serves one connection until it ends or the platform is set down.
async fn serve_platform(stream: TcpStream, shared: Arc<Shared>) {
    let number = shared.with(|inner, _| {
        inner.opened += 1;
        inner.opened - 1
    });
    let mut changes = shared.changes();
    let down = shared.clone();
    let session = Session { shared, number };
    let serve = server::serve_connection(stream, MAX_CALL_BYTES, move |ctx, req| {
        session.clone().serve().serve(ctx, req)
    });
    tokio::select! {
        () = serve => {}
        () = wait_until_down(&mut changes, &down) => {}
    }
}

/// Waits until the platform is set down.
async fn wait_until_down(changes: &mut tokio::sync::watch::Receiver<u64>, shared: &Shared) {
    while !shared.with(|inner, _| inner.faults.down) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Serves the platform's calls of one connection.
#[derive(Debug, Clone)]
struct Session {
    shared: Arc<Shared>,
    number: u64,
}

impl Session {
    /// Counts a call. Never returns if the platform or this connection is silent.
    async fn begin_call(&self, count: impl FnOnce(&mut Counts)) {
        let silent = self.shared.with(|inner, _| {
            count(&mut inner.counts);
            inner.faults.silent || self.number < inner.silent_below
        });
        if silent {
            std::future::pending::<()>().await;
        }
    }

    /// Returns `answer` after the delay that the faults in force set.
    async fn delay_answer<T>(&self, answer: T) -> T {
        let slow = self.shared.with(|inner, _| inner.faults.slow_ms);
        time::sleep(Duration::from_millis(slow)).await;
        answer
    }

    /// Applies a write, wakes the watches and returns the answer. Never returns if the faults in
    /// force say that the answer is lost.
    async fn write<T>(&self, write: impl FnOnce(&mut Inner, Duration) -> T) -> T {
        let (answer, lost) = self.shared.with(|inner, now| {
            let answer = write(inner, now);
            let lost = inner.faults.lose_writes > 0;
            inner.faults.lose_writes = inner.faults.lose_writes.saturating_sub(1);
            (answer, lost)
        });
        self.shared.wake();
        if lost {
            std::future::pending::<()>().await;
        }
        self.delay_answer(answer).await
    }

    fn read(&self, key: &str) -> Entry {
        self.shared.with(|inner, _| match inner.faults.stale {
            true => inner.store.get_previous(key),
            false => inner.store.get(key),
        })
    }

    /// Waits for the next change or until the next lease expires.
    async fn wait_for_change(&self, changes: &mut tokio::sync::watch::Receiver<u64>) {
        let next = self.shared.with(|inner, _| inner.store.next_expiry());
        let pause = next.map_or(Duration::MAX, |at| at.saturating_sub(self.shared.now()));
        tokio::select! {
            _ = changes.changed() => {}
            () = time::sleep(pause) => {}
        }
    }
}

impl Platform for Session {
    async fn get(self, _: Context, key: Arc<str>) -> Entry {
        self.begin_call(|counts| counts.get += 1).await;
        self.delay_answer(self.read(&key)).await
    }

    async fn swap(self, _: Context, swap: Swap) -> Result<Outcome, Refusal> {
        self.begin_call(|counts| counts.swap += 1).await;
        self.write(|inner, _| inner.store.swap(swap)).await
    }

    async fn watch(self, _: Context, key: Arc<str>, above: u64, wait_ms: u64) -> Entry {
        self.begin_call(|counts| counts.watch += 1).await;
        let mut changes = self.shared.changes();
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let wait = async {
            while self.read(&key).revision <= above {
                self.wait_for_change(&mut changes).await;
            }
        };
        let _changed = time::timeout_at(end, wait).await;
        self.delay_answer(self.read(&key)).await
    }

    async fn grant(self, _: Context, ttl_ms: u64) -> Lease {
        self.begin_call(|counts| counts.lease += 1).await;
        let ttl = Duration::from_millis(ttl_ms);
        self.write(|inner, now| inner.store.grant(ttl, now)).await
    }

    async fn keep_alive(self, _: Context, lease: Lease) -> Result<(), Refusal> {
        self.begin_call(|counts| counts.lease += 1).await;
        self.write(|inner, now| inner.store.keep_alive(lease, now))
            .await
    }

    async fn revoke(self, _: Context, lease: Lease) -> Result<(), Refusal> {
        self.begin_call(|counts| counts.lease += 1).await;
        self.write(|inner, _| inner.store.revoke(lease)).await
    }

    async fn machines(self, _: Context) -> Vec<Machine> {
        self.begin_call(|counts| counts.machines += 1).await;
        let list = self.shared.with(|inner, now| inner.machines(now));
        self.delay_answer(list).await
    }
}

/// Serves the control calls of one connection.
#[derive(Debug, Clone)]
struct ControlSession(Arc<Shared>);

impl Control for ControlSession {
    async fn faults(self, _: Context, faults: Faults) {
        self.0.with(|inner, _| inner.faults = faults);
        self.0.wake();
    }

    async fn silence_open(self, _: Context) {
        self.0.with(silence_open);
    }

    async fn lapse_leases(self, _: Context) {
        self.0.with(lapse_leases);
        self.0.wake();
    }

    async fn restore(self, _: Context) {
        self.0.with(|inner, _| inner.store.restore());
        self.0.wake();
    }

    async fn machines(self, _: Context, machines: Vec<Machine>) {
        self.0.with(|inner, now| inner.set_machines(now, machines));
    }

    async fn counts(self, _: Context) -> Counts {
        self.0.with(|inner, _| inner.counts)
    }
}
