use std::collections::VecDeque;

use super::case::{BEGIN, Fault, HEAL, Scene};

/// Index of the server that faults affect: the fastest one, whose loss costs the most capacity.
pub const VICTIM: usize = 0;
/// Time over which the speed factor of a cold server rises by 1, in seconds.
const WARMUP_SECONDS: f64 = 20.0;
/// Initial speed of a cold server as a fraction of its full speed.
const COLD_SPEED: f64 = 0.1;

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Index of the flow.
    pub flow: u32,
    /// Service time at speed 1, in seconds.
    pub work: f64,
}

/// A backend server with parallel slots and a FIFO queue in front of them.
#[derive(Debug, Clone)]
pub struct Server {
    /// True speed in the absence of faults.
    pub speed: f64,
    slots: u32,
    busy: u32,
    queue: VecDeque<Job>,
    /// Work in transit, queued and in progress, in seconds at speed 1.
    pub outstanding_work: f64,
    /// Number of open connections.
    pub open: u32,
    /// Work placed on this server during measurement, in seconds at speed 1.
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
            outstanding_work: 0.0,
            open: 0,
            offered: 0.0,
        }
    }

    /// Accepts a request. Returns it if it starts immediately, and queues it otherwise.
    pub fn accept(&mut self, job: Job) -> Option<Job> {
        if self.busy < self.slots {
            self.busy += 1;
            return Some(job);
        }
        self.queue.push_back(job);
        None
    }

    /// Completes a request and returns the next one to start, if any is queued.
    pub fn finish(&mut self, job: Job) -> Option<Job> {
        self.outstanding_work -= job.work;
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}

/// Speed factor of server `index` at the time `now`; 0 while the server hangs.
#[must_use]
pub fn speed_factor(scene: &Scene, index: usize, now: f64) -> f64 {
    if index != VICTIM || now < BEGIN {
        return 1.0;
    }
    match scene.case.fault {
        Fault::Slow | Fault::Lies if now < HEAL => 0.25,
        Fault::Hung if now < HEAL => 0.0,
        Fault::Cold => (COLD_SPEED + (now - BEGIN) / WARMUP_SECONDS).min(1.0),
        _ => 1.0,
    }
}

/// Work that server `index` can do with all its slots from `from` to `to`, in seconds at speed 1.
#[must_use]
pub fn available_work(scene: &Scene, index: usize, from: f64, to: f64) -> f64 {
    /// Number of steps of the numerical integration.
    const STEPS: u32 = 600;
    let step = (to - from) / f64::from(STEPS);
    let sum: f64 = (0..STEPS)
        .map(|number| speed_factor(scene, index, from + (f64::from(number) + 0.5) * step))
        .sum();
    sum * step * scene.speeds[index] * f64::from(scene.slots)
}
