//! Reports metrics to a statsd server over UDP. Their names are listed in docs/METRICS.md.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    time::Duration,
};

use acacia_kernel::BoxError;
use acacia_peer::Stats;
use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::{
    admin::{self, Published},
    counter::{Counter, KINDS},
};

/// Interval between reports.
pub const PERIOD: Duration = Duration::from_secs(10);
/// Prefix of every metric's name, followed by the balancer's number.
pub const PREFIX: &str = "acaciatrack";

/// Bytes of control messages, excluding TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Sent to peers.
    pub sent: u64,
    /// Received from peers and accepted.
    pub received: u64,
}

/// Sums the bytes of control messages over all peers. A peer's counters restart at zero when its
/// connection is set up again, which doesn't lower the sum.
#[derive(Debug, Default)]
pub struct Meter {
    last: BTreeMap<u16, Traffic>,
    total: Traffic,
}

impl Meter {
    /// Adds what has been sent and received since the previous call, and returns the total.
    ///
    /// ```
    /// use acacia_peer::Stats;
    /// let stats = |sent_bytes| {
    ///     let peer = acacia_peer::Traffic { sent_bytes, ..acacia_peer::Traffic::default() };
    ///     Stats { peers: [(1, peer)].into(), ..Stats::default() }
    /// };
    /// let mut meter = acacia_node::metrics::Meter::default();
    /// meter.read(&stats(50));
    /// assert_eq!(meter.read(&Stats::default()).sent, 50);
    /// assert_eq!(meter.read(&stats(20)).sent, 70);
    /// ```
    pub fn read(&mut self, stats: &Stats) -> Traffic {
        let mut last = BTreeMap::new();
        for (id, peer) in &stats.peers {
            let now = Traffic {
                sent: peer.sent_bytes,
                received: peer.received_bytes,
            };
            let before = self.last.get(id).copied().unwrap_or_default();
            self.total.sent += increase(before.sent, now.sent);
            self.total.received += increase(before.received, now.received);
            last.insert(*id, now);
        }
        self.last = last;
        self.total
    }
}

/// Returns the increase of a counter that may have restarted at zero in between.
fn increase(before: u64, now: u64) -> u64 {
    now.checked_sub(before).unwrap_or(now)
}

/// Sends reports, and keeps the values of the previous one to report differences.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    counts: BTreeMap<&'static str, u64>,
    traffic: Traffic,
}

/// Sends metrics until the other end of `stop` is dropped.
pub fn run(
    to: SocketAddrV4,
    id: u16,
    published: &Published,
    counter: &Counter,
    stop: &Receiver<()>,
) -> Result<(), BoxError> {
    let mut reporter = Reporter::open(to, id)?;
    while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(PERIOD) {
        reporter.report(&published.load(), counter);
    }
    Ok(())
}

impl Reporter {
    /// Creates a reporter for balancer `id` that sends to the statsd server at `to`.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn open(to: SocketAddrV4, id: u16) -> Result<Self, BoxError> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        // If the send buffer is full, the report is lost; blocking would delay the shutdown.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(to, socket)?;
        Ok(Reporter {
            client: StatsdClient::from_sink(&format!("{PREFIX}.{id}"), sink),
            counts: BTreeMap::new(),
            traffic: Traffic::default(),
        })
    }

    /// Reports changes since the previous report, which was sent [`PERIOD`] ago. Errors are
    /// ignored: UDP may lose any report, and nothing depends on a single one.
    pub fn report(&mut self, snapshot: &admin::Status, counter: &Counter) {
        self.counts(snapshot, counter);
        self.gauges(snapshot);
        let _ = self.client.flush();
    }

    fn counts(&mut self, snapshot: &admin::Status, counter: &Counter) {
        let kinds = KINDS.iter().map(|(kind, name)| (*name, counter.of(*kind)));
        let codes = counter.codes();
        let codes = codes.iter().map(|(code, count)| (code.label(), *count));
        let mut counts = snapshot.mesh.counts();
        for (name, count) in kinds.chain(codes) {
            *counts.entry(name).or_default() += count;
        }
        for (name, count) in counts {
            let before = self.counts.insert(name, count).unwrap_or(0);
            if count > before {
                let delta = i64::try_from(count - before).unwrap_or(i64::MAX);
                let _ = self.client.count(name, delta);
            }
        }
    }

    fn gauges(&mut self, snapshot: &admin::Status) {
        let status = &snapshot.status;
        let fresh = |age: Option<u64>| age.is_some_and(|ms| ms <= PERIOD.as_millis() as u64);
        let heard = status.peers.iter().filter(|peer| fresh(peer.heard_ms));
        let table = status.services.iter().map(|service| service.table).max();
        let (now, before) = (snapshot.traffic, self.traffic);
        let per_second = |now: u64, before: u64| now.saturating_sub(before) / PERIOD.as_secs();
        let gauges = [
            ("revision", status.revision.unwrap_or(0)),
            ("table_version", table.unwrap_or(0)),
            ("peers_heard", heard.count() as u64),
            ("pins", status.pins),
            ("control_sent_per_second", per_second(now.sent, before.sent)),
            (
                "control_received_per_second",
                per_second(now.received, before.received),
            ),
        ];
        for (name, value) in gauges {
            let _ = self.client.gauge(name, value);
        }
        self.traffic = now;
    }
}
