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
    revisions::{Freshness, Highest},
    service,
    store::{Entry, Events, Lease, Outcome, Page, Range, Refusal, Swap},
    transport::{Answer, Call, Consistency, Failure, Transport},
};

mod slot;

use slot::Slot;

/// Settings of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// How long a call may take, including the time to connect.
    pub deadline: Duration,
    /// How long a watch waits at the platform. The platform answers at the end of this time even
    /// if nothing has changed, so a watch without an answer after this and the
    /// [`deadline`](Options::deadline) has failed.
    pub watch: Duration,
    /// Schedule of retried reads.
    pub retry: Schedule,
    /// Limit on the rate of calls.
    pub rate: Rate,
    /// Seed of the random pauses between retries.
    pub seed: u64,
}

impl Default for Options {
    /// The platform answers within milliseconds, so a second without an answer is a failure. A
    /// silent connection is detected by one call (1 s) or one watch (3 s). A watch of a key that
    /// does not change takes half a call a second; 5 a second leave room for keeping a lease alive
    /// and for applying a change.
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

/// A client of the platform. It connects on first use, and again after the connection has broken or
/// gone silent. Watches use a separate connection: on a shared one, their answers would hide that
/// calls are not answered.
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

/// The state behind the client's decisions.
#[derive(Debug)]
struct State {
    bucket: Bucket,
    revisions: Highest,
    random: Pcg64,
}

/// Whether a call that was not answered may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// It reads only, so it has had none.
    Read,
    /// It may have taken effect.
    Write,
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

    /// A client of the platform at `address` that uses `transport`.
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
                revisions: Highest::default(),
                random: Pcg64::seed_from_u64(options.seed),
            }),
            calls: Slot::default(),
            watches: Slot::default(),
            made: AtomicU64::new(0),
        }
    }

    /// Closes the connections and waits until all tasks of the client have ended.
    pub async fn close(self) {
        self.calls.close().await;
        self.watches.close().await;
    }

    /// The number of calls made so far, for metrics.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    /// Reads a key. A failed read and a stale answer are retried by the schedule.
    ///
    /// # Errors
    /// When every attempt has failed or given a stale answer.
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

    /// Retries a read by the schedule.
    async fn retry<T>(&self, read: impl AsyncFn() -> Result<T, Error>) -> Result<T, Error> {
        let mut tried = 1;
        loop {
            let answer = read().await;
            let Err(error) = answer else { return answer };
            let pause = match error {
                Error::TooLong { .. } => None,
                _ => {
                    let random = &mut self.state().random;
                    self.options.retry.pause(tried, random)
                }
            };
            let Some(pause) = pause else {
                return Err(error);
            };
            time::sleep(pause).await;
            tried += 1;
        }
    }

    /// Writes a key if it has the expected revision. The write is not retried: after
    /// [`Error::Unknown`], read the key to find out whether it took effect.
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

    /// Waits until a key's revision is above `above`, at most for [`Options::watch`], and returns
    /// the entry. A watch that fails or is not answered is followed by a read over the connection
    /// for calls, as the change that it would have reported may have been lost.
    ///
    /// Stale answers are returned as well. A platform that was restored from a backup continues
    /// from older revisions, and a watcher that rejected them would miss every later change.
    /// Callers compare versions in the values instead, and pass the revision of this answer to the
    /// next watch.
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
        match self.call(&self.watches, wait, Kind::Read, call).await {
            Ok(answer) => answer.entry().ok_or(Error::Malformed),
            Err(_) => self.retry(async || self.read(key).await).await,
        }
    }

    /// Requests a lease.
    ///
    /// # Errors
    /// After [`Error::Unknown`] a lease may exist; it expires by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.write(Call::Grant { ttl }, Answer::granted).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// [`Refusal::LeaseGone`] if it has expired: another client may hold what it protected.
    pub async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.write(Call::KeepAlive { lease }, Answer::done).await
    }

    /// Revokes a lease.
    ///
    /// # Errors
    /// After any error the lease may still exist; it expires by itself.
    pub async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.write(Call::Revoke { lease }, Answer::done).await
    }

    /// The platform's list of VMs, which is updated with a delay.
    ///
    /// # Errors
    /// When the call fails; it is not retried.
    pub async fn machines(&self) -> Result<Vec<Machine>, Error> {
        self.read_call(Call::Machines, Answer::machines).await
    }

    /// Reads all items whose keys begin with `prefix`, page by page. The pages are not a consistent
    /// snapshot: [`Client::changes`] after [`Range::complete_to`] returns what changed while they were
    /// read, and what those that were read from a lagging replica lack.
    ///
    /// # Errors
    /// When every attempt to read a page has failed, or the platform does not offer the call.
    pub async fn range(&self, prefix: &Arc<str>, consistency: Consistency) -> Result<Range, Error> {
        let (mut range, mut after) = (Range::default(), None);
        loop {
            let page = self.page(prefix, after, consistency).await?;
            after = range.push(page, consistency);
            if after.is_none() {
                return Ok(range);
            }
        }
    }

    /// Reads one page of the items whose keys begin with `prefix`: those after the key `after`, or the
    /// first ones.
    ///
    /// Of a linearizable read, only the first page counts towards [`Options::rate`]. The pages are read one
    /// after the other, which limits their rate as well, and with thousands of items the limit would
    /// delay the read by seconds. Serializable reads are what many clients make when they start at once.
    ///
    /// # Errors
    /// When every attempt has failed, or the platform does not offer the call.
    pub async fn page(
        &self,
        prefix: &Arc<str>,
        after: Option<Arc<str>>,
        consistency: Consistency,
    ) -> Result<Page, Error> {
        let counts = after.is_none() || consistency == Consistency::Serializable;
        self.retry(async || {
            if counts {
                self.wait_for_token().await?;
            }
            let (prefix, after) = (Arc::clone(prefix), after.clone());
            let call = Call::Range {
                prefix,
                after,
                consistency,
            };
            let wait = self.options.deadline;
            let answer = self.execute(&self.calls, wait, Kind::Read, call).await?;
            answer.page().ok_or(Error::Malformed)
        })
        .await
    }

    /// Waits until a key that begins with `prefix` changes after the revision `after`, at most for
    /// `wait`, and returns the changes. The call is not retried, as the caller decides how to go on
    /// after a failure.
    ///
    /// # Errors
    /// [`Error::HistoryGone`] when the store no longer holds that revision: call
    /// [`Client::range`] again.
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
        let answer = self.call(&self.watches, wait, Kind::Read, call).await?;
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
        extract: impl FnOnce(Answer) -> Option<Result<T, Refusal>>,
    ) -> Result<T, Error> {
        let wait = self.options.deadline;
        let answer = self.call(&self.calls, wait, Kind::Write, call).await?;
        extract(answer)
            .ok_or(Error::Malformed)?
            .map_err(Error::Refused)
    }

    async fn read_call<T>(
        &self,
        call: Call,
        extract: impl FnOnce(Answer) -> Option<T>,
    ) -> Result<T, Error> {
        let wait = self.options.deadline;
        let answer = self.call(&self.calls, wait, Kind::Read, call).await?;
        extract(answer).ok_or(Error::Malformed)
    }

    /// Waits for the rate limit and makes one call over the slot's connection.
    async fn call(
        &self,
        slot: &Slot,
        wait: Duration,
        kind: Kind,
        call: Call,
    ) -> Result<Answer, Error> {
        self.wait_for_token().await?;
        self.execute(slot, wait, kind, call).await
    }

    /// Makes one call over the slot's connection. A connection that has broken or gone silent is
    /// discarded; the next call opens a new one.
    async fn execute(
        &self,
        slot: &Slot,
        wait: Duration,
        kind: Kind,
        call: Call,
    ) -> Result<Answer, Error> {
        let deadline = Instant::now() + wait;
        let opening = slot.get_or_open(&self.transport, self.address, self.start);
        let open = time::timeout_at(
            deadline.min(Instant::now() + self.options.deadline),
            opening,
        )
        .await
        .map_err(|_| Error::Unreachable)?
        .map_err(|_| Error::Unreachable)?;
        self.made.fetch_add(1, Ordering::Relaxed);
        let sent = self.start.elapsed();
        let end = deadline + self.transport.transfer();
        let answer = time::timeout_at(end, open.call(call, deadline)).await;
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
            Ok(Err(Failure::TooLong(limit))) => {
                self.discard(slot, &open, "answer too long");
                return Err(Error::TooLong { limit });
            }
            Ok(Err(Failure::Deadline)) | Err(_) => self.discard(slot, &open, "silent"),
        }
        Err(match kind {
            Kind::Read => Error::Timeout,
            Kind::Write => Error::Unknown,
        })
    }

    /// Discards a connection and logs it: a rising rate of this event points to a faulty network
    /// path.
    fn discard(&self, slot: &Slot, open: &Arc<slot::Open>, reason: &str) {
        let address = self.address;
        log::warn!("event=platform-connection-replaced address={address} reason={reason:?}");
        slot.discard(open);
    }

    /// Waits for the rate limit, at most for the deadline of a call.
    async fn wait_for_token(&self) -> Result<(), Error> {
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

    /// Ignores poisoning of the lock: each change under it is a single step, so the state is
    /// consistent after a panic.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
