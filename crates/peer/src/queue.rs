use std::collections::VecDeque;

/// How a message is queued, and whether it waits for the byte budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Sent first, regardless of the budget. Only the latest one is queued, since it supersedes all
    /// earlier ones.
    Heartbeat,
    /// Sent in order, regardless of the budget: messages that must arrive within seconds, such as a
    /// new configuration.
    Urgent,
    /// Sent in order, after all others and only within the budget.
    Bulk,
}

/// The messages that wait to be sent to one peer.
#[derive(Debug)]
pub struct Queue {
    heartbeat: Option<Vec<u8>>,
    urgent: VecDeque<Vec<u8>>,
    bulk: VecDeque<Vec<u8>>,
    bytes: usize,
    max_messages: usize,
    max_bytes: usize,
}

impl Queue {
    /// Creates an empty queue with limits on the number and the total size of its messages.
    /// Heartbeats count towards neither.
    #[must_use]
    pub fn new(max_messages: usize, max_bytes: usize) -> Self {
        Queue {
            heartbeat: None,
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            bytes: 0,
            max_messages,
            max_bytes,
        }
    }

    /// Queues a message. If the queue is full, drops the message and returns false: a peer that
    /// doesn't read must neither use up memory nor block the caller.
    ///
    /// ```
    /// use acacia_peer::{Class, Queue};
    /// let mut queue = Queue::new(1, 100);
    /// assert!(queue.push(Class::Bulk, vec![1]));
    /// assert!(!queue.push(Class::Urgent, vec![2]), "full");
    /// assert!(queue.push(Class::Heartbeat, vec![3]), "not limited");
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
        if messages >= self.max_messages || self.bytes + message.len() > self.max_bytes {
            return false;
        }
        self.bytes += message.len();
        match class {
            Class::Urgent => self.urgent.push_back(message),
            _ => self.bulk.push_back(message),
        }
        true
    }

    /// Removes the next message to send; a bulk message only if there is `room` in the budget.
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
