use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::member::{Change, Gossip, Group, Letter, Member, REPRESENTATIVES, ROUND, rank};
use acacia_wire::collections::{Map, Set};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// Bytes of a message besides its membership part: authenticator, sender, revision and empty lists.
const ENVELOPE_BYTES: usize = 100;
/// Shortest and longest time of a message from one balancer to another, in microseconds.
const DELAY_US: std::ops::Range<u64> = 300..6_000;
/// The balancers of a fleet that starts at once start within this time, in microseconds.
const START_US: u64 = 300_000;
/// Number of balancers that the settings of all name as seeds.
const SEEDS: usize = 3;

#[derive(Debug)]
enum Event {
    /// A balancer's next round; `life` counts its starts.
    Round { balancer: usize, life: u32 },
    Message {
        to: usize,
        from: Member,
        gossip: Gossip,
    },
}

#[derive(Debug)]
struct Balancer {
    address: SocketAddrV4,
    data_centre: usize,
    group: Option<Group>,
    life: u32,
    sent_bytes: usize,
    sent_messages: usize,
}

/// Membership changes that balancers logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Removals of balancers that run and can be reached.
    pub wrong: usize,
    /// All removals.
    pub lost: usize,
}

/// Balancers in data centres, with a network that loses messages and may be cut.
#[derive(Debug)]
pub struct Fleet {
    balancers: Vec<Balancer>,
    index: Map<SocketAddrV4, usize>,
    centres: Vec<Arc<str>>,
    seeds: Vec<SocketAddrV4>,
    events: BTreeMap<(Duration, u64), Event>,
    /// Orders events at the same time.
    sequence: u64,
    /// The simulated time.
    pub now: Duration,
    /// Share of messages that are lost.
    loss: f64,
    /// The data centre that is cut off from the others, if any.
    pub cut: Option<usize>,
    /// What balancers logged.
    pub tally: Tally,
    random: Pcg64,
}

impl Fleet {
    /// `size` balancers, `near` in each data centre, none of which has started.
    #[must_use]
    pub fn new(size: usize, near: usize, loss: f64, seed: u64) -> Self {
        let count = size.div_ceil(near).max(1);
        let balancer = |number: usize| Balancer {
            address: SocketAddrV4::new(
                [
                    10,
                    (number % count) as u8,
                    (number / count / 250) as u8,
                    (number / count % 250) as u8,
                ]
                .into(),
                7_000,
            ),
            data_centre: number % count,
            group: None,
            life: 0,
            sent_bytes: 0,
            sent_messages: 0,
        };
        let balancers: Vec<Balancer> = (0..size).map(balancer).collect();
        let index = balancers.iter().enumerate();
        Fleet {
            index: index.map(|(number, one)| (one.address, number)).collect(),
            centres: (0..count)
                .map(|number| format!("centre-{number}").into())
                .collect(),
            seeds: balancers
                .iter()
                .take(SEEDS)
                .map(|one| one.address)
                .collect(),
            balancers,
            events: BTreeMap::new(),
            sequence: 0,
            now: Duration::ZERO,
            loss,
            cut: None,
            tally: Tally::default(),
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// The number of balancers, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Whether there are no balancers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    /// Starts all balancers within a fraction of a second.
    pub fn start_all(&mut self) {
        for number in 0..self.len() {
            let delay = Duration::from_micros(self.random.random_range(0..START_US));
            self.start(number, delay);
        }
    }

    /// Starts or restarts a balancer after a delay, with an empty list.
    pub fn start(&mut self, number: usize, delay: Duration) {
        let (at, seed) = (self.now + delay, self.random.random());
        let one = &mut self.balancers[number];
        let own = Member {
            address: one.address,
            data_centre: Arc::clone(&self.centres[one.data_centre]),
            incarnation: 1 + at.as_millis() as u64,
            version: 0,
            sighted: true,
            leaving: false,
        };
        one.life += 1;
        one.group = Some(Group::new(own, self.seeds.clone(), at, seed));
        let life = one.life;
        self.schedule(
            at,
            Event::Round {
                balancer: number,
                life,
            },
        );
    }

    /// Kills a balancer.
    pub fn kill(&mut self, number: usize) {
        self.balancers[number].group = None;
    }

    /// Chooses some running balancers at random.
    pub fn choose(&mut self, count: usize) -> Vec<usize> {
        let mut running: Vec<usize> = (0..self.len())
            .filter(|number| self.balancers[*number].group.is_some())
            .collect();
        for place in 0..count.min(running.len()) {
            let other = self.random.random_range(place..running.len());
            running.swap(place, other);
        }
        running.truncate(count);
        running
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                Event::Round { balancer, life } => self.round(balancer, life),
                Event::Message { to, from, gossip } => self.deliver(to, &from, &gossip),
            }
        }
        self.now = end;
    }

    /// Runs until `is_done`, looking each 200 ms, and returns the time that passed; `None` if it isn't
    /// done after `limit`.
    pub fn run_while(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while !is_done(self) {
            if self.now >= begun + limit {
                return None;
            }
            self.run_until(self.now + Duration::from_millis(200));
        }
        Some(self.now - begun)
    }

    /// Resets the counts of what was sent and logged.
    pub fn reset_counts(&mut self) {
        self.tally = Tally::default();
        for one in &mut self.balancers {
            (one.sent_bytes, one.sent_messages) = (0, 0);
        }
    }

    /// The numbers of bytes that the balancers sent, in ascending order.
    #[must_use]
    pub fn sent_bytes(&self) -> Vec<usize> {
        let mut bytes: Vec<usize> = self.balancers.iter().map(|one| one.sent_bytes).collect();
        bytes.sort_unstable();
        bytes
    }

    /// The number of messages that all balancers sent.
    #[must_use]
    pub fn sent_messages(&self) -> usize {
        self.balancers.iter().map(|one| one.sent_messages).sum()
    }

    /// Whether every running balancer lists exactly the running ones of its data centre and, if `wide`,
    /// the representatives of each other data centre.
    #[must_use]
    pub fn is_settled(&self, wide: bool) -> bool {
        let running = |centre: usize| {
            let here = self
                .balancers
                .iter()
                .filter(move |one| one.data_centre == centre);
            here.filter(|one| one.group.is_some())
                .map(|one| one.address)
        };
        let near: Vec<Set<SocketAddrV4>> = (0..self.centres.len())
            .map(|c| running(c).collect())
            .collect();
        let representatives: Vec<Set<SocketAddrV4>> = (0..self.centres.len())
            .map(|centre| {
                let mut order: Vec<SocketAddrV4> = running(centre).collect();
                order.sort_by_key(|address| std::cmp::Reverse(rank(*address)));
                order.into_iter().take(REPRESENTATIVES).collect()
            })
            .collect();
        self.balancers.iter().all(|one| {
            let Some(group) = &one.group else {
                return true;
            };
            (0..self.centres.len()).all(|centre| {
                let listed = group.members().of(&self.centres[centre]);
                let mut count = 0;
                if centre == one.data_centre {
                    let right = listed
                        .inspect(|_| count += 1)
                        .all(|member| near[centre].contains(&member.address));
                    return right && count + 1 == near[centre].len();
                }
                let wanted = &representatives[centre];
                let right = listed
                    .inspect(|_| count += 1)
                    .all(|member| wanted.contains(&member.address));
                !wide || right && count == wanted.len()
            })
        })
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn round(&mut self, number: usize, life: u32) {
        let now = self.now;
        let one = &mut self.balancers[number];
        let Some(group) = one.group.as_mut().filter(|_| one.life == life) else {
            return;
        };
        let letters = group.round(now);
        self.send(number, letters);
        self.schedule(
            now + ROUND,
            Event::Round {
                balancer: number,
                life,
            },
        );
    }

    fn deliver(&mut self, to: usize, from: &Member, gossip: &Gossip) {
        let now = self.now;
        let Some(group) = &mut self.balancers[to].group else {
            return;
        };
        let letters = group.receive(from, gossip, now);
        self.send(to, letters);
    }

    fn send(&mut self, from: usize, letters: Vec<Letter>) {
        self.count_changes(from);
        let Some(member) = self.balancers[from]
            .group
            .as_ref()
            .map(|group| group.own().clone())
        else {
            return;
        };
        for Letter { to, gossip } in letters {
            // A size can't fail to be counted; 0 would only lower a figure.
            let size = postcard::experimental::serialized_size(&gossip).unwrap_or_default();
            self.balancers[from].sent_bytes += ENVELOPE_BYTES + size;
            self.balancers[from].sent_messages += 1;
            let lost = self.random.random_bool(self.loss);
            let Some(to) = self
                .index
                .get(&to)
                .copied()
                .filter(|to| !lost && !self.is_cut(from, *to))
            else {
                continue;
            };
            let delay = Duration::from_micros(self.random.random_range(DELAY_US));
            let from = member.clone();
            self.schedule(self.now + delay, Event::Message { to, from, gossip });
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let inside = |number: usize| Some(self.balancers[number].data_centre) == self.cut;
        inside(one) != inside(other)
    }

    fn count_changes(&mut self, number: usize) {
        let Some(group) = &mut self.balancers[number].group else {
            return;
        };
        for change in group.take_changes() {
            let Change::Lost(member) = change else {
                continue;
            };
            self.tally.lost += 1;
            let own_centre = self.balancers[number].data_centre;
            let other = &self.balancers[self.index[&member.address]];
            let runs = other
                .group
                .as_ref()
                .is_some_and(|group| group.own().incarnation == member.incarnation);
            // A representative of another data centre may be replaced by one of higher rank.
            if runs && other.data_centre == own_centre {
                self.tally.wrong += 1;
            }
        }
    }
}
