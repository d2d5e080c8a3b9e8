use std::{collections::VecDeque, sync::Arc, time::Duration};

use acacia_flow::{Shards, shard::Limits};
use acacia_node::{
    control::core::{Core, Outgoing},
    settings::Settings,
    view::View,
};
use acacia_peer::Bucket;

/// Shards, as in the daemon.
const SHARDS: usize = 16;

/// A balancer's control, with what it has to say.
pub(super) struct Balancer {
    pub(super) core: Core,
    pub(super) shards: Shards,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    /// Held as the traffic threads hold it.
    pub(super) view: Option<View>,
    /// The byte budget of its connections, where it is kept to.
    pub(super) bucket: Option<Bucket>,
    /// Bulk messages that wait for it.
    pub(super) waiting: VecDeque<Outgoing>,
}

impl Balancer {
    /// One that has just started.
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

    /// The bulk message that may go now; it is charged for when it is sent.
    pub(super) fn next_bulk(&mut self, now: Duration) -> Option<Outgoing> {
        let has_room = |bucket: &mut Bucket| bucket.has_room(now);
        let free = self.bucket.as_mut().is_none_or(has_room);
        free.then(|| self.waiting.pop_front()).flatten()
    }

    /// Pins that it holds.
    pub(super) fn pins(&self) -> usize {
        let shards = 0..self.shards.count();
        shards.map(|index| self.shards.at(index).len()).sum()
    }
}

/// A balancer's settings: the others are its peers from the start.
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
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[peer.{peer}]\ncontrol = 10.9.0.{peer}:6081\ndata_centre = hervanta\n"
        );
    }
    text
}
