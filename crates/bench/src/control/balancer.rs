use std::{collections::VecDeque, sync::Arc, time::Duration};

use acacia_flow::{Shards, shard::Limits};
use acacia_node::{
    control::core::{Core, Outgoing},
    settings::Settings,
    view::View,
};
use acacia_peer::Bucket;

/// Number of shards, as in the daemon.
const SHARDS: usize = 16;

/// Control plane of one balancer and its pending output.
pub(super) struct Balancer {
    pub(super) core: Core,
    pub(super) shards: Shards,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    /// Kept here as the traffic threads of the daemon keep it.
    pub(super) view: Option<View>,
    /// Byte budget of its connections, if the run enforces one.
    pub(super) bucket: Option<Bucket>,
    /// Bulk messages waiting for the byte budget.
    pub(super) waiting: VecDeque<Outgoing>,
}

impl Balancer {
    /// Creates a balancer that has just started.
    pub(super) fn new(
        id: u16,
        peers: u16,
        incarnation: u64,
        now: Duration,
    ) -> anyhow::Result<Self> {
        let settings = Settings::parse(&settings(id, peers))?;
        Ok(Balancer {
            core: Core::new(Arc::new(settings), incarnation, now),
            shards: Shards::new(SHARDS, Limits::default()),
            incarnation,
            sequence: 0,
            view: None,
            bucket: None,
            waiting: VecDeque::new(),
        })
    }

    /// Returns the next bulk message that the byte budget admits. The budget is charged on sending.
    pub(super) fn next_bulk(&mut self, now: Duration) -> Option<Outgoing> {
        let has_room = |bucket: &mut Bucket| bucket.has_room(now);
        let free = self.bucket.as_mut().is_none_or(has_room);
        free.then(|| self.waiting.pop_front()).flatten()
    }

    /// Number of pins that the balancer holds.
    pub(super) fn pins(&self) -> usize {
        let shards = 0..self.shards.count();
        shards.map(|index| self.shards.at(index).len()).sum()
    }
}

/// Builds the settings of a balancer, with all other balancers configured as its peers.
fn settings(id: u16, peers: u16) -> String {
    use std::fmt::Write as _;
    let mut text = format!(
        "[balancer]\nid = {id}\ndata_centre = hervanta\n\
         [traffic]\nlisten = 10.9.0.{id}:6080\ngateway = 10.9.255.1:6080\n\
         [control]\nlisten = 10.9.0.{id}:6081\nkey = {}\n\
         [admin]\nlisten = 10.9.0.{id}:6082\n\
         [platform]\naddress = 10.9.255.2:6083\n",
        "07".repeat(32)
    );
    for peer in (0..peers).filter(|peer| *peer != id) {
        // Writing to a `String` never fails.
        let _ = write!(
            text,
            "[peer.{peer}]\ncontrol = 10.9.0.{peer}:6081\ndata_centre = hervanta\n"
        );
    }
    text
}
