use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use acacia_load::report::Report;

use super::{fleet::Update, model::Job};

/// An event of the simulation.
#[derive(Clone)]
pub enum Event {
    /// A flow arrives.
    Arrival {
        /// Time of the caller's first attempt, if a failed balancer dropped an earlier one.
        since: Option<f64>,
        /// Index of the flow's class.
        class: usize,
    },
    /// A request arrives at its server.
    Reach(Job),
    /// A server completes a request.
    Finish(Job),
    /// A feed ends.
    End {
        /// Index of the flow.
        flow: u32,
    },
    /// The periodic update of a balancer, once per second.
    Tick(usize),
    /// A balancer's report arrives at its peers.
    Report(Rc<(usize, Report)>),
    /// A balancer receives a new table and applies it.
    Apply(usize, Update),
    /// The peers detect that a balancer has failed.
    FailureDetected,
    /// The cold server joins the pool.
    Join,
    /// A health endpoint reports a server as healthy (`true`) or unhealthy (`false`).
    Health(usize, bool),
}

struct Entry {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Pending events, ordered by time and then by insertion.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Queue {
    /// Schedules an event.
    pub fn push(&mut self, seconds: f64, event: Event) {
        self.order += 1;
        let at = (seconds * 1e9) as u64;
        let order = self.order;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Removes the next event and returns it with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at as f64 / 1e9, entry.event))
    }
}
