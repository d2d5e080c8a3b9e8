use std::collections::VecDeque;

/// How a message is treated when the budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Always passes, first. Only the latest waits: an older one says nothing more.
    Heartbeat,
    /// Always passes, in order: what is bound to seconds, such as a new configuration.
    Urgent,
    /// Waits for the budget, in order.
    Bulk,
}

/// The messages that wait for one peer.
#[derive(Debug)]
pub struct Queue {
    heartbeat: Option<Vec<u8>>,
    urgent: VecDeque<Vec<u8>>,
    bulk: VecDeque<Vec<u8>>,
    bytes: usize,
    most_messages: usize,
    most_bytes: usize,
}

impl Queue {
    /// An empty queue with its bounds.
    #[must_use]
    pub fn new(most_messages: usize, most_bytes: usize) -> Self {
        Queue {
            heartbeat: None,
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            bytes: 0,
            most_messages,
            most_bytes,
        }
    }

    /// Takes a message in, or drops it and gives false when the queue is full: a peer that takes
    /// nothing must not cost memory, nor block whoever sends.
    ///
    /// ```
    /// use acacia_peer::{Class, Queue};
    /// let mut queue = Queue::new(1, 100);
    /// assert!(queue.push(Class::Bulk, vec![1]));
    /// assert!(!queue.push(Class::Urgent, vec![2]), "full");
    /// assert!(queue.push(Class::Heartbeat, vec![3]), "has its own place");
    /// assert_eq!(queue.pop(false), Some(vec![3]));
    /// assert_eq!(queue.pop(false), None, "bulk waits");
    /// assert_eq!(queue.pop(true), Some(vec![1]));
    /// ```
    pub fn push(&mut self, class: Class, message: Vec<u8>) -> bool {
        if class == Class::Heartbeat {
            self.heartbeat = Some(message);
            return true;
        }
        let messages = self.urgent.len() + self.bulk.len();
        if messages >= self.most_messages || self.bytes + message.len() > self.most_bytes {
            return false;
        }
        self.bytes += message.len();
        match class {
            Class::Urgent => self.urgent.push_back(message),
            _ => self.bulk.push_back(message),
        }
        true
    }

    /// The next message; a bulk one only if there is `room` in the budget.
    pub fn pop(&mut self, room: bool) -> Option<Vec<u8>> {
        if let Some(heartbeat) = self.heartbeat.take() {
            return Some(heartbeat);
        }
        let message = match self.urgent.pop_front() {
            None if room => self.bulk.pop_front(),
            urgent => urgent,
        }?;
        self.bytes -= message.len();
        Some(message)
    }
}
