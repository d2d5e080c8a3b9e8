//! A simulated store with a limited link, and the calls that balancers make to it.
//!
//! Calls are answered one after the other, each after the time that its answer takes on the link, also those
//! that their caller has given up.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{Change, spread::Action};
use acacia_node::cookie::core::Page;

use super::fixture::{Fleet, ms};

/// Time until a call without an answer has failed, and how often a read of a page is tried.
const TIMEOUT: Duration = Duration::from_secs(1);
const TRIES: u32 = 3;
/// Limits on one balancer's calls: how many a second, and how many at once.
const CALLS_PER_SECOND: f64 = 5.0;
const BURST: f64 = 10.0;
/// Round-trip time to the store.
const ROUND_TRIP: Duration = Duration::from_millis(4);
const STEP: Duration = Duration::from_millis(10);

/// Prefixes of the keys of this store: the operators' come before those of servers.
const OPERATORS: &str = "a/";
const SERVERS: &str = "b/";

fn key(change: &Change) -> Arc<str> {
    match change {
        Change::Config { .. } | Change::Patch { .. } => format!("{OPERATORS}config").into(),
        Change::Evacuation { data_centre, .. } => {
            format!("{OPERATORS}evacuation/{data_centre}").into()
        }
        Change::Server { id, .. } => format!("{SERVERS}{id}").into(),
    }
}

/// Whether a change leaves no entry in the store.
fn is_removal(change: &Change) -> bool {
    matches!(
        change,
        Change::Server { server: None, .. } | Change::Evacuation { stands: false, .. }
    )
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// Waits at most this long for changes after a revision.
    Watch { after: u64, wait: Duration },
    /// A page of all entries.
    All,
    /// The operators' entries.
    Operators,
    /// A page of the servers' entries.
    Servers,
    /// The changes of servers' entries after a revision.
    ServerChanges { after: u64 },
}

#[derive(Debug, Clone)]
struct Pending {
    call: Call,
    /// The key after which a page begins.
    after: Option<Arc<str>>,
    number: u64,
    sent: Duration,
    tries: u32,
}

enum Answer {
    Changes(Vec<Change>, u64),
    Page(Page, u64),
    HistoryGone,
    /// It holds more changes than can be read.
    TooLong,
}

/// The store.
pub struct Store {
    entries: BTreeMap<Arc<str>, Change>,
    history: Vec<Change>,
    revision: u64,
    dropped: u64,
    /// Number of changes from which an answer with changes of the operators is too long to be read.
    too_long: usize,
    page_size: usize,
    /// Time that a page takes on the link.
    page_time: Duration,
    /// Calls to be answered, with their callers and the time at which they arrive.
    calls: VecDeque<(Duration, SocketAddrV4, Pending)>,
    busy_until: Duration,
    /// Watches are told nothing until then.
    deaf_until: Duration,
    /// Calls that are made before are not answered.
    silent_until: Duration,
    /// Calls made so far, of pages and of others.
    pub pages: usize,
    pub others: usize,
}

impl Store {
    pub fn new(entries: Vec<Change>, revision: u64, page_size: usize, page_time: Duration) -> Self {
        Store {
            entries: entries
                .into_iter()
                .map(|entry| (key(&entry), entry))
                .collect(),
            history: Vec::new(),
            revision,
            dropped: 0,
            too_long: usize::MAX,
            page_size,
            page_time,
            calls: VecDeque::new(),
            busy_until: Duration::ZERO,
            deaf_until: Duration::ZERO,
            silent_until: Duration::ZERO,
            pages: 0,
            others: 0,
        }
    }

    /// Writes an entry; `change` takes the write's revision.
    pub fn write(&mut self, change: impl FnOnce(u64) -> Change) -> u64 {
        self.revision += 1;
        let change = change(self.revision);
        match is_removal(&change) {
            true => self.entries.remove(&key(&change)),
            false => self.entries.insert(key(&change), change.clone()),
        };
        self.history.push(change);
        self.revision
    }

    /// Tells watches nothing until `until`.
    pub fn set_deaf(&mut self, until: Duration) {
        self.deaf_until = until;
    }

    /// Answers no call that is made before `until`.
    pub fn set_silent(&mut self, until: Duration) {
        self.silent_until = until;
    }

    /// Sets the number of changes from which an answer with changes of the operators is too long to be read.
    pub fn set_too_long(&mut self, changes: usize) {
        self.too_long = changes;
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.dropped = self.revision;
        self.history.clear();
    }

    fn page(&self, prefix: &str, after: Option<&Arc<str>>, size: usize) -> Page {
        let later = |key: &Arc<str>| after.is_none_or(|after| key > after);
        let mut entries = self.entries.iter();
        let mut entries = entries
            .by_ref()
            .filter(|(key, _)| key.starts_with(prefix) && later(key));
        let page: Vec<(&Arc<str>, &Change)> = entries.by_ref().take(size).collect();
        let more = entries.next().is_some();
        Page {
            next: page.last().map(|(key, _)| Arc::clone(key)).filter(|_| more),
            entries: page.into_iter().map(|(_, entry)| entry.clone()).collect(),
        }
    }

    /// The answer to a call at `now`; `None` if a watch goes on waiting.
    fn answer(&self, pending: &Pending, now: Duration) -> Option<Answer> {
        let page = |prefix, size| {
            Answer::Page(
                self.page(prefix, pending.after.as_ref(), size),
                self.revision,
            )
        };
        match pending.call {
            Call::All => Some(page("", self.page_size)),
            Call::Operators => Some(page(OPERATORS, usize::MAX)),
            Call::Servers => Some(page(SERVERS, self.page_size)),
            Call::ServerChanges { after } if after < self.dropped => Some(Answer::HistoryGone),
            Call::ServerChanges { after } => {
                let is_later = |change: &&Change| {
                    let is_server = matches!(change, Change::Server { .. });
                    is_server && change.revision() > after
                };
                let changes = self.history.iter().filter(is_later).cloned().collect();
                Some(Answer::Changes(changes, self.revision))
            }
            Call::Watch { .. } if now < self.deaf_until => None,
            Call::Watch { after, .. } if after < self.dropped => Some(Answer::HistoryGone),
            Call::Watch { after, wait } => {
                let later = self
                    .history
                    .iter()
                    .filter(|change| change.revision() > after);
                let changes: Vec<Change> = later.cloned().collect();
                let is_server = |change: &Change| matches!(change, Change::Server { .. });
                if changes.len() >= self.too_long && !changes.iter().all(is_server) {
                    return Some(Answer::TooLong);
                }
                let is_due = !changes.is_empty() || now >= pending.sent + wait;
                is_due.then_some(Answer::Changes(changes, self.revision))
            }
        }
    }

    /// The answers that are sent by `now`, with their receivers.
    fn answers(&mut self, now: Duration) -> Vec<(SocketAddrV4, Pending, Answer)> {
        let mut sent = Vec::new();
        let mut waiting = VecDeque::new();
        while let Some((arrival, from, pending)) = self.calls.pop_front() {
            let is_page = matches!(pending.call, Call::All | Call::Servers);
            let begin = self.busy_until.max(arrival);
            let end = begin
                + if is_page {
                    self.page_time
                } else {
                    Duration::ZERO
                };
            if end > now {
                waiting.push_back((arrival, from, pending));
                continue;
            }
            match self.answer(&pending, now) {
                Some(answer) => {
                    self.busy_until = end;
                    sent.push((from, pending, answer));
                }
                None => waiting.push_back((arrival, from, pending)),
            }
        }
        self.calls = waiting;
        sent
    }
}

/// The calls of one balancer.
#[derive(Debug, Default)]
struct Client {
    /// The call of a watch, and that of a page or another read.
    watch: Option<Pending>,
    read: Option<Pending>,
    /// The entries of a read of everything so far, and the revision of its first page.
    all: Vec<Change>,
    all_revision: Option<u64>,
    /// The changes of servers, while the operators' entries are still to be read: with their revision, and
    /// when they were asked for.
    caught_up: Option<(Vec<Change>, u64, Duration)>,
    /// Whether the servers' entries are being read, and changes followed meanwhile.
    reads_servers: bool,
    tokens: f64,
    /// Earliest time of the next watch.
    paused: Duration,
}

/// A fleet whose balancers read a store.
pub struct Deployment {
    pub fleet: Fleet,
    pub store: Store,
    clients: BTreeMap<SocketAddrV4, Client>,
    calls: u64,
    /// The watches whose answers were too long: who asked, and after which revision.
    pub overlong: Vec<(SocketAddrV4, u64)>,
}

impl Deployment {
    pub fn new(fleet: Fleet, store: Store) -> Self {
        let clients = fleet.cores.keys().map(|address| {
            let client = Client {
                tokens: BURST,
                ..Client::default()
            };
            (*address, client)
        });
        Deployment {
            clients: clients.collect(),
            fleet,
            store,
            calls: 0,
            overlong: Vec::new(),
        }
    }

    /// Starts balancer `number`, which knows nothing, in data centre `centre`.
    pub fn join(&mut self, number: u8, centre: &str) -> SocketAddrV4 {
        let address = self.fleet.join(number, centre);
        let client = Client {
            tokens: BURST,
            ..Client::default()
        };
        self.clients.insert(address, client);
        address
    }

    /// Runs for `time`, with a round of gossip every half second.
    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `is_done`, at most for `limit`. Returns how long it ran.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Deployment) -> bool,
    ) -> Duration {
        let start = self.fleet.now;
        while self.fleet.now < start + limit && !is_done(self) {
            self.fleet.now += STEP;
            if self.fleet.now.as_millis().is_multiple_of(500) {
                self.fleet.gossip();
            }
            self.deliver_answers();
            for address in Vec::from_iter(self.clients.keys().copied()) {
                if !self.fleet.unreachable.contains(&address) {
                    self.expire(address);
                    self.act(address);
                }
            }
        }
        self.fleet.now - start
    }

    fn deliver_answers(&mut self) {
        let now = self.fleet.now;
        for (to, pending, answer) in self.store.answers(now) {
            let client = self.clients.get_mut(&to).expect("a client");
            let slot = match pending.call {
                Call::Watch { .. } => &mut client.watch,
                _ => &mut client.read,
            };
            let is_awaited = slot
                .as_ref()
                .is_some_and(|call| call.number == pending.number);
            if is_awaited && !self.fleet.unreachable.contains(&to) {
                *slot = None;
                self.apply(to, &pending, answer);
            }
        }
    }

    fn apply(&mut self, to: SocketAddrV4, pending: &Pending, answer: Answer) {
        let now = self.fleet.now;
        let client = self.clients.get_mut(&to).expect("a client");
        let core = self.fleet.cores.get_mut(&to).expect("a balancer");
        let outcome = match (pending.call, answer) {
            (_, Answer::HistoryGone) => {
                core.record_history_gone();
                return;
            }
            (Call::Watch { after, .. }, Answer::TooLong) => {
                self.overlong.push((to, after));
                core.record_overlong(0, now);
                return;
            }
            (_, Answer::TooLong) => return,
            (Call::ServerChanges { .. }, Answer::Changes(changes, revision)) => {
                client.caught_up = Some((changes, revision, pending.sent));
                self.call(to, Call::Operators, None, 1);
                return;
            }
            (_, Answer::Changes(changes, revision)) => {
                client.paused = now + core.timing().pause;
                // An answer without changes comes at the end of the wait.
                let fresh = match (changes.is_empty(), pending.call) {
                    (true, Call::Watch { wait, .. }) => pending.sent + wait,
                    _ => pending.sent,
                };
                core.apply_store_changes(changes, revision, fresh, now)
            }
            (Call::Operators, Answer::Page(page, at)) if client.caught_up.is_some() => {
                let (servers, revision, sent) = client.caught_up.take().expect("changes");
                core.apply_catch_up(servers, revision, page.entries, at, sent, now)
            }
            (Call::Operators, Answer::Page(page, revision)) => {
                core.begin_rebuild(page.entries, revision, pending.sent, now)
            }
            (Call::Servers, Answer::Page(page, _)) => core.apply_page(page, now),
            (_, Answer::Page(page, revision)) => {
                client.all.extend(page.entries);
                let first = *client.all_revision.get_or_insert(revision);
                if page.next.is_some() {
                    self.call(to, Call::All, page.next, 1);
                    return;
                }
                client.all_revision = None;
                core.apply_full_read(std::mem::take(&mut client.all), first, pending.sent, now)
            }
        };
        self.fleet.deliver(outcome.outgoing);
    }

    /// Gives up calls that were not answered in time.
    fn expire(&mut self, address: SocketAddrV4) {
        let now = self.fleet.now;
        let client = self.clients.get_mut(&address).expect("a client");
        let wait = |pending: &Pending| match pending.call {
            Call::Watch { wait, .. } => wait + TIMEOUT,
            _ => TIMEOUT,
        };
        let is_late = |pending: &Pending| now > pending.sent + wait(pending);
        let late_read = client.read.take_if(|pending| is_late(pending));
        let late_watch = client.watch.take_if(|pending| is_late(pending));
        if let Some(read) = &late_read
            && read.tries < TRIES
        {
            self.call(address, read.call, read.after.clone(), read.tries + 1);
            return;
        }
        if late_read.is_some() || late_watch.is_some() {
            let client = self.clients.get_mut(&address).expect("a client");
            (client.all, client.all_revision) = (Vec::new(), None);
            client.caught_up = None;
            client.reads_servers &= late_read.is_none();
            let core = self.fleet.cores.get_mut(&address).expect("a balancer");
            core.record_store_failure(&"no answer in time", now);
        }
    }

    fn act(&mut self, address: SocketAddrV4) {
        let now = self.fleet.now;
        let client = self.clients.get_mut(&address).expect("a client");
        client.tokens = (client.tokens + CALLS_PER_SECOND * STEP.as_secs_f64()).min(BURST);
        let core = self.fleet.cores.get_mut(&address).expect("a balancer");
        let watch = |wait| Call::Watch {
            after: core.followed(),
            wait,
        };
        let timing = core.timing();
        if client.read.is_some() || client.watch.is_some() {
            let pages = core.next_page();
            client.reads_servers &= pages.is_some();
            let call = watch(timing.watch_timeout);
            if client.reads_servers && client.watch.is_none() && now >= client.paused {
                self.call(address, call, None, 1);
            } else if client.reads_servers && client.read.is_none() {
                self.call(address, Call::Servers, pages.flatten(), 1);
            }
            return;
        }
        let watch_call = watch(timing.watch_timeout);
        let poll = watch(ms(1));
        match core.next_store_action(now) {
            Action::Wait(_) => {}
            Action::Watch => self.call(address, watch_call, None, 1),
            Action::Poll => self.call(address, poll, None, 1),
            Action::CatchUp => {
                let after = core.followed();
                self.call(address, Call::ServerChanges { after }, None, 1);
            }
            Action::ReadAll => self.call(address, Call::All, None, 1),
            Action::ReadOperators => self.call(address, Call::Operators, None, 1),
            Action::ReadServers => {
                let after = core.next_page().flatten();
                client.reads_servers = true;
                self.call(address, Call::Servers, after, 1);
            }
        }
    }

    fn call(&mut self, from: SocketAddrV4, call: Call, after: Option<Arc<str>>, tries: u32) {
        let client = self.clients.get_mut(&from).expect("a client");
        // A call that has to wait for the limit is sent later.
        let delay = Duration::from_secs_f64((1.0 - client.tokens).max(0.0) / CALLS_PER_SECOND);
        client.tokens -= 1.0;
        self.calls += 1;
        let sent = self.fleet.now + delay;
        let pending = Pending {
            call,
            after,
            number: self.calls,
            sent,
            tries,
        };
        match call {
            Call::Watch { .. } => client.watch = Some(pending.clone()),
            _ => client.read = Some(pending.clone()),
        }
        match call {
            Call::All | Call::Servers => self.store.pages += 1,
            Call::Watch { .. } | Call::Operators | Call::ServerChanges { .. } => {
                self.store.others += 1;
            }
        }
        if sent >= self.store.silent_until {
            let arrival = sent + ROUND_TRIP;
            self.store.calls.push_back((arrival, from, pending));
        }
    }
}
