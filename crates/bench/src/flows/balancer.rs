use std::collections::BTreeMap;

use acacia_flow::{
    Control, Shards, Snapshot,
    control::{Acknowledgement, Batch, Member, Report, Settings, Stage, Tables},
    rank::Node,
    shard::Limits,
    verdict::Notice,
};
use acacia_wire::control::{Envelope, Secret, seal};

use super::policy::Tracked;

/// Time without a heartbeat after which a member is considered dead, in milliseconds.
const DEAD_AFTER_MS: u64 = 4_000;
/// Interval between heartbeats to each peer, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Size of the IPv4 and UDP headers in bytes.
const IPV4_UDP_HEADER_BYTES: u64 = 28;

/// A control message between balancers.
#[derive(Debug, Clone)]
pub enum Message {
    /// A heartbeat that carries a report.
    Heartbeat(Stage, Report),
    /// Replicated flow pins.
    Batch(Batch),
    /// The reply to a batch.
    Acknowledgement(Acknowledgement),
    /// A correction or hint about a single flow.
    Notice(Notice),
    /// The sender is about to exit.
    Bye,
}

impl Message {
    /// Size of the sealed message on the wire in bytes, with headers.
    pub fn bytes(&self) -> u64 {
        let envelope = Envelope {
            sender: 1,
            incarnation: 1_700_000_000,
            sequence: 1_000_000,
        };
        let secret = Secret::new(&[1; 32], None);
        let kind = 0u8;
        let frame = match self {
            Message::Heartbeat(stage, report) => seal(&envelope, &(kind, stage, report), &secret),
            Message::Batch(batch) => seal(&envelope, &(kind, batch), &secret),
            Message::Acknowledgement(answer) => seal(&envelope, &(kind, answer), &secret),
            Message::Notice(notice) => seal(&envelope, &(kind, notice), &secret),
            Message::Bye => seal(&envelope, &kind, &secret),
        };
        frame.len() as u64 + IPV4_UDP_HEADER_BYTES
    }
}

/// A balancer: the product's decision code and a minimal stand-in for the daemon that runs it.
#[derive(Debug)]
pub struct Balancer {
    pub node: Node,
    pub running: bool,
    pub control: Control,
    pub shards: Shards,
    pub snapshot: Snapshot,
    pub tables: Tables,
    pub tracked: Tracked,
    /// Bytes of control traffic sent in total, within the current second, and within the busiest
    /// second.
    pub sent: u64,
    pub second: u64,
    pub peak: u64,
    heard: BTreeMap<Node, (u64, Stage)>,
    left: Vec<Node>,
    reported: u64,
    swept: usize,
}

impl Balancer {
    /// Starts a process that knows its peers `others` from the platform's member list.
    pub fn new(node: Node, tables: &Tables, others: &[(Node, Stage)], now: u64) -> Self {
        let mut control = Control::new(node, Settings::default(), now);
        control.set_tables(tables.clone(), now);
        let snapshot = control.snapshot(now);
        Balancer {
            node,
            running: true,
            control,
            shards: Shards::new(16, Limits::default()),
            snapshot,
            tables: tables.clone(),
            tracked: Tracked::default(),
            sent: 0,
            second: 0,
            peak: 0,
            heard: others
                .iter()
                .map(|&(node, stage)| (node, (now, stage)))
                .collect(),
            left: Vec::new(),
            reported: 0,
            swept: 0,
        }
    }

    /// Runs one iteration of the control thread and returns the messages to send, each with its
    /// recipient. `ended` are the processes that the platform's member list no longer contains.
    pub fn turn(&mut self, now: u64, ended: &[Node]) -> Vec<(u16, Message)> {
        let left = &self.left;
        self.heard
            .retain(|node, _| !left.contains(node) && !ended.contains(node));
        let heard = self.heard.iter();
        let member = |(&node, &(since, stage)): (&Node, &(u64, Stage))| Member {
            node,
            stage,
            dead: now > since + DEAD_AFTER_MS,
        };
        let members: Vec<Member> = heard.map(member).collect();
        self.control.set_members(&members);
        self.sweep(now);
        self.snapshot = self.control.snapshot(now);
        let batches = self.control.batches(now).into_iter();
        let mut out: Vec<_> = batches
            .map(|(to, batch)| (to, Message::Batch(batch)))
            .collect();
        if self.control.take_pending_report() || now >= self.reported + HEARTBEAT_INTERVAL_MS {
            self.reported = now;
            let stage = self.control.stage();
            for member in &members {
                let report = self.control.report(member.node.id, now);
                out.push((member.node.id, Message::Heartbeat(stage, report)));
            }
        }
        out
    }

    /// Sweeps a part of the shards in each 100 ms iteration, so that all are covered within a
    /// second.
    fn sweep(&mut self, now: u64) {
        let count = self.shards.count();
        let due = (now % 1_000 / 100 + 1) as usize * count / 10;
        while self.swept < due {
            let index = self.swept;
            self.control
                .sweep(&mut self.shards.at(index), index, count, now);
            self.swept += 1;
        }
        if due == count {
            self.swept = 0;
        }
    }

    /// Processes a message and returns the reply, if any.
    pub fn receive(&mut self, from: Node, message: Message, now: u64) -> Option<Message> {
        match message {
            Message::Heartbeat(stage, report) => {
                if !self.left.contains(&from) {
                    let newer =
                        |node: &Node| node.id == from.id && node.incarnation < from.incarnation;
                    self.heard.retain(|node, _| !newer(node));
                    self.heard.insert(from, (now, stage));
                }
                self.control.receive(from.id, from.incarnation, report);
            }
            Message::Batch(batch) => {
                let shards = &self.shards;
                let adopt =
                    |key: acacia_wire::flow::Key, pin| shards.of(key.hash()).adopt(key, pin);
                let answer = self.control.receive_batch(from.id, &batch, now, adopt);
                return Some(Message::Acknowledgement(answer));
            }
            Message::Acknowledgement(answer) => {
                self.control.receive_acknowledgement(from.id, answer);
            }
            Message::Notice(Notice::Correct { key, server }) => {
                self.shards.of(key.hash()).correct(&key, server);
            }
            Message::Notice(Notice::Hint { key, server }) => {
                self.shards.of(key.hash()).cache_hint(key, server, now);
            }
            Message::Bye => self.left.push(from),
        }
        None
    }

    /// Counts bytes of control traffic sent.
    pub fn count(&mut self, bytes: u64) {
        self.sent += bytes;
        self.second += bytes;
    }

    /// Closes a one-second interval and updates the peak.
    pub fn end_second(&mut self) {
        self.peak = self.peak.max(self.second);
        self.second = 0;
    }
}
