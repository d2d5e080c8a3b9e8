//! Metrics in the usual exposition format. Packets are counted once, by [`Counter`]; what it holds
//! is read when somebody asks. Names are listed in docs/METRICS.md.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicI64, AtomicU64},
    },
    time::{Duration, Instant},
};

use acacia_accept::Limiter;
use acacia_cookie::{Snapshot, Timing, cookie::Cookie};
use acacia_platform::Error;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{
        counter::Counter as Metric,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use super::core::Summary;
use crate::counter::{Counter, KINDS};

/// What a time belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Place {
    service: String,
    server: String,
}

/// A call of the store and how it ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    call: Call,
    outcome: String,
}

/// A kind of event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Event {
    kind: String,
}

/// A listener and why it closed connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Closed {
    port: String,
    how: String,
}

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Call {
    /// A whole reading.
    Range,
    /// A watch, or a look at what has changed.
    Watch,
}

/// Buckets of a histogram: 1 ms, doubling, to 2 s, which is longer than callers wait.
const BUCKETS: u16 = 12;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, BUCKETS))
}

type Times = Family<Place, Histogram, fn() -> Histogram>;

/// What is measured here and nowhere else.
#[derive(Debug)]
pub struct Meters {
    opening: Times,
    answer: Times,
    calls: Family<Ended, Metric>,
    start: Instant,
    ready: OnceLock<Duration>,
}

impl Default for Meters {
    fn default() -> Self {
        Meters {
            opening: Family::new_with_constructor(histogram),
            answer: Family::new_with_constructor(histogram),
            calls: Family::default(),
            start: Instant::now(),
            ready: OnceLock::new(),
        }
    }
}

impl Meters {
    /// Takes in a time that packets have shown.
    pub fn time(&self, timing: &Timing, snapshot: &Snapshot) {
        let (times, server, took) = match timing {
            Timing::Opening { server, took } => (&self.opening, server, took),
            Timing::Answer { server, took } => (&self.answer, server, took),
        };
        let found = snapshot.server(Cookie::of(server, 0));
        let place = Place {
            service: found.map_or_else(String::new, |server| server.service.to_string()),
            server: server.to_string(),
        };
        times.get_or_create(&place).observe(took.as_secs_f64());
    }

    /// A call of the store has ended.
    pub fn called(&self, call: Call, error: Option<&Error>) {
        let outcome = error
            .map_or("answered", |error| error.code().label())
            .to_owned();
        self.calls.get_or_create(&Ended { call, outcome }).inc();
    }

    /// The balancer has become ready; gives how long after its start.
    pub fn became_ready(&self) -> Duration {
        *self.ready.get_or_init(|| self.start.elapsed())
    }

    /// All metrics as text.
    ///
    /// ```
    /// use acacia_node::{cookie::{core::Summary, meters::Meters}, counter::Counter};
    /// let text = Meters::default().text(&Counter::default(), &Summary::default(), &[]);
    /// assert!(text.contains("acaciatrack_peers 0"));
    /// ```
    #[must_use]
    pub fn text(&self, counter: &Counter, standing: &Summary, listeners: &[&Limiter]) -> String {
        let mut registry = Registry::with_prefix("acaciatrack");
        registry.register(
            "opening_seconds",
            "From an opening to the caller's next packet",
            self.opening.clone(),
        );
        registry.register(
            "answer_seconds",
            "From a caller's data to the first acknowledgement of the answer",
            self.answer.clone(),
        );
        registry.register("store_calls", "Calls to the store", self.calls.clone());
        registry.register(
            "packets",
            "Packets by what was done with them",
            packets(counter),
        );
        registry.register("codes", "Events by numbered code", codes(counter));
        registry.register(
            "connections_closed",
            "Connections closed by the listener's limits",
            connections(listeners),
        );
        for (name, help, value) in self.gauges(standing) {
            let gauge = Gauge::<i64, AtomicI64>::default();
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            registry.register(name, help, gauge);
        }
        let mut text = String::new();
        // Writing into a string fails only where a metric's own encoder does.
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("event=metrics-unencoded error=\"{error}\"");
        }
        text
    }

    fn gauges(&self, standing: &Summary) -> [(&'static str, &'static str, u128); 8] {
        let ready = self.ready.get().map_or(0, Duration::as_millis);
        let age = standing.age.map_or(0, |age| age.as_millis());
        [
            (
                "config_version",
                "Operators' number of the configuration in force",
                standing.version.into(),
            ),
            (
                "store_revision",
                "Revision of the store up to which everything is known",
                standing.revision.into(),
            ),
            (
                "store_age_milliseconds",
                "How long ago that was the store's newest",
                age,
            ),
            ("peers", "Other balancers known", standing.peers as u128),
            (
                "servers_silent",
                "Backend servers found silent",
                standing.silent as u128,
            ),
            (
                "evacuations",
                "Data centres under evacuation",
                standing.evacuations.len() as u128,
            ),
            (
                "reads_for_others",
                "Whether this balancer watches the store for the others",
                u128::from(standing.reads),
            ),
            (
                "ready_milliseconds",
                "From the start to the first readiness",
                ready,
            ),
        ]
    }
}

fn connections(listeners: &[&Limiter]) -> Family<Closed, Metric<u64, AtomicU64>> {
    let family = Family::<Closed, Metric<u64, AtomicU64>>::default();
    for listener in listeners {
        for (name, count) in listener.stats().closed() {
            let closed = Closed {
                port: listener.name().to_owned(),
                how: name.to_owned(),
            };
            family.get_or_create(&closed).inc_by(count);
        }
    }
    family
}

fn packets(counter: &Counter) -> Family<Event, Metric<u64, AtomicU64>> {
    let family = Family::<Event, Metric<u64, AtomicU64>>::default();
    for (kind, name) in KINDS {
        let event = Event {
            kind: (*name).to_owned(),
        };
        family.get_or_create(&event).inc_by(counter.of(*kind));
    }
    family
}

fn codes(counter: &Counter) -> Family<Event, Metric<u64, AtomicU64>> {
    let family = Family::<Event, Metric<u64, AtomicU64>>::default();
    for (code, count) in counter.codes() {
        let event = Event {
            kind: code.label().to_owned(),
        };
        family.get_or_create(&event).inc_by(count);
    }
    family
}
