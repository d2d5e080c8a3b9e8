//! Simulated network of members in virtual time, with loss, delay, partitions and suspensions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_member::{Contact, Event, Group, Heartbeat, Hint, Phase, Settings, State, View};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub const STEP: Duration = Duration::from_millis(50);

#[derive(Debug, Clone)]
pub struct Frame {
    pub from: u16,
    pub to: u16,
    pub incarnation: u64,
    pub heartbeat: Heartbeat,
}

pub struct Node {
    pub group: Group,
    pub suspended_until: Duration,
    pub events: Vec<Event>,
    /// Frames in the socket buffer of a suspended process.
    waiting: Vec<Frame>,
}

pub struct Net {
    pub now: Duration,
    pub nodes: BTreeMap<u16, Node>,
    /// Directed pairs (from, to) between which all frames are dropped.
    pub cut: BTreeSet<(u16, u16)>,
    pub loss: f64,
    pub delay: Duration,
    /// Every frame that reached its receiver's socket.
    pub delivered: Vec<Frame>,
    /// Number of heartbeats that each member has sent.
    pub sent: BTreeMap<u16, usize>,
    queue: BTreeMap<(Duration, u64), Frame>,
    incarnations: BTreeMap<(u16, u16), u64>,
    random: Pcg64,
    count: u64,
}

pub fn contact(id: u16) -> Contact {
    Contact {
        id,
        address: format!("127.0.0.1:{}", 7000 + id)
            .parse()
            .expect("an address"),
        data_centre: "hervanta".into(),
    }
}

pub fn hint(id: u16) -> Hint {
    Hint {
        contact: contact(id),
        leaving: false,
    }
}

impl Net {
    /// A group of `size` members that are all ready and know each other.
    pub fn settled(size: u16, seed: u64) -> Self {
        let mut net = Net::empty(seed);
        let hints: Vec<Hint> = (1..=size).map(hint).collect();
        for id in 1..=size {
            net.start(id, 1, &hints);
        }
        net.run(Duration::from_secs(3));
        net.nodes
            .values_mut()
            .for_each(|node| node.group.set_phase(Phase::Ready));
        net.run(Duration::from_secs(2));
        net
    }

    pub fn empty(seed: u64) -> Self {
        Net {
            now: Duration::from_secs(1000),
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            delay: Duration::from_millis(20),
            delivered: Vec::new(),
            sent: BTreeMap::new(),
            queue: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            random: Pcg64::seed_from_u64(seed),
            count: 0,
        }
    }

    pub fn start(&mut self, id: u16, incarnation: u64, hints: &[Hint]) {
        let mut group = Group::new(Settings::default(), contact(id), incarnation, self.now);
        group.hint(self.now, hints);
        let node = Node {
            group,
            suspended_until: self.now,
            events: Vec::new(),
            waiting: Vec::new(),
        };
        self.nodes.insert(id, node);
        // A new process knows no incarnations, so those in its view may be lower than before.
        self.incarnations.retain(|(viewer, _), _| *viewer != id);
    }

    pub fn suspend(&mut self, id: u16, period: Duration) {
        self.node(id).suspended_until = self.now + period;
    }

    /// Drops frames in both directions between members for which `side` differs.
    pub fn partition(&mut self, side: impl Fn(u16) -> bool) {
        let ids: Vec<u16> = self.nodes.keys().copied().collect();
        for a in &ids {
            for b in ids.iter().filter(|b| side(**b) != side(*a)) {
                self.cut.insert((*a, *b));
            }
        }
    }

    pub fn node(&mut self, id: u16) -> &mut Node {
        self.nodes.get_mut(&id).expect("the node runs")
    }

    pub fn view(&self, id: u16) -> View {
        self.nodes[&id].group.view(self.now)
    }

    pub fn state(&self, viewer: u16, id: u16) -> Option<State> {
        self.view(viewer).member(id).map(|member| member.state)
    }

    pub fn is_sure(&self, id: u16) -> bool {
        self.view(id).is_sure(self.now)
    }

    pub fn run(&mut self, period: Duration) {
        self.run_checked(period, |_| {});
    }

    /// Runs for `period` and calls `check` after every step.
    pub fn run_checked(&mut self, period: Duration, mut check: impl FnMut(&mut Net)) {
        let end = self.now + period;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.tick();
            self.assert_incarnations_never_decrease();
            check(self);
        }
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now, 0));
        for frame in std::mem::replace(&mut self.queue, later).into_values() {
            if self.cut.contains(&(frame.from, frame.to)) {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&frame.to) {
                self.delivered.push(frame.clone());
                node.waiting.push(frame);
            }
        }
        let now = self.now;
        for node in self
            .nodes
            .values_mut()
            .filter(|node| node.suspended_until <= now)
        {
            for frame in std::mem::take(&mut node.waiting) {
                // Random delays reorder frames; overtaken ones are refused as replays.
                let _ = node
                    .group
                    .receive(now, frame.from, frame.incarnation, &frame.heartbeat);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut sent = Vec::new();
        for (id, node) in self
            .nodes
            .iter_mut()
            .filter(|(_, node)| node.suspended_until <= now)
        {
            for outgoing in node.group.tick(now, |_| Vec::new()) {
                let (to, heartbeat) = (outgoing.to, outgoing.heartbeat);
                let incarnation = node.group.incarnation();
                sent.push(Frame {
                    from: *id,
                    to,
                    incarnation,
                    heartbeat,
                });
            }
            node.events.extend(node.group.take_events());
        }
        for frame in sent {
            self.count += 1;
            *self.sent.entry(frame.from).or_default() += 1;
            if self.random.random::<f64>() >= self.loss {
                let delay = self.delay.mul_f64(self.random.random::<f64>());
                self.queue.insert((now + delay, self.count), frame);
            }
        }
    }

    fn assert_incarnations_never_decrease(&mut self) {
        for (viewer, node) in &self.nodes {
            for member in node.group.view(self.now).members {
                let known = self.incarnations.entry((*viewer, member.id)).or_default();
                let seen = member.incarnation.unwrap_or_default();
                assert!(
                    seen >= *known,
                    "{viewer} sees {} go back from {known} to {seen}",
                    member.id
                );
                *known = seen;
            }
        }
    }
}
