//! Detects that a whole data centre can't be reached.
//!
//! A partition makes thousands of servers unreachable at once. If each were examined by itself, the
//! examinations would take seconds and more connections than callers open. When one server of a data centre
//! is found silent, a few balancers therefore examine a small sample of the others. If none of these
//! answers, one verdict keeps new flows away from all servers of the data centre.
//!
//! The few balancers announce their verdict to their data centre, whose other members adopt it.
//!
//! The verdict ends no flow. When most servers of a data centre are down, a sample is likely to miss those
//! that live. A server's flows end when the server itself is found silent, which a packet without an answer
//! starts to find out.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::silence::{Finding, QUORUM, REPORT_TTL, Report, probe_interval};

/// Number of servers in a sample. If half of the servers of a data centre are down, a sample without any
/// answer is as likely as 1 to 65,536; if nine of ten are, as 1 to 5.
pub const SAMPLE: usize = 16;
/// Minimum number of servers without an answer that prove anything about their data centre.
const MIN_SAMPLE: usize = 3;
/// Minimum interval between two samples of one data centre.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two examinations of all servers of a data centre.
const FULL_INTERVAL: Duration = Duration::from_secs(3);
/// Number of servers of an unreachable data centre that are probed together for its return.
pub const PROBES: usize = 3;

/// What a sample shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing, or nothing yet.
    None,
    /// None of the servers answered: the data centre can't be reached.
    Lost,
    /// Some of the servers answered and others didn't: more of them may be down.
    Scattered,
}

/// The results of the current sample.
#[derive(Debug, Clone, Default)]
struct Sample {
    /// Servers without a result so far.
    waiting: BTreeSet<Arc<str>>,
    silent: usize,
    answered: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loss {
    since: Duration,
    next_probe: Duration,
    /// Whether the verdict was adopted from peers.
    adopted: bool,
}

/// The path to one data centre.
#[derive(Debug, Clone, Default)]
struct Path {
    sample: Sample,
    /// When the last sample was started.
    sampled: Option<Duration>,
    loss: Option<Loss>,
    reports: Vec<Report>,
    /// When each server of the data centre was last to be examined.
    examined: Option<Duration>,
}

/// The paths to all data centres in which a server was found silent.
#[derive(Debug, Clone, Default)]
pub struct Paths {
    paths: BTreeMap<Arc<str>, Path>,
}

impl Paths {
    /// Whether a sample of a data centre is to be examined: it is not known as unreachable, and the last
    /// sample was started long enough ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::{path::{Paths, Verdict}, silence::Finding};
    /// let mut paths = Paths::default();
    /// let servers = ["i-1", "i-2", "i-3"].map(std::sync::Arc::from);
    /// assert!(paths.wants_sample("a", Duration::ZERO));
    /// paths.begin_sample(&"a".into(), servers.clone(), Duration::ZERO);
    /// let now = Duration::from_millis(80);
    /// let verdicts = servers.map(|id| paths.record("a", &id, Finding::Silent, now));
    /// assert_eq!(verdicts, [Verdict::None, Verdict::None, Verdict::Lost]);
    /// assert!(paths.is_lost("a"));
    /// ```
    #[must_use]
    pub fn wants_sample(&self, data_centre: &str, now: Duration) -> bool {
        self.paths.get(data_centre).is_none_or(|path| {
            let recent = path.sampled.is_some_and(|at| now < at + SAMPLE_INTERVAL);
            path.loss.is_none() && !recent
        })
    }

    /// Starts a sample of the servers of a data centre.
    pub fn begin_sample(
        &mut self,
        data_centre: &Arc<str>,
        servers: impl IntoIterator<Item = Arc<str>>,
        now: Duration,
    ) {
        let path = self.paths.entry(Arc::clone(data_centre)).or_default();
        path.sampled = Some(now);
        path.sample = Sample {
            waiting: servers.into_iter().collect(),
            ..Sample::default()
        };
    }

    /// Records the result of an examination or a probe of a server.
    pub fn record(
        &mut self,
        data_centre: &str,
        server: &Arc<str>,
        finding: Finding,
        now: Duration,
    ) -> Verdict {
        let Some(path) = self.paths.get_mut(data_centre) else {
            return Verdict::None;
        };
        if !path.sample.waiting.remove(server) {
            return Verdict::None;
        }
        match finding {
            Finding::Answered => path.sample.answered += 1,
            Finding::Silent => path.sample.silent += 1,
            Finding::Unknown => {}
        }
        let Sample {
            waiting,
            silent,
            answered,
        } = &path.sample;
        if !waiting.is_empty() || path.loss.is_some() {
            return Verdict::None;
        }
        match (*silent, *answered) {
            (silent, 0) if silent >= MIN_SAMPLE => {
                path.loss = Some(new_loss(false, now));
                Verdict::Lost
            }
            (silent, answered) if silent > 0 && answered > 0 => Verdict::Scattered,
            _ => Verdict::None,
        }
    }

    /// Whether each server of a data centre, several of which are silent, is to be examined now.
    pub fn wants_full_examination(&mut self, data_centre: &Arc<str>, now: Duration) -> bool {
        let path = self.paths.entry(Arc::clone(data_centre)).or_default();
        let recent = path.examined.is_some_and(|at| now < at + FULL_INTERVAL);
        if recent || path.loss.is_some() {
            return false;
        }
        path.examined = Some(now);
        true
    }

    /// Records a peer's verdict that a data centre can't be reached. Returns true if this balancer adopts
    /// it: if enough peers agree, as a single one may be cut off itself.
    pub fn peer_found_lost(
        &mut self,
        data_centre: &Arc<str>,
        reporter: u64,
        now: Duration,
    ) -> bool {
        let path = self.paths.entry(Arc::clone(data_centre)).or_default();
        if path.loss.is_some() {
            return false;
        }
        path.reports
            .retain(|report| report.reporter != reporter && now < report.at + REPORT_TTL);
        path.reports.push(Report { reporter, at: now });
        let adopts = path.reports.len() >= QUORUM;
        if adopts {
            path.reports.clear();
            path.loss = Some(new_loss(true, now));
        }
        adopts
    }

    /// Records that a server of a data centre answered. Returns true if the data centre was unreachable.
    pub fn reached(&mut self, data_centre: &str) -> bool {
        let path = self.paths.get_mut(data_centre);
        path.is_some_and(|path| {
            path.reports.clear();
            path.loss.take().is_some()
        })
    }

    /// Records a peer's word that a data centre can be reached again. Returns true if this balancer takes
    /// it over; if it had examined the data centre itself, it probes it again at once instead.
    pub fn peer_reached(&mut self, data_centre: &str, now: Duration) -> bool {
        let Some(path) = self.paths.get_mut(data_centre) else {
            return false;
        };
        path.reports.clear();
        match &mut path.loss {
            Some(loss) if loss.adopted => {
                path.loss = None;
                true
            }
            Some(loss) => {
                loss.next_probe = now;
                false
            }
            None => false,
        }
    }

    /// The unreachable data centres that are to be probed now.
    pub fn due(&mut self, now: Duration) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (data_centre, path) in &mut self.paths {
            if let Some(loss) = path.loss.as_mut().filter(|loss| now >= loss.next_probe) {
                loss.next_probe =
                    now + probe_interval(now.saturating_sub(loss.since), loss.adopted);
                due.push(Arc::clone(data_centre));
            }
        }
        due
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let losses = self.paths.values().filter_map(|path| path.loss);
        losses.map(|loss| loss.next_probe).min()
    }

    /// Whether a data centre can't be reached.
    #[must_use]
    pub fn is_lost(&self, data_centre: &str) -> bool {
        let path = self.paths.get(data_centre);
        path.is_some_and(|path| path.loss.is_some())
    }

    /// The data centres that can't be reached.
    #[must_use]
    pub fn lost(&self) -> BTreeSet<Arc<str>> {
        let lost = self.paths.iter().filter(|(_, path)| path.loss.is_some());
        lost.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// The data centres that this balancer found unreachable by its own sample. Only these are reported to
    /// peers; see [`Detector::found_silent`](crate::silence::Detector::found_silent).
    #[must_use]
    pub fn found_lost(&self) -> Vec<Arc<str>> {
        let found = self.paths.iter();
        let found = found.filter(|(_, path)| path.loss.is_some_and(|loss| !loss.adopted));
        found.map(|(name, _)| Arc::clone(name)).collect()
    }
}

fn new_loss(adopted: bool, now: Duration) -> Loss {
    Loss {
        since: now,
        next_probe: now + probe_interval(Duration::ZERO, adopted),
        adopted,
    }
}
