use std::collections::VecDeque;

use super::case::{BEGIN, Fault, HEAL, Scene};

/// The server that faults strike: the fastest, whose loss hurts most.
pub const VICTIM: usize = 0;
/// How long a cold server takes to warm up, in seconds.
const WARMING: f64 = 20.0;
/// Speed of a cold server over that of a warm one.
const COLD: f64 = 0.1;

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Which flow.
    pub flow: u32,
    /// Work at speed 1, in seconds.
    pub work: f64,
}

/// A backend server: a FIFO queue before its slots.
#[derive(Debug, Clone)]
pub struct Server {
    /// True speed without faults.
    pub speed: f64,
    slots: u32,
    busy: u32,
    queue: VecDeque<Job>,
    /// Work on its way, in queue and slots, in seconds at speed 1.
    pub promised: f64,
    /// Connections open now.
    pub open: u32,
    /// Work that was placed here while measuring, in seconds at speed 1.
    pub offered: f64,
}

impl Server {
    /// An idle server.
    #[must_use]
    pub fn new(speed: f64, slots: u32) -> Self {
        Server {
            speed,
            slots,
            busy: 0,
            queue: VecDeque::new(),
            promised: 0.0,
            open: 0,
            offered: 0.0,
        }
    }

    /// Takes a request; gives it back if it starts at once.
    pub fn take(&mut self, job: Job) -> Option<Job> {
        if self.busy < self.slots {
            self.busy += 1;
            return Some(job);
        }
        self.queue.push_back(job);
        None
    }

    /// Ends a request; gives the next one that starts.
    pub fn finish(&mut self, job: Job) -> Option<Job> {
        self.promised -= job.work;
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}

/// Factor on the speed of server `index` at that time; 0 while it hangs.
#[must_use]
pub fn factor(scene: &Scene, index: usize, now: f64) -> f64 {
    if index != VICTIM || now < BEGIN {
        return 1.0;
    }
    match scene.case.fault {
        Fault::Slow | Fault::Lies if now < HEAL => 0.25,
        Fault::Hung if now < HEAL => 0.0,
        Fault::Cold => (COLD + (now - BEGIN) / WARMING).min(1.0),
        _ => 1.0,
    }
}

/// Work that server `index` could do between two times with all slots, in seconds at speed 1.
#[must_use]
pub fn able(scene: &Scene, index: usize, from: f64, to: f64) -> f64 {
    /// Steps of the integral.
    const STEPS: u32 = 600;
    let step = (to - from) / f64::from(STEPS);
    let sum: f64 = (0..STEPS)
        .map(|number| factor(scene, index, from + (f64::from(number) + 0.5) * step))
        .sum();
    sum * step * scene.speeds[index] * f64::from(scene.slots)
}
