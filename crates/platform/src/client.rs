use std::sync::Arc;
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use tarpc::{client::RpcError, context};
use tokio::time::{self, Instant};

use crate::{
    Error,
    limit::{Bucket, Rate},
    machine::Machine,
    retry::Schedule,
    seen::{Seen, Verdict},
    service::PlatformClient,
    store::{Entry, Lease, Outcome, Refusal, Swap},
};

mod slot;

use slot::Slot;

/// How the client deals with the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// How long a call may take, a connection's opening included.
    pub deadline: Duration,
    /// How long a watch waits at the platform. It is also the watch's heartbeat: the platform
    /// answers at its end also when nothing has changed, so silence beyond it and a
    /// [`deadline`](Options::deadline) is a failure.
    pub watch: Duration,
    /// How reads are tried again.
    pub retry: Schedule,
    /// How many calls may be made.
    pub rate: Rate,
    /// Seeds the spread of the retries.
    pub seed: u64,
}

impl Default for Options {
    /// The platform answers in milliseconds, so a second without an answer is a failure. A silent
    /// connection is noticed after one call (1 s) or one watch (3 s). An idle watcher makes half
    /// a call a second; 5 a second leave room for a lease and for applying.
    fn default() -> Self {
        Options {
            deadline: Duration::from_secs(1),
            watch: Duration::from_secs(2),
            retry: Schedule {
                tries: 3,
                base: Duration::from_millis(100),
                cap: Duration::from_secs(1),
            },
            rate: Rate {
                per_second: 5.0,
                burst: 10.0,
            },
            seed: 0,
        }
    }
}

/// A client of the platform. It connects when it is first used and again whenever the connection
/// breaks or goes silent. Watches have a connection of their own, so that a waiting watch can't
/// hide that calls go unanswered.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    options: Options,
    start: Instant,
    state: Mutex<State>,
    calls: Slot,
    watches: Slot,
    made: AtomicU64,
}

/// What the client's decisions remember.
#[derive(Debug)]
struct State {
    bucket: Bucket,
    seen: Seen,
    random: Pcg64,
}

/// What a lost answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// Nothing: the call only reads.
    None,
    /// It may have taken effect.
    Possible,
}

impl Client {
    /// A client of the platform at `address`.
    ///
    /// ```
    /// use acacia_platform::{Client, Options};
    /// let client = Client::new("127.0.0.1:2379".parse()?, Options::default());
    /// assert_eq!(client.calls(), 0);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Client {
            address,
            options,
            start: Instant::now(),
            state: Mutex::new(State {
                bucket: Bucket::new(options.rate),
                seen: Seen::default(),
                random: Pcg64::seed_from_u64(options.seed),
            }),
            calls: Slot::default(),
            watches: Slot::default(),
            made: AtomicU64::new(0),
        }
    }

    /// Closes the connections and waits until nothing of the client runs any more.
    pub async fn close(self) {
        self.calls.close().await;
        self.watches.close().await;
    }

    /// Calls made so far, for the metrics.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    /// Reads a key. Tried again by the schedule, also when the answer is older than one before.
    ///
    /// # Errors
    /// When no try has given an answer that is as new as those before.
    pub async fn get(&self, key: &Arc<str>) -> Result<Entry, Error> {
        self.retry(async || {
            let entry = self.read(key).await?;
            self.judge(key, entry)
        })
        .await
    }

    /// Reads a key once.
    async fn read(&self, key: &Arc<str>) -> Result<Entry, Error> {
        let wait = self.options.deadline;
        let get = async |rpc: &PlatformClient, ctx| rpc.get(ctx, Arc::clone(key)).await;
        self.call(&self.calls, wait, Effect::None, get).await
    }

    /// Tries a read by the schedule.
    async fn retry(&self, read: impl AsyncFn() -> Result<Entry, Error>) -> Result<Entry, Error> {
        let mut tried = 1;
        loop {
            let answer = read().await;
            let Err(error) = answer else { return answer };
            let pause = self.options.retry.pause(tried, &mut self.state().random);
            let Some(pause) = pause else {
                return Err(error);
            };
            time::sleep(pause).await;
            tried += 1;
        }
    }

    /// Writes a key if it has the expected revision. Made once: after [`Error::Unknown`], read
    /// the key to learn whether the write took effect.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the write may have taken effect, any other if it has not.
    pub async fn swap(&self, swap: Swap) -> Result<Outcome, Error> {
        let key = Arc::clone(&swap.key);
        let write = async |rpc: &PlatformClient, ctx| rpc.swap(ctx, swap.clone()).await;
        let outcome = self.write(write).await?;
        if let Outcome::Written { revision } = outcome {
            let _known = self.state().seen.judge(&key, revision);
        }
        Ok(outcome)
    }

    /// Waits until a key's revision is above `above`, at most for [`Options::watch`], and gives
    /// what it holds then. A watch that fails or stays silent is replaced by a read over a new
    /// connection, since what it would have told may have been lost.
    ///
    /// The answer is given as it is, also when it is older than others before: a platform that
    /// was restored from a backup numbers its writes from there, and a watcher that refused them
    /// would miss every later change. Whoever watches compares what the values themselves say.
    /// The next watch names the revision of this answer.
    ///
    /// # Errors
    /// When the read fails as well.
    pub async fn watch(&self, key: &Arc<str>, above: u64) -> Result<Entry, Error> {
        let wait_ms = u64::try_from(self.options.watch.as_millis()).unwrap_or(u64::MAX);
        let wait = self.options.watch + self.options.deadline;
        let watch =
            async |rpc: &PlatformClient, ctx| rpc.watch(ctx, Arc::clone(key), above, wait_ms).await;
        match self.call(&self.watches, wait, Effect::None, watch).await {
            Ok(entry) => Ok(entry),
            Err(_) => self.retry(async || self.read(key).await).await,
        }
    }

    /// Takes out a lease.
    ///
    /// # Errors
    /// After [`Error::Unknown`] a lease may exist; it lapses by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let grant = async |rpc: &PlatformClient, ctx| Ok(Ok(rpc.grant(ctx, ttl_ms).await?));
        self.write(grant).await
    }

    /// Starts a lease's time anew.
    ///
    /// # Errors
    /// [`Refusal::LeaseGone`] if it has lapsed: whatever it protected is someone else's now.
    pub async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        let keep = async |rpc: &PlatformClient, ctx| rpc.keep_alive(ctx, lease).await;
        self.write(keep).await
    }

    /// Ends a lease.
    ///
    /// # Errors
    /// After any of them the lease may still be there; it lapses by itself.
    pub async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let revoke = async |rpc: &PlatformClient, ctx| rpc.revoke(ctx, lease).await;
        self.write(revoke).await
    }

    /// The platform's list of VMs, which lags.
    ///
    /// # Errors
    /// When the platform can't be reached or does not answer.
    pub async fn machines(&self) -> Result<Vec<Machine>, Error> {
        let machines = async |rpc: &PlatformClient, ctx| rpc.machines(ctx).await;
        let wait = self.options.deadline;
        self.call(&self.calls, wait, Effect::None, machines).await
    }

    fn judge(&self, key: &Arc<str>, entry: Entry) -> Result<Entry, Error> {
        match self.state().seen.judge(key, entry.revision) {
            Verdict::Current => Ok(entry),
            Verdict::Stale { seen } => {
                let answered = entry.revision;
                log::warn!("event=platform-stale key={key} answered={answered} seen={seen}");
                Err(Error::Stale { answered, seen })
            }
        }
    }

    async fn write<T>(
        &self,
        call: impl AsyncFn(&PlatformClient, context::Context) -> Result<Result<T, Refusal>, RpcError>,
    ) -> Result<T, Error> {
        let wait = self.options.deadline;
        let answer = self.call(&self.calls, wait, Effect::Possible, call).await?;
        answer.map_err(Error::Refused)
    }

    /// Makes one call over the slot's connection, which is replaced when it turns out broken or
    /// silent.
    async fn call<T>(
        &self,
        slot: &Slot,
        wait: Duration,
        effect: Effect,
        call: impl AsyncFn(&PlatformClient, context::Context) -> Result<T, RpcError>,
    ) -> Result<T, Error> {
        self.admit().await?;
        let deadline = Instant::now() + wait;
        let open = time::timeout_at(deadline, slot.open(self.address, self.start))
            .await
            .map_err(|_| Error::Unreachable)?
            .map_err(|_| Error::Unreachable)?;
        self.made.fetch_add(1, Ordering::Relaxed);
        let mut ctx = context::current();
        ctx.deadline = deadline.into_std();
        let sent = self.start.elapsed();
        let answer = time::timeout_at(deadline, call(open.rpc(), ctx)).await;
        match answer {
            Ok(Ok(value)) => {
                open.heard(self.start.elapsed());
                return Ok(value);
            }
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) if !open.is_silent(sent) => {}
            Ok(Err(error)) => self.discard(slot, &open, &error.to_string()),
            Err(_) => self.discard(slot, &open, "silent"),
        }
        Err(match effect {
            Effect::None => Error::Timeout,
            Effect::Possible => Error::Unknown,
        })
    }

    /// Gives up a connection, and says so: a rising rate of this is the sign of a bad path.
    fn discard(&self, slot: &Slot, open: &Arc<slot::Open>, reason: &str) {
        let address = self.address;
        log::warn!("event=platform-connection-replaced address={address} reason={reason:?}");
        slot.discard(open);
    }

    /// Waits for the limit on calls, but no longer than a call may take.
    async fn admit(&self) -> Result<(), Error> {
        let deadline = self.start.elapsed() + self.options.deadline;
        loop {
            let now = self.start.elapsed();
            let Err(after) = self.state().bucket.take(now) else {
                return Ok(());
            };
            if now + after > deadline {
                return Err(Error::Limited { after });
            }
            time::sleep(after).await;
        }
    }

    /// A poisoned lock is taken as it is: each change under it is a single step.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
