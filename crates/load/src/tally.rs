use std::time::Duration;

use crate::pool::Server;

/// Counts of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
    /// Flows placed at the server.
    pub opened: u32,
    /// Openings seen here that were completed, as the caller's next packet showed.
    pub completed: u32,
    /// Time from the opening to the caller's next packet, summed over `completed`.
    pub opening: Duration,
    /// Requests seen here, which are packets of callers with data.
    pub asked: u32,
    /// Requests seen here for which an acknowledgement of an answer followed here.
    pub answered: u32,
    /// Those of `answered` whose time is known.
    pub timed: u32,
    /// Time from the request to that acknowledgement, summed over `timed`.
    pub answering: Duration,
    /// Flows whose end was seen here, whichever balancer saw them open.
    pub closed: u32,
    /// Requests that callers gave up, or that were answered too fast to have been processed.
    pub failed: u32,
}

impl Count {
    /// Adds other counts. The sums saturate, since counts from a peer may be absurdly large.
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
pub struct Class {
    /// Admitted new flows.
    pub admitted: u32,
    /// Refused new flows.
    pub refused: u32,
    /// Flows whose end was seen here.
    pub closed: u32,
}

/// Counts of one traffic thread since the last tick.
///
/// Each event is counted exactly once in the whole fleet, however many balancers the packet passes
/// through. The methods say which balancer counts it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Counts by [`Server::index`].
    pub servers: Vec<Count>,
    /// Counts by index of class.
    pub classes: Vec<Class>,
}

impl Tally {
    /// Creates zero counts for a pool with these numbers of servers and classes.
    #[must_use]
    pub fn new(servers: usize, classes: usize) -> Self {
        Tally {
            servers: vec![Count::default(); servers],
            classes: vec![Class::default(); classes],
        }
    }

    /// Counts a placed flow. The balancer that decides on the opening packet calls this when it
    /// forwards the packet, and leaves out retransmitted openings where it can recognize them.
    pub fn opened(&mut self, server: Server) {
        self.update(server, |count| count.opened += 1);
    }

    /// Counts a completed opening: this balancer saw the flow's opening and, `took` later, its next
    /// packet.
    pub fn completed(&mut self, server: Server, took: Duration) {
        self.update(server, |count| {
            count.completed += 1;
            count.opening += took;
        });
    }

    /// Counts a request. The balancer that got the packet from the fabric (the ingress) calls this.
    pub fn asked(&mut self, server: Server) {
        self.update(server, |count| count.asked += 1);
    }

    /// Counts an answer: the acknowledgement of an answer to a request seen here came through this
    /// balancer. `took` is the time since the request, or `None` if it says nothing about the
    /// server; see [`crate::track`].
    pub fn answered(&mut self, server: Server, took: Option<Duration>) {
        self.update(server, |count| {
            count.answered += 1;
            count.timed += u32::from(took.is_some());
            count.answering += took.unwrap_or_default();
        });
    }

    /// Counts the end of a flow, by a FIN or RST of the caller. The ingress calls this.
    pub fn closed(&mut self, server: Server, class: usize) {
        self.update(server, |count| count.closed += 1);
        if let Some(count) = self.classes.get_mut(class) {
            count.closed += 1;
        }
    }

    /// Adds the counts of another thread or balancer. The sums saturate; see [`Count::add`].
    pub fn add(&mut self, other: &Tally) {
        for (to, from) in self.servers.iter_mut().zip(&other.servers) {
            to.add(from);
        }
        for (to, from) in self.classes.iter_mut().zip(&other.classes) {
            to.admitted = to.admitted.saturating_add(from.admitted);
            to.refused = to.refused.saturating_add(from.refused);
            to.closed = to.closed.saturating_add(from.closed);
        }
    }

    fn update(&mut self, server: Server, change: impl FnOnce(&mut Count)) {
        if let Some(count) = self.servers.get_mut(server.index()) {
            change(count);
        }
    }
}
