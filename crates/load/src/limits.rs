use std::time::Duration;

/// Every number that a decision depends on. `docs/MEASUREMENTS.md` holds the sweeps behind them.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Time constant of the fast estimates (spilling, ejecting). Shorter is noisier; longer leaves
    /// a hung server in use.
    pub fast: Duration,
    /// Time constant of the slow estimates (speed, capacity). At 100 samples/s a server, 20 s give
    /// an error of a few percent, which is what an even spread needs.
    pub slow: Duration,
    /// Answers that one measurement of a server's speed needs.
    pub samples: f64,
    /// Time after which fewer answers have to do, for services with few callers.
    pub patience: Duration,
    /// How many have to do then.
    pub samples_least: f64,
    /// Answers that the mean of a server's speed stands for at least, whatever the time.
    pub memory: f64,
    /// A measurement of speed this many times the mean (or its inverse), twice running, is a change
    /// of the server and not noise: the mean starts anew from it.
    pub change: f64,
    /// The counts of a peer that has not reported for this long are taken for missing, and what the
    /// others saw stands for them. One lost heartbeat in a row is borne.
    pub report_timeout: Duration,
    /// Without any sample for this long, weights return to plain shares and nothing is refused
    /// for want of capacity: a missing signal costs fairness, not availability.
    pub sample_timeout: Duration,
    /// Largest factor by which a weight rises at one step; recovery and cold starts are gradual.
    pub rise: f64,
    /// Largest factor by which a weight falls at one step.
    pub fall: f64,
    /// Smallest time between two proposals of weights: each one moves new flows off their base.
    pub period: Duration,
    /// Weights nearer than this to those in force aren't proposed; it stops flapping on noise.
    pub hysteresis: f64,
    /// Part of the mean weight that a cold or returning server starts with.
    pub start: f64,
    /// Smallest part of the mean weight of a server in use: one without flows has no signal.
    pub floor: f64,
    /// Largest part of a pool's servers that is left alone at a time; a wrong signal can't empty
    /// a service.
    pub eject: f64,
    /// How long a server is left alone the first time; doubles at each repetition.
    pub ejection_time: Duration,
    /// Longest time that a server is left alone before it is tried again.
    pub ejection_time_max: Duration,
    /// Answers (or completed openings) that must be expected before a server that gives next to none
    /// is left alone. Of 12 expected, one or none come by chance in 1 of 12,000 seconds; of 8, in 1
    /// of 330, which left fine servers alone.
    pub evidence: f64,
    /// A server that gives less than this part of the answers that others give is hung.
    pub silence: f64,
    /// Part of a server's openings that must fail, against the others', for it to be taken as
    /// shedding; fewer may have other causes.
    pub shed: f64,
    /// Standard deviations that the failing openings must be off what is expected. Each server is
    /// judged every second by every balancer, and 4 come by chance once in 30,000 times.
    pub certainty: f64,
    /// Factor on a server's target weight while its health endpoint says it fails. The endpoint
    /// lags, so it doesn't eject alone.
    pub distrust: f64,
    /// Work in progress over the pool's mean at which new flows begin to take their second choice.
    pub bound: f64,
    /// Work in progress a slot below which nothing spills: there is no wait to be saved.
    pub spill_min_progress: f64,
    /// Timed answers in the last second or so that spilling by their times needs.
    pub timed: f64,
    /// Part of the pool's connections that is shared out. The rest is for what all balancers open
    /// before they hear of each other.
    pub connection_ceiling: f64,
    /// Part of the measured capacity that all admitted work may reach. Above it, waits grow
    /// faster than goodput.
    pub ceiling: f64,
    /// Factor on the guarantee of paying callers. The measured capacity errs by a few percent, and
    /// the error should not be a refusal within a share.
    pub margin: f64,
    /// Part of the measured capacity that admitted work may reach while trial borrows and paying
    /// callers are about. What lies between it and `ceiling` is headroom: it keeps their waits
    /// short.
    pub lent: f64,
    /// Paying callers are about if one came to this thread within this time. Without any, the
    /// headroom would keep nobody's wait short and is lent as well.
    pub paying_window: Duration,
    /// Work in progress a slot that the pool is steered to at saturation.
    pub target: f64,
    /// Largest relative change of the correction of the capacity at one tick.
    pub gain: f64,
    /// Depth of a paying class's own bucket: arrivals within the share pass, however they come.
    pub burst: Duration,
    /// Depth of a trial class's own bucket; short, as paying callers wait behind its bursts.
    pub burst_trial: Duration,
    /// Depth of the buckets from which is borrowed; short, as it lands on top of guaranteed work.
    pub slack: Duration,
    /// Smallest depth of a class's own bucket, in flows: arrivals at one thread are random, and a
    /// small class within its share would be refused for a coincidence.
    pub least: f64,
    /// Smallest depth of the buckets from which is borrowed, in flows.
    pub least_lent: f64,
    /// Shortest time to come back that a refused caller is told.
    pub retry_after: Duration,
    /// Longest time to come back before jitter.
    pub retry_after_max: Duration,
    /// Time constant after which counts of open flows forget what was never seen to close.
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
