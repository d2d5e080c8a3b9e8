//! What a balancer has learned of one server.

use std::{sync::Arc, time::Duration};

use acacia_catalog::server::{self, State};

use super::service::Place;
use crate::cookie::{Cookie, VARIANTS};

/// A server and what this balancer has learned of its entry.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) server: Arc<server::Server>,
    /// Revision of the store at which its entry was created or, if the store doesn't say, was first seen
    /// here. An entry that lapses is created anew; then it is that of the first time.
    pub(super) created: u64,
    /// When its entry went missing.
    pub(super) missing: Option<Duration>,
    /// Whether its entry has been missing for so long that it is no longer expected back.
    pub(super) is_expired: bool,
    /// Whether its entry went missing as a foreign one was written in its place; see [`super::foreign`].
    pub(super) is_overwritten: bool,
    /// Whether it no longer exists: it has left, or its address belongs to another server.
    pub(super) has_ended: bool,
    /// End of its warm-up, according to its entry.
    pub(super) warm_at: Duration,
    /// End of its warm-up if it has restarted unnoticed, as it may have.
    pub(super) suspected_until: Duration,
    /// All its cookies.
    pub(super) cookies: [Cookie; VARIANTS as usize],
    /// Its index in the snapshot; `None` before it was in one.
    pub(super) position: Option<u32>,
    /// Where it stands among the servers of its service, if it takes new flows.
    pub(super) place: Option<Place>,
    /// When it next changes by the passage of time alone.
    pub(super) deadline: Option<Duration>,
}

impl Record {
    /// A server whose entry exists.
    pub(super) fn new(server: &Arc<server::Server>, created: u64, warm_at: Duration) -> Self {
        Record {
            server: Arc::clone(server),
            created,
            missing: None,
            is_expired: false,
            is_overwritten: false,
            has_ended: false,
            warm_at,
            suspected_until: Duration::ZERO,
            cookies: std::array::from_fn(|variant| Cookie::of(&server.id, variant as u32)),
            position: None,
            place: None,
            deadline: None,
        }
    }

    /// Whether it announced its departure and its entry has been removed. The removal of an entry that is not
    /// its own says nothing of it.
    pub(super) fn has_left(&self) -> bool {
        let is_removed = self.missing.is_some() && !self.is_overwritten;
        is_removed && self.server.state == State::Draining
    }

    /// Records that its entry exists.
    pub(super) fn restore(&mut self) {
        self.missing = None;
        self.is_expired = false;
        self.is_overwritten = false;
    }

    /// The order of servers that share a cookie; the first one keeps it. The older one may have flows with
    /// it, and one that has ended has none.
    ///
    /// The order must not depend on what a balancer has seen itself. One that has just started doesn't know
    /// the servers that have ended, and must forward open flows like the others.
    pub(super) fn rank(&self) -> (bool, u64, &Arc<str>) {
        (self.has_ended, self.created, &self.server.id)
    }

    /// Whether the server that `entry` describes may still have the flows of this one. A server loses them
    /// in a restart, and one that drains is never ready again.
    pub(super) fn is_continued_by(&self, entry: &server::Server) -> bool {
        let is_ready_again = self.server.state == State::Draining && entry.state == State::Ready;
        !self.has_ended && !is_ready_again && self.server.started_ms == entry.started_ms
    }
}
