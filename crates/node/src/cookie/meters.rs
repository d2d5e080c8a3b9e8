//! Metrics in the OpenMetrics text format. Packets are counted only by [`Counter`], whose values are
//! read at each scrape. docs/METRICS.md lists the names.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicI64, AtomicU64},
    },
    time::{Duration, Instant},
};

use acacia_accept::Limiter;
use acacia_cookie::{Snapshot, Timing};
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

use super::{core::Summary, flows::Flows};
use crate::counter::{Counter, KINDS};

/// Labels of a response time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    service: String,
    server: String,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: Call,
    outcome: String,
}

/// Labels of a service's demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DemandLabels {
    service: Arc<str>,
    data_centre: Arc<str>,
}

/// Label of a count by kind or by numbered code.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// Labels of the connections that a listener closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClosedLabels {
    port: String,
    how: String,
}

/// Type of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Call {
    /// A read of the whole store.
    Range,
    /// A watch, or a poll for changes.
    Watch,
}

/// Number of buckets of a histogram. Their bounds double from 1 ms to 2 s, which is longer than callers
/// wait.
const BUCKET_COUNT: u16 = 12;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, BUCKET_COUNT))
}

type Histograms = Family<ServerLabels, Histogram, fn() -> Histogram>;

/// Measurements that are kept for the metrics only.
#[derive(Debug)]
pub struct Meters {
    opening: Histograms,
    answer: Histograms,
    calls: Family<CallLabels, Metric>,
    /// Counts of new flows.
    pub flows: Flows,
    start: Instant,
    ready: OnceLock<Duration>,
}

impl Default for Meters {
    fn default() -> Self {
        Meters {
            opening: Family::new_with_constructor(histogram),
            answer: Family::new_with_constructor(histogram),
            calls: Family::default(),
            flows: Flows::default(),
            start: Instant::now(),
            ready: OnceLock::new(),
        }
    }
}

impl Meters {
    /// Records a response time measured on a flow.
    pub fn observe(&self, timing: &Timing, snapshot: &Snapshot) {
        let (times, server, took) = match timing {
            Timing::Opening { server, took } => (&self.opening, server, took),
            Timing::Answer { server, took } => (&self.answer, server, took),
        };
        let found = snapshot.named(server);
        let labels = ServerLabels {
            service: found.map_or_else(String::new, |server| server.service.to_string()),
            server: server.to_string(),
        };
        times.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts a call to the store that has ended, with `error` if it failed.
    pub fn record_call(&self, call: Call, error: Option<&Error>) {
        let outcome = error
            .map_or("answered", |error| error.code().label())
            .to_owned();
        self.calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Records that the balancer has become ready, and returns how long after the start that was for the
    /// first time.
    pub fn became_ready(&self) -> Duration {
        *self.ready.get_or_init(|| self.start.elapsed())
    }

    /// Returns all metrics in the text format.
    ///
    /// ```
    /// use acacia_node::{cookie::{core::Summary, meters::Meters}, counter::Counter};
    /// let text = Meters::default().text(&Counter::default(), &Summary::default(), &[]);
    /// assert!(text.contains("acaciatrack_peers 0"));
    /// ```
    #[must_use]
    pub fn text(&self, counter: &Counter, summary: &Summary, listeners: &[&Limiter]) -> String {
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
        self.flows.register(&mut registry);
        register_demand(summary, &mut registry);
        registry.register("codes", "Events by numbered code", codes(counter));
        registry.register(
            "connections_closed",
            "Connections closed by the listener's limits",
            connections(listeners),
        );
        for (name, help, value) in self.gauges(summary) {
            let gauge = Gauge::<i64, AtomicI64>::default();
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            registry.register(name, help, gauge);
        }
        let mut text = String::new();
        // Writing to a string can't fail, so an error comes from a metric's own encoder.
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("event=metrics-unencoded error=\"{error}\"");
        }
        text
    }

    fn gauges(&self, summary: &Summary) -> [(&'static str, &'static str, u128); 10] {
        let ready = self.ready.get().map_or(0, Duration::as_millis);
        let age = summary.age.map_or(0, |age| age.as_millis());
        [
            (
                "config_version",
                "Operators' number of the configuration in force",
                summary.version.into(),
            ),
            (
                "store_revision",
                "Revision of the store up to which everything is known",
                summary.revision.into(),
            ),
            (
                "store_age_milliseconds",
                "How long ago that was the store's newest",
                age,
            ),
            (
                "peers",
                "Other balancers known: the own data centre's, and representatives of the others",
                summary.peers as u128,
            ),
            (
                "fleet_balancers",
                "Balancers of the whole fleet, as representatives announced them",
                summary.fleet as u128,
            ),
            (
                "servers_silent",
                "Backend servers found silent",
                summary.silent as u128,
            ),
            (
                "data_centres_silent",
                "Data centres none of whose servers can be reached",
                summary.lost_data_centres as u128,
            ),
            (
                "evacuations",
                "Data centres under evacuation",
                summary.evacuations.len() as u128,
            ),
            (
                "reads_for_others",
                "Whether this balancer watches the store for the others",
                u128::from(summary.reads),
            ),
            (
                "ready_milliseconds",
                "From the start to the first readiness",
                ready,
            ),
        ]
    }
}

/// Registers the demand for services. A data centre without a valid report has no age.
fn register_demand(summary: &Summary, registry: &mut Registry) {
    let demand = Family::<DemandLabels, Gauge<i64, AtomicI64>>::default();
    let ages = Family::<DemandLabels, Gauge<i64, AtomicI64>>::default();
    let clamp = |value: u128| i64::try_from(value).unwrap_or(i64::MAX);
    for known in &summary.demand {
        let labels = DemandLabels {
            service: Arc::clone(&known.service),
            data_centre: Arc::clone(&known.data_centre),
        };
        let per_second = clamp(known.per_second.into());
        demand.get_or_create(&labels).set(per_second);
        if let Some(age) = known.age {
            ages.get_or_create(&labels).set(clamp(age.as_millis()));
        }
    }
    registry.register(
        "service_demand",
        "Requests and new flows per second that a data centre's callers ask for",
        demand,
    );
    registry.register(
        "service_demand_age_milliseconds",
        "Age of the report on that demand",
        ages,
    );
}

fn connections(listeners: &[&Limiter]) -> Family<ClosedLabels, Metric<u64, AtomicU64>> {
    let family = Family::<ClosedLabels, Metric<u64, AtomicU64>>::default();
    for listener in listeners {
        for (name, count) in listener.stats().closed() {
            let labels = ClosedLabels {
                port: listener.name().to_owned(),
                how: name.to_owned(),
            };
            family.get_or_create(&labels).inc_by(count);
        }
    }
    family
}

fn packets(counter: &Counter) -> Family<KindLabels, Metric<u64, AtomicU64>> {
    let family = Family::<KindLabels, Metric<u64, AtomicU64>>::default();
    for (kind, name) in KINDS {
        let labels = KindLabels {
            kind: (*name).to_owned(),
        };
        family.get_or_create(&labels).inc_by(counter.of(*kind));
    }
    family
}

fn codes(counter: &Counter) -> Family<KindLabels, Metric<u64, AtomicU64>> {
    let family = Family::<KindLabels, Metric<u64, AtomicU64>>::default();
    for (code, count) in counter.codes() {
        let labels = KindLabels {
            kind: code.label().to_owned(),
        };
        family.get_or_create(&labels).inc_by(count);
    }
    family
}
