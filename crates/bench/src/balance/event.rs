use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use acacia_load::report::Report;

use super::{fleet::Update, model::Job};

/// What happens in a run.
#[derive(Clone)]
pub enum Event {
    /// A flow arrives.
    Arrival {
        /// When the caller first tried, for one that a dead balancer lost.
        since: Option<f64>,
        /// The flow's class.
        class: usize,
    },
    /// A request reaches its server.
    Reach(Job),
    /// A slot ends a request.
    Finish(Job),
    /// A feed ends.
    End {
        /// Which.
        flow: u32,
    },
    /// A second has passed at a balancer.
    Tick(usize),
    /// A balancer's report arrives at its peers.
    Mail(Rc<(usize, Report)>),
    /// A table arrives at a balancer.
    Apply(usize, Update),
    /// Everybody notices the dead balancer.
    Notice,
    /// The cold server joins.
    Join,
    /// A health endpoint says that a server is fine, or not.
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

/// Events in order of time, then of being added.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, seconds: f64, event: Event) {
        self.order += 1;
        let at = (seconds * 1e9) as u64;
        let order = self.order;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Takes the next event and its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at as f64 / 1e9, entry.event))
    }
}
