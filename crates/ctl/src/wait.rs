//! Checks whether a change is in force on every live balancer.

use std::{collections::BTreeMap, net::SocketAddr};

use acacia_api::{Error, Status};
use serde::Serialize;

/// Which balancers have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Progress {
    /// Names of the balancers that have it, or a later one, in force.
    pub in_force: Vec<String>,
    /// Names of the balancers that answer but don't have it in force, with the revision or the
    /// state that they are in.
    pub lagging: Vec<String>,
    /// Addresses that don't answer: balancers that have just crashed, or that are partitioned and
    /// may still serve by an older revision. What they have in force is unknown.
    pub silent: Vec<String>,
}

impl Progress {
    /// Whether the revision is in force on every balancer, and on at least one.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.lagging.is_empty() && self.silent.is_empty() && !self.in_force.is_empty()
    }
}

/// Evaluates the balancers' answers for a revision.
///
/// ```
/// use acacia_api::{Error, Status};
/// use std::collections::BTreeMap;
/// let has = |name: &str, revision| Status { name: name.into(), revision, ..Status::default() };
/// let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
/// let answers = BTreeMap::from([
///     (address(1), Ok(has("entry-1", Some(5)))),
///     (address(2), Ok(has("entry-2", Some(4)))),
///     (address(3), Err(Error::Unreachable)),
///     (address(4), Ok(Status { behind: true, ..has("entry-4", Some(5)) })),
/// ]);
/// let progress = acacia_ctl::wait::progress(5, &answers);
/// assert_eq!(progress.in_force, ["entry-1"]);
/// assert_eq!(progress.lagging, ["entry-2 (revision 4)", "entry-4 (tables of an earlier revision)"]);
/// assert_eq!(progress.silent, ["127.0.0.1:3"]);
/// assert!(!progress.is_done());
/// ```
#[must_use]
pub fn progress(revision: u64, answers: &BTreeMap<SocketAddr, Result<Status, Error>>) -> Progress {
    let mut progress = Progress::default();
    for (address, answer) in answers {
        match answer {
            Ok(status) if status.revision >= Some(revision) && status.behind => {
                let text = format!("{} (tables of an earlier revision)", status.name);
                progress.lagging.push(text);
            }
            Ok(status) if status.revision >= Some(revision) => {
                progress.in_force.push(status.name.to_string());
            }
            Ok(status) => {
                let has = status.revision.unwrap_or(0);
                let text = format!("{} (revision {has})", status.name);
                progress.lagging.push(text);
            }
            Err(_) => progress.silent.push(address.to_string()),
        }
    }
    progress
}
