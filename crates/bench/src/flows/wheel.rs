/// Milliseconds ahead that a [`Wheel`] can hold.
pub const SPAN: u64 = 1 << 18;

/// Events by the millisecond at which they are due: adding and taking cost the same however many
/// there are, which matters with hundreds of thousands of flows.
#[derive(Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<T>>,
    now: u64,
}

impl<T> Wheel<T> {
    pub fn new(now: u64) -> Self {
        Wheel {
            slots: (0..SPAN).map(|_| Vec::new()).collect(),
            now,
        }
    }

    /// Adds an event due after `delay` milliseconds, at least one.
    pub fn add(&mut self, delay: u64, event: T) {
        let at = self.now + delay.clamp(1, SPAN - 1);
        self.slots[(at % SPAN) as usize].push(event);
    }

    /// Goes on by one millisecond and takes what is due then.
    pub fn advance(&mut self) -> Vec<T> {
        self.now += 1;
        std::mem::take(&mut self.slots[(self.now % SPAN) as usize])
    }
}
