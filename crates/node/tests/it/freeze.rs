//! Control cores of several balancers without I/O, of which one is suspended.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use acacia_flow::{Shards, rank::Node, shard::Limits};
use acacia_node::{
    control::core::{Core, Outcome, Outgoing},
    settings::Settings,
    view::View,
};
use acacia_wire::control::Envelope;
use rstest::rstest;

use crate::status::{config_event, tables, tables_event, with_server_added};

const START: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(50);
/// Longer than balancers that start together need to become owners of flows.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// The first incarnation of all balancers.
const FIRST: u64 = 7;

struct Balancer {
    id: u16,
    core: Core,
    shards: Shards,
    incarnation: u64,
    sequence: u64,
    view: Option<View>,
    /// How often the core asked for all pins to be cleared.
    pins_cleared: usize,
    suspended_until: Duration,
}

impl Balancer {
    fn start(id: u16, of: u16) -> Self {
        let mut core = Core::new(Arc::new(settings(id, of)), FIRST, START);
        let first = with_server_added(None);
        core.handle_platform_event(START, config_event(&first));
        core.handle_platform_event(START, tables_event(&tables(None, &first)));
        Balancer {
            id,
            core,
            shards: Shards::new(2, Limits::default()),
            incarnation: FIRST,
            sequence: 0,
            view: None,
            pins_cleared: 0,
            suspended_until: Duration::ZERO,
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let Outcome {
            outgoing,
            incarnation,
            view,
            forget,
            ..
        } = self.core.tick(now, Duration::ZERO, &self.shards);
        self.incarnation = incarnation;
        self.view = view;
        self.pins_cleared += usize::from(forget);
        outgoing
    }

    fn owns(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.snapshot.owner)
    }

    /// Returns the balancers that this one considers to hold all pins.
    fn settled(&self) -> Vec<Node> {
        let view = self.view.as_ref().expect("a view");
        view.snapshot.settled.to_vec()
    }
}

fn settings(id: u16, of: u16) -> Settings {
    let host = |id: u16| format!("127.0.0.{id}");
    let key = "00".repeat(32);
    let mut text = format!(
        "[balancer]\nid = {id}\ndata_centre = hervanta\n\
         [traffic]\nlisten = {host}:6080\nthreads = 1\ngateway = {host}:6084\n\
         [control]\nlisten = {host}:6081\nkey = {key}\n\
         [admin]\nlisten = {host}:6082\n[platform]\naddress = {host}:6083\n",
        host = host(id)
    );
    for peer in (1..=of).filter(|peer| *peer != id) {
        let address = host(peer);
        text += &format!("[peer.{peer}]\ndata_centre = lielahti\ncontrol = {address}:6081\n");
    }
    Settings::parse(&text).unwrap()
}

struct Fleet {
    now: Duration,
    balancers: Vec<Balancer>,
}

impl Fleet {
    fn settled(count: u16) -> Self {
        let balancers = (1..=count).map(|id| Balancer::start(id, count));
        let mut fleet = Fleet {
            now: START,
            balancers: balancers.collect(),
        };
        fleet.run(SETTLE_TIME);
        assert!(fleet.balancers.iter().all(Balancer::owns));
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.step();
        }
    }

    /// Ticks every running balancer and delivers its messages. Messages to a suspended balancer are
    /// lost.
    fn step(&mut self) {
        let mut queue = VecDeque::new();
        for balancer in &mut self.balancers {
            if self.now >= balancer.suspended_until {
                let from = (balancer.id, balancer.tick(self.now), balancer.incarnation);
                queue.push_back(from);
            }
        }
        while let Some((sender, messages, incarnation)) = queue.pop_front() {
            for Outgoing { to, message, .. } in messages {
                let from = &mut self.balancers[usize::from(sender) - 1];
                from.sequence += 1;
                let envelope = Envelope {
                    sender,
                    incarnation,
                    sequence: from.sequence,
                };
                let to = &mut self.balancers[usize::from(to) - 1];
                if self.now < to.suspended_until {
                    continue;
                }
                let answers = to.core.receive(self.now, &envelope, message, &to.shards);
                queue.push_back((to.id, answers.unwrap_or_default(), to.incarnation));
            }
        }
    }

    fn suspend(&mut self, id: u16, time: Duration) {
        self.balancers[usize::from(id) - 1].suspended_until = self.now + time;
    }
}

fn node(id: u16, incarnation: u64) -> Node {
    Node { id, incarnation }
}

/// A balancer's VM is paused for some seconds, and the only other owner of some of its flows dies
/// meanwhile. The balancer rejoins as a new member, but must still count as the owner of these
/// flows. If the others considered its pins lost, they would forward the flows' packets to their
/// base servers, which reset them, and the callers' feeds would end.
#[rstest]
#[case::not_considered_dead(Duration::from_secs(3))]
#[case::considered_dead(Duration::from_secs(8))]
#[case::just_short_of_the_limit(Duration::from_millis(14_900))]
fn a_suspended_balancer_stays_the_owner_of_its_flows(#[case] time: Duration) {
    let mut fleet = Fleet::settled(3);

    fleet.suspend(3, time);
    fleet.run(time + SETTLE_TIME);

    let owners = [node(1, FIRST), node(2, FIRST), node(3, FIRST)];
    assert_eq!(fleet.balancers[2].incarnation, FIRST + 1, "a new member");
    assert_eq!(fleet.balancers[2].pins_cleared, 0);
    for balancer in &fleet.balancers {
        assert_eq!(balancer.settled(), owners, "at {}", balancer.id);
        assert!(balancer.owns(), "{}", balancer.id);
    }
}

/// Two short suspensions, then one beyond the limit. By then callers may have closed flows and
/// reused their ports, so the pins may be wrong. The balancer must clear them, and the others must
/// know it as a new owner.
#[test]
fn a_balancer_suspended_for_too_long_clears_its_pins() {
    let mut fleet = Fleet::settled(3);
    for secs in [2, 4, 16] {
        fleet.suspend(2, Duration::from_secs(secs));
        fleet.run(Duration::from_secs(secs) + SETTLE_TIME * 2);
    }

    let owners = [node(1, FIRST), node(2, FIRST + 3), node(3, FIRST)];
    assert_eq!(fleet.balancers[1].pins_cleared, 1);
    for balancer in &fleet.balancers {
        assert_eq!(balancer.settled(), owners, "at {}", balancer.id);
    }
}
