//! The state that all balancers must agree on: the configuration and the bucket tables, fetched
//! from the platform's store or from peers. This module does no I/O; it returns the [`Call`]s to be
//! made by the platform thread and the requests to be sent to peers.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_config::document::Document as Config;
use acacia_flow::{control::Tables, snapshot::Address};
use acacia_member::{State, View};
use acacia_rollout::{Action, ActiveConfig, Event, Options, Peer, Rollout, Version, WATCHERS};
use acacia_tables::{
    Document, tables,
    writer::{self, Moment, Writer},
};
use acacia_wire::collections::Map;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use super::table_fetch::Fetcher;
use crate::{clock::millis, settings::Settings};

/// Maximum pause after a watch of the tables failed. The pause is random: all watchers lose the
/// store at the same moment, and would keep it down if they all reconnected at once.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a watch without a result is taken for lost. The client ends every watch within
/// 7 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Watch the configuration's key. Replaces a pending watch of it.
    WatchConfig {
        /// The watch ends when the key's revision is higher than this.
        above: u64,
    },
    /// Watch the tables' key. Replaces a pending watch of it.
    WatchTables {
        /// The watch ends when the key's revision is higher than this.
        above: u64,
    },
    /// Read the tables' key.
    ReadTables,
    /// Write the tables' key with compare-and-swap.
    WriteTables {
        /// The revision that the key must have for the write to succeed.
        expected: u64,
        /// The value to write.
        text: Arc<str>,
    },
}

/// The store's entry for the tables' key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key's revision.
    pub revision: u64,
    /// The value, if any.
    pub value: Option<Arc<str>>,
}

/// A request to be sent to a peer, by the peer's number.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Request the configuration in force.
    Config(u16),
    /// Request the tables in force.
    Tables(u16),
}

/// Actions that result from an event.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Calls to make to the platform.
    pub platform_calls: Vec<Call>,
    /// Requests to send to peers.
    pub peer_requests: Vec<Request>,
    /// Whether new tables have come into force.
    pub tables: bool,
}

/// This balancer's state of the configuration and the tables.
#[derive(Debug)]
pub struct Agreement {
    rollout: Rollout,
    writer: Writer,
    table_fetcher: Fetcher,
    watch: Watch,
    random: Pcg64,
    id: u16,
    data_centre: Arc<str>,
    is_watcher: bool,
}

/// State of the watch of the tables' key.
#[derive(Debug, Default)]
struct Watch {
    above: u64,
    since: Option<Duration>,
    not_before: Duration,
}

impl Agreement {
    /// Creates the state of a balancer that has just started.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64, now: Duration) -> Self {
        let me = Peer {
            id: settings.id,
            data_centre: Arc::clone(&settings.data_centre),
        };
        Agreement {
            rollout: Rollout::new(Options { me, seed }, now),
            writer: Writer::new(millis(now)),
            table_fetcher: Fetcher::default(),
            watch: Watch::default(),
            random: Pcg64::seed_from_u64(seed),
            id: settings.id,
            data_centre: Arc::clone(&settings.data_centre),
            is_watcher: false,
        }
    }

    /// Returns the configuration in force, as a document.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.rollout.active().map(|held| &held.document)
    }

    /// Returns the configuration in force, decoded.
    #[must_use]
    pub fn held(&self) -> Option<&ActiveConfig> {
        self.rollout.active()
    }

    /// Returns the version of the configuration in force, for heartbeats.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.rollout.version()
    }

    /// Returns the tables in force.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.writer.current()
    }

    /// Returns the tables in force in the format of flow resolution, and the addresses of their
    /// servers.
    #[must_use]
    pub fn tables(&self) -> (Tables, Map<(Address, u16), SocketAddrV4>) {
        let Some(document) = self.document() else {
            return (Tables::default(), Map::default());
        };
        let servers = document.services.iter().flat_map(|service| {
            service
                .servers
                .iter()
                .filter_map(|server| match server.address {
                    std::net::SocketAddr::V4(at) => Some(((service.address, server.number), at)),
                    std::net::SocketAddr::V6(_) => None,
                })
        });
        (tables(document), servers.collect())
    }

    /// Returns whether this balancer may serve: it has queried the store and its peers, and has the
    /// latest configuration and tables that any of them has reported.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.rollout.is_ready() && self.document().is_some() && !self.table_fetcher.is_behind()
    }

    /// Sets the measured weights of backend servers, by name.
    pub fn set_weights(&mut self, weights: Map<Arc<str>, u32>) {
        self.writer.set_weights(weights);
    }

    /// Handles a possible change of the group.
    pub fn saw_view(&mut self, now: Duration, view: &View) -> Outcome {
        let peers = view
            .members
            .iter()
            .filter(|member| member.state.is_heard())
            .filter_map(|member| {
                Some(Peer {
                    id: member.id,
                    data_centre: member.data_centre.clone()?,
                })
            })
            .collect();
        let rank = view.ready().position(|id| id == self.id);
        self.writer
            .set_rank(rank.and_then(|rank| u16::try_from(rank).ok()));
        self.is_watcher = self.ranks_as_watcher(view);
        self.table_fetcher.saw_view(view);
        self.step_rollout(now, Event::View(peers))
    }

    /// Handles the versions in a heartbeat of `peer`.
    pub fn heard(
        &mut self,
        now: Duration,
        peer: u16,
        config: Option<Version>,
        tables: u64,
    ) -> Outcome {
        self.table_fetcher.heard(peer, tables);
        self.step_rollout(
            now,
            Event::Heartbeat {
                peer,
                version: config,
            },
        )
    }

    /// Handles the result of [`Call::WatchConfig`]; `None` if the store could not be reached.
    pub fn saw_config(&mut self, now: Duration, answer: Option<acacia_rollout::Entry>) -> Outcome {
        self.step_rollout(now, Event::WatchEnded(answer))
    }

    /// Handles a peer's answer to [`Request::Config`].
    pub fn fetched_config(
        &mut self,
        now: Duration,
        peer: u16,
        document: Option<Arc<Config>>,
    ) -> Outcome {
        self.step_rollout(now, Event::Fetched { peer, document })
    }

    /// Handles the result of [`Call::WatchTables`]; `None` if the store could not be reached.
    pub fn saw_tables(&mut self, now: Duration, entry: Option<Entry>) -> Outcome {
        self.watch.since = None;
        match &entry {
            Some(entry) => self.watch.above = entry.revision,
            None => {
                let pause = MAX_WATCH_BACKOFF.mul_f64(self.random.random::<f64>());
                self.watch.not_before = now + pause;
            }
        }
        self.take_entry(now, entry.as_ref())
    }

    /// Handles the result of [`Call::ReadTables`]; `None` if the store could not be reached.
    pub fn read_tables(&mut self, now: Duration, entry: Option<Entry>) -> Outcome {
        let mut outcome = self.take_entry(now, entry.as_ref());
        let answer = match entry {
            Some(_) => writer::Answer::Read,
            None => writer::Answer::Unreached,
        };
        outcome.tables |= self.writer.answered(answer, millis(now));
        outcome
    }

    /// Handles the result of [`Call::WriteTables`].
    pub fn wrote_tables(&mut self, now: Duration, answer: writer::Answer) -> Outcome {
        let tables = self.writer.answered(answer, millis(now));
        Outcome {
            tables,
            ..Outcome::default()
        }
    }

    /// Handles a peer's answer to [`Request::Tables`]. The error is the code for tables that
    /// can't be decoded.
    pub fn fetched_tables(
        &mut self,
        now: Duration,
        peer: u16,
        text: Option<&str>,
    ) -> Result<Outcome, Code> {
        self.table_fetcher.ended(peer);
        let Some(text) = text else {
            return Ok(Outcome::default());
        };
        let document = Document::decode(text).map_err(|error| error.code())?;
        let tables = self.writer.saw_tables(Arc::new(document), millis(now));
        Ok(Outcome {
            tables,
            ..Outcome::default()
        })
    }

    /// Runs the timers and starts calls and requests that are due. `is_known` returns whether every
    /// balancer has the tables of a version.
    pub fn tick(
        &mut self,
        now: Duration,
        unix: Duration,
        is_known: &dyn Fn(u64) -> bool,
    ) -> Outcome {
        let mut outcome = self.step_rollout(now, Event::Tick);
        self.watch_tables(now, &mut outcome);
        let version = self.document().map_or(0, |document| document.version);
        if let Some(peer) = self.table_fetcher.fetch(now, version) {
            outcome.peer_requests.push(Request::Tables(peer));
        }
        let moment = Moment {
            monotonic: millis(now),
            unix: unix.as_secs(),
        };
        match self.writer.step(moment, is_known) {
            Ok(writer::Action::Idle) => {}
            Ok(writer::Action::Read) => outcome.platform_calls.push(Call::ReadTables),
            Ok(writer::Action::Write { expected, document }) => {
                self.write(now, expected, &document, &mut outcome);
            }
            Err(error) => log::error!("event=tables-not-made code={}", error.code()),
        }
        outcome
    }

    fn write(&mut self, now: Duration, expected: u64, document: &Document, out: &mut Outcome) {
        match document.encode() {
            Ok(text) => out.platform_calls.push(Call::WriteTables {
                expected,
                text: text.into(),
            }),
            Err(error) => {
                log::error!("event=tables-not-made code={}", error.code());
                self.writer.answered(writer::Answer::Unreached, millis(now));
            }
        }
    }

    fn watch_tables(&mut self, now: Duration, outcome: &mut Outcome) {
        let is_pending = self
            .watch
            .since
            .is_some_and(|since| now < since + WATCH_TIMEOUT);
        // A balancer that has no tables yet watches the key whatever its rank.
        let wanted = self.is_watcher || self.document().is_none();
        if wanted && !is_pending && now >= self.watch.not_before {
            self.watch.since = Some(now);
            outcome.platform_calls.push(Call::WatchTables {
                above: self.watch.above,
            });
        }
    }

    fn take_entry(&mut self, now: Duration, entry: Option<&Entry>) -> Outcome {
        let Some(entry) = entry else {
            return Outcome::default();
        };
        let seen = self
            .writer
            .saw_store(entry.revision, entry.value.as_deref(), millis(now));
        let tables = seen.unwrap_or_else(|error| {
            log::error!(
                "event=tables-unreadable code={} error=\"{error}\"",
                error.code()
            );
            false
        });
        Outcome {
            tables,
            ..Outcome::default()
        }
    }

    fn step_rollout(&mut self, now: Duration, event: Event) -> Outcome {
        let mut outcome = Outcome::default();
        for action in self.rollout.step(now, event) {
            match action {
                Action::Watch { above } => outcome.platform_calls.push(Call::WatchConfig { above }),
                Action::Fetch { peer } => outcome.peer_requests.push(Request::Config(peer)),
                Action::Enforce(held) => {
                    log::info!("event=config-in-force revision={}", held.document.revision);
                    self.writer.saw_config(held.document);
                }
                Action::Ready => log::info!("event=config-complete"),
                Action::Reject(version) => {
                    let code = Code::ConfigInvalid;
                    log::error!("event=config-refused version=\"{version:?}\" code={code}");
                }
            }
        }
        outcome
    }

    /// Returns whether this balancer is one of those that watch the store. Only the [`WATCHERS`]
    /// balancers with the lowest numbers in each data centre do, so that the calls to the store
    /// don't grow with the number of balancers.
    fn ranks_as_watcher(&self, view: &View) -> bool {
        let before = view.members.iter().filter(|member| {
            let here = member.data_centre.as_ref() == Some(&self.data_centre);
            here && member.id < self.id && !matches!(member.state, State::Dead | State::Unheard)
        });
        before.count() < WATCHERS
    }
}
