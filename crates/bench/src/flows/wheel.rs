/// Range of a [`Wheel`] in milliseconds; longer delays are clamped to it.
pub const SPAN_MS: u64 = 1 << 18;

/// A timer wheel with one slot per millisecond. Insertion and expiry take constant time per event,
/// which matters with hundreds of thousands of flows.
#[derive(Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<T>>,
    now: u64,
}

impl<T> Wheel<T> {
    pub fn new(now: u64) -> Self {
        Wheel {
            slots: (0..SPAN_MS).map(|_| Vec::new()).collect(),
            now,
        }
    }

    /// Schedules an event after `delay` milliseconds, clamped to between 1 and `SPAN_MS - 1`.
    pub fn schedule(&mut self, delay: u64, event: T) {
        let at = self.now + delay.clamp(1, SPAN_MS - 1);
        self.slots[(at % SPAN_MS) as usize].push(event);
    }

    /// Advances the clock by one millisecond and returns the events that are due.
    pub fn advance(&mut self) -> Vec<T> {
        self.now += 1;
        std::mem::take(&mut self.slots[(self.now % SPAN_MS) as usize])
    }
}
