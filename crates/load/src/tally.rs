use std::time::Duration;

use crate::pool::Server;

/// Counts of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
    /// Flows placed there.
    pub opened: u32,
    /// Openings seen here that a later packet of the caller showed to be completed.
    pub completed: u32,
    /// Time from the opening to the caller's next packet, summed over `completed`.
    pub opening: Duration,
    /// Data of callers seen here.
    pub asked: u32,
    /// Data seen here beyond which an acknowledgement then moved.
    pub answered: u32,
    /// Those of them whose time is known.
    pub timed: u32,
    /// Time from the data to that acknowledgement, summed over `timed`.
    pub answering: Duration,
    /// Flows seen to end, whoever saw them open.
    pub closed: u32,
    /// Requests that were given up, or answered too soon to have been worked on.
    pub failed: u32,
}

impl Count {
    /// Adds what was counted elsewhere, which may come from a peer: an absurd number must not
    /// overflow.
    ///
    /// ```
    /// use acacia_load::tally::Count;
    /// let mut sum = Count { asked: 1, ..Count::default() };
    /// sum.add(&Count { asked: 2, ..Count::default() });
    /// assert_eq!(sum.asked, 3);
    /// ```
    pub fn add(&mut self, other: &Count) {
        self.opened = self.opened.saturating_add(other.opened);
        self.completed = self.completed.saturating_add(other.completed);
        self.opening = self.opening.saturating_add(other.opening);
        self.asked = self.asked.saturating_add(other.asked);
        self.answered = self.answered.saturating_add(other.answered);
        self.timed = self.timed.saturating_add(other.timed);
        self.answering = self.answering.saturating_add(other.answering);
        self.closed = self.closed.saturating_add(other.closed);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

/// Counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCount {
    /// New flows admitted.
    pub admitted: u32,
    /// New flows refused.
    pub refused: u32,
    /// Flows seen to end.
    pub closed: u32,
}

/// What one traffic thread has seen since the last tick.
///
/// Each event is fed exactly once in the whole fleet, by the balancer named here, whatever number
/// of balancers the packet passes through.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// By [`Server::index`].
    pub servers: Vec<Count>,
    /// By index of class.
    pub classes: Vec<ClassCount>,
}

impl Tally {
    /// Zeroes for a pool of that many servers and classes.
    #[must_use]
    pub fn new(servers: usize, classes: usize) -> Self {
        Tally {
            servers: vec![Count::default(); servers],
            classes: vec![ClassCount::default(); classes],
        }
    }

    /// A flow was placed: from the balancer that decided on its opening packet, when it sends the
    /// packet on. A retransmitted opening isn't a new one where the balancer can tell.
    pub fn opened(&mut self, server: Server) {
        self.with(server, |count| count.opened += 1);
    }

    /// A flow whose opening this balancer saw has shown a second packet after `took`.
    pub fn completed(&mut self, server: Server, took: Duration) {
        self.with(server, |count| {
            count.completed += 1;
            count.opening += took;
        });
    }

    /// The caller sent data: from the balancer that the fabric gave the packet to (ingress).
    pub fn asked(&mut self, server: Server) {
        self.with(server, |count| count.asked += 1);
    }

    /// An acknowledgement beyond data that this balancer saw came by here, after `took` if that
    /// says anything of the server; see [`crate::track`].
    pub fn answered(&mut self, server: Server, took: Option<Duration>) {
        self.with(server, |count| {
            count.answered += 1;
            count.timed += u32::from(took.is_some());
            count.answering += took.unwrap_or_default();
        });
    }

    /// The caller's FIN or RST came by: from the ingress.
    pub fn closed(&mut self, server: Server, class: usize) {
        self.with(server, |count| count.closed += 1);
        if let Some(demand) = self.classes.get_mut(class) {
            demand.closed += 1;
        }
    }

    /// Adds the counts of another thread.
    pub fn add(&mut self, other: &Tally) {
        for (to, from) in self.servers.iter_mut().zip(&other.servers) {
            to.add(from);
        }
        for (to, from) in self.classes.iter_mut().zip(&other.classes) {
            to.admitted += from.admitted;
            to.refused += from.refused;
            to.closed += from.closed;
        }
    }

    fn with(&mut self, server: Server, change: impl FnOnce(&mut Count)) {
        if let Some(count) = self.servers.get_mut(server.index()) {
            change(count);
        }
    }
}
