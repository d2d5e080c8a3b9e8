use std::time::Duration;

/// Parameters of all decisions. `docs/MEASUREMENTS.md` contains the parameter sweeps behind them.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Time constant of the fast estimates, for spilling and ejection. A shorter one is noisier; a
    /// longer one keeps a hung server in use.
    pub fast: Duration,
    /// Time constant of the slow estimates, for speed and capacity. At 100 samples per second and
    /// server, 20 s give an error of a few percent, as an even spread needs.
    pub slow: Duration,
    /// Number of answers needed for a measurement of a server's speed.
    pub samples: f64,
    /// Time after which [`Limits::samples_least`] answers are enough, for services with few callers.
    pub patience: Duration,
    /// Number of answers needed for a measurement after [`Limits::patience`].
    pub samples_least: f64,
    /// Minimum number of answers that the mean of a server's speed covers, however long they take.
    pub memory: f64,
    /// Factor between a measurement of speed and the mean, in either direction, from which the
    /// measurement is an outlier. Two outliers in a row in the same direction are a change of the
    /// server and not noise, and the mean restarts from the second.
    pub change: f64,
    /// Time without a report after which a peer's counts are taken as missing, and the counts of the
    /// others are scaled up in their place. It tolerates one lost heartbeat.
    pub report_timeout: Duration,
    /// Time without any sample after which weights return to equal shares and nothing is refused
    /// for lack of capacity: a missing signal affects fairness but not availability.
    pub sample_timeout: Duration,
    /// Largest factor by which a weight rises in one step, so that recovery and cold starts are
    /// gradual.
    pub rise: f64,
    /// Largest factor by which a weight falls in one step.
    pub fall: f64,
    /// Minimum time between two proposals of weights. Each one moves new flows off the server that
    /// the base table gives them, which needs pins.
    pub period: Duration,
    /// Relative difference from the weights in force up to which new weights aren't proposed, so
    /// that noise doesn't cause flapping.
    pub hysteresis: f64,
    /// Weight of a cold or returning server, as a fraction of the mean weight.
    pub start: f64,
    /// Minimum weight of a server in use, as a fraction of the mean weight: without flows there
    /// would be no samples of the server.
    pub floor: f64,
    /// Maximum fraction of a pool's servers that is ejected at a time, so that a wrong signal can't
    /// empty a service.
    pub eject: f64,
    /// Duration of a server's first ejection; it doubles with each repetition.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub ejection_time_max: Duration,
    /// Number of answers or completed openings that must be expected before a server that gives next
    /// to none is ejected. With 12 expected, one or none come by chance in 1 of 12,000 seconds; with
    /// 8 in 1 of 330, which ejected healthy servers.
    pub evidence: f64,
    /// Fraction of the usual answers below which a server counts as hung.
    pub silence: f64,
    /// Fraction of a server's openings that must fail, compared with the other servers, for the
    /// server to count as shedding; smaller fractions may have other causes.
    pub shed: f64,
    /// Number of standard deviations by which the failing openings must differ from the expected
    /// number. Every balancer judges each server every second, and 4 occur by chance once in 30,000
    /// times.
    pub certainty: f64,
    /// Factor on a server's target weight while its health endpoint reports a failure. The endpoint
    /// lags, so it doesn't cause an ejection by itself.
    pub distrust: f64,
    /// Ratio of a server's work in progress to the pool's mean at which its new flows begin to go to
    /// their second choice.
    pub bound: f64,
    /// Work in progress per slot below which no flows spill, since there is no queueing to avoid.
    pub spill_min_progress: f64,
    /// Number of timed answers in about the last second that are needed to spill by answer times.
    pub timed: f64,
    /// Fraction of the pool's connections that is shared out. The rest is a reserve for connections
    /// that balancers open before they hear of each other's.
    pub connection_ceiling: f64,
    /// Fraction of the measured capacity that all admitted work may reach. Above it, waits grow
    /// faster than goodput.
    pub ceiling: f64,
    /// Factor on the guarantee of paying callers. The measured capacity has an error of a few
    /// percent, which must not cause refusals within a share.
    pub margin: f64,
    /// Fraction of the measured capacity that admitted work may reach while trial callers borrow and
    /// paying callers are active. The difference to [`Limits::ceiling`] is headroom, which keeps the
    /// waits of paying callers short.
    pub lent: f64,
    /// Time after a paying caller's last arrival at a thread during which paying callers count as
    /// active. Otherwise the headroom shortens nobody's wait, and is lent as well.
    pub paying_window: Duration,
    /// Work in progress per slot to which the pool is controlled at saturation.
    pub target: f64,
    /// Maximum relative change of the capacity correction per tick.
    pub gain: f64,
    /// Depth of a paying class's own bucket, so that arrivals within the share are admitted even if
    /// they come in bursts.
    pub burst: Duration,
    /// Depth of a trial class's own bucket. It is short, since paying callers wait behind its
    /// bursts.
    pub burst_trial: Duration,
    /// Depth of the buckets for borrowing. It is short, since borrowed work comes on top of
    /// guaranteed work.
    pub slack: Duration,
    /// Minimum depth of a class's own bucket, in flows. Arrivals at a thread are random, and a small
    /// class within its share would otherwise be refused by chance.
    pub least: f64,
    /// Minimum depth of the buckets for borrowing, in flows.
    pub least_lent: f64,
    /// Shortest mean time after which a refused caller may retry.
    pub retry_after: Duration,
    /// Longest mean time after which a refused caller may retry, before jitter.
    pub retry_after_max: Duration,
    /// Time constant with which counts of open flows decay, for flows whose end no balancer sees.
    pub open_flow_memory: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let seconds = Duration::from_secs;
        Limits {
            fast: seconds(1),
            slow: seconds(20),
            samples: 25.0,
            patience: seconds(5),
            samples_least: 15.0,
            memory: 400.0,
            change: 1.6,
            report_timeout: Duration::from_millis(2_500),
            sample_timeout: seconds(30),
            rise: 1.5,
            fall: 2.0,
            period: seconds(2),
            hysteresis: 0.05,
            start: 0.2,
            floor: 0.02,
            eject: 0.34,
            ejection_time: seconds(10),
            ejection_time_max: seconds(160),
            evidence: 12.0,
            silence: 0.15,
            shed: 0.15,
            certainty: 4.0,
            distrust: 0.9,
            bound: 1.5,
            spill_min_progress: 1.5,
            timed: 6.0,
            connection_ceiling: 0.9,
            ceiling: 0.98,
            margin: 1.05,
            lent: 0.71,
            paying_window: seconds(1),
            target: 10.0,
            gain: 0.02,
            burst: Duration::from_millis(400),
            burst_trial: Duration::from_millis(200),
            slack: Duration::from_millis(100),
            least: 20.0,
            least_lent: 4.0,
            retry_after: seconds(1),
            retry_after_max: seconds(30),
            open_flow_memory: seconds(600),
        }
    }
}
