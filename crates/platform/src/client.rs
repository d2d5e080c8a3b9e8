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
use tokio::time::{self, Instant};

use crate::{
    Error,
    limit::{Bucket, Rate},
    machine::Machine,
    retry::Schedule,
    revisions::{Freshness, HighestRevisions},
    service,
    store::{Entry, Events, Item, Lease, Outcome, Refusal, Swap},
    transport::{Answer, Call, Consistency, Failure, Transport},
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
    transport: Transport,
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
    revisions: HighestRevisions,
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
        Client::with_transport(address, options, service::transport())
    }

    /// A client of the platform at `address` that speaks to it by `transport`.
    ///
    /// ```
    /// use acacia_platform::{Client, Options, service};
    /// let address = "127.0.0.1:2379".parse()?;
    /// let client = Client::with_transport(address, Options::default(), service::transport());
    /// assert_eq!(client.calls(), 0);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn with_transport(address: SocketAddr, options: Options, transport: Transport) -> Self {
        Client {
            address,
            transport,
            options,
            start: Instant::now(),
            state: Mutex::new(State {
                bucket: Bucket::new(options.rate),
                revisions: HighestRevisions::default(),
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
            self.check_revision(key, entry)
        })
        .await
    }

    /// Reads a key once.
    async fn read(&self, key: &Arc<str>) -> Result<Entry, Error> {
        let call = Call::Get {
            key: Arc::clone(key),
        };
        self.read_call(call, Answer::entry).await
    }

    /// Tries a read by the schedule.
    async fn retry<T>(&self, read: impl AsyncFn() -> Result<T, Error>) -> Result<T, Error> {
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
        let outcome = self.write(Call::Swap(swap), Answer::swapped).await?;
        if let Outcome::Written { revision } = outcome {
            let _freshness = self.state().revisions.check(&key, revision);
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
        let wait = self.options.watch;
        let call = Call::Watch {
            key: Arc::clone(key),
            above,
            wait,
        };
        let wait = wait + self.options.deadline;
        match self.call(&self.watches, wait, Effect::None, call).await {
            Ok(answer) => answer.entry().ok_or(Error::Malformed),
            Err(_) => self.retry(async || self.read(key).await).await,
        }
    }

    /// Takes out a lease.
    ///
    /// # Errors
    /// After [`Error::Unknown`] a lease may exist; it lapses by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.write(Call::Grant { ttl }, Answer::granted).await
    }

    /// Starts a lease's time anew.
    ///
    /// # Errors
    /// [`Refusal::LeaseGone`] if it has lapsed: whatever it protected is someone else's now.
    pub async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.write(Call::KeepAlive { lease }, Answer::done).await
    }

    /// Ends a lease.
    ///
    /// # Errors
    /// After any of them the lease may still be there; it lapses by itself.
    pub async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.write(Call::Revoke { lease }, Answer::done).await
    }

    /// The platform's list of VMs, which lags.
    ///
    /// # Errors
    /// When the platform can't be reached or does not answer.
    pub async fn machines(&self) -> Result<Vec<Machine>, Error> {
        self.read_call(Call::Machines, Answer::machines).await
    }

    /// Reads all items whose keys begin with `prefix`, page by page, and gives them with a revision up to
    /// which they are complete. The pages are no snapshot: [`Client::changes`] after that revision tells
    /// what changed while they were read.
    ///
    /// # Errors
    /// When no try has given a page, or the platform doesn't offer the call.
    pub async fn range(
        &self,
        prefix: &Arc<str>,
        consistency: Consistency,
    ) -> Result<(Vec<Item>, u64), Error> {
        let (mut items, mut revision, mut after) = (Vec::new(), None, None);
        loop {
            let page = self
                .retry(async || {
                    let (prefix, after) = (Arc::clone(prefix), after.clone());
                    let call = Call::Range {
                        prefix,
                        after,
                        consistency,
                    };
                    self.read_call(call, Answer::page).await
                })
                .await?;
            revision.get_or_insert_with(|| page.complete_to(consistency));
            after = page.items.last().map(|item| Arc::clone(&item.key));
            let more = page.more && after.is_some();
            items.extend(page.items);
            if !more {
                return Ok((items, revision.unwrap_or_default()));
            }
        }
    }

    /// Waits until something below `prefix` changes after the revision `after`, at most for `wait`,
    /// and gives the changes. Made once: whoever follows the store decides what to do about a
    /// failure.
    ///
    /// # Errors
    /// [`Error::HistoryGone`] when the store no longer knows that revision: read the whole again.
    pub async fn changes(
        &self,
        prefix: &Arc<str>,
        after: u64,
        wait: Duration,
    ) -> Result<Events, Error> {
        let prefix = Arc::clone(prefix);
        let call = Call::Changes {
            prefix,
            after,
            wait,
        };
        let wait = wait + self.options.deadline;
        let answer = self.call(&self.watches, wait, Effect::None, call).await?;
        answer.events().ok_or(Error::Malformed)
    }

    fn check_revision(&self, key: &Arc<str>, entry: Entry) -> Result<Entry, Error> {
        match self.state().revisions.check(key, entry.revision) {
            Freshness::Current => Ok(entry),
            Freshness::Stale { seen } => {
                let answered = entry.revision;
                log::warn!("event=platform-stale key={key} answered={answered} seen={seen}");
                Err(Error::Stale { answered, seen })
            }
        }
    }

    async fn write<T>(
        &self,
        call: Call,
        take: impl FnOnce(Answer) -> Option<Result<T, Refusal>>,
    ) -> Result<T, Error> {
        let wait = self.options.deadline;
        let answer = self.call(&self.calls, wait, Effect::Possible, call).await?;
        take(answer)
            .ok_or(Error::Malformed)?
            .map_err(Error::Refused)
    }

    async fn read_call<T>(
        &self,
        call: Call,
        take: impl FnOnce(Answer) -> Option<T>,
    ) -> Result<T, Error> {
        let wait = self.options.deadline;
        let answer = self.call(&self.calls, wait, Effect::None, call).await?;
        take(answer).ok_or(Error::Malformed)
    }

    /// Makes one call over the slot's connection, which is replaced when it turns out broken or
    /// silent.
    async fn call(
        &self,
        slot: &Slot,
        wait: Duration,
        effect: Effect,
        call: Call,
    ) -> Result<Answer, Error> {
        self.admit().await?;
        let deadline = Instant::now() + wait;
        let opening = slot.open(&self.transport, self.address, self.start);
        let open = time::timeout_at(
            deadline.min(Instant::now() + self.options.deadline),
            opening,
        )
        .await
        .map_err(|_| Error::Unreachable)?
        .map_err(|_| Error::Unreachable)?;
        self.made.fetch_add(1, Ordering::Relaxed);
        let sent = self.start.elapsed();
        let answer = time::timeout_at(deadline, open.call(call, deadline)).await;
        match answer {
            Ok(Ok(value)) => {
                open.record_answer(self.start.elapsed());
                return Ok(value);
            }
            Ok(Err(Failure::Refused(error))) => {
                open.record_answer(self.start.elapsed());
                return Err(error);
            }
            Ok(Err(Failure::Deadline)) | Err(_) if !open.is_silent(sent) => {}
            Ok(Err(Failure::Broken(error))) => self.discard(slot, &open, &error),
            Ok(Err(Failure::Deadline)) | Err(_) => self.discard(slot, &open, "silent"),
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
