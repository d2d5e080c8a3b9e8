use acacia_wire::{collections::Map, flow::Key, packet::Kind};

/// How balancers choose a backend server for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// Consistent hashing without per-flow state.
    Hash,
    /// Consistent hashing with a flow table local to each balancer.
    Track,
    /// The product's decision code.
    Ours,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 3] = [Policy::Hash, Policy::Track, Policy::Ours];
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Policy::Hash => "hash",
            Policy::Track => "track",
            Policy::Ours => "ours",
        })
    }
}

/// Flow table of one balancer under [`Policy::Track`].
#[derive(Debug, Default)]
pub struct Tracked {
    flows: Map<Key, u16>,
}

impl Tracked {
    /// Returns the server for a packet; `hashed` is the server that its bucket maps to at present.
    pub fn resolve(&mut self, key: &Key, kind: Kind, hashed: u16) -> u16 {
        match kind {
            Kind::Closing | Kind::Reset => self.flows.remove(key).unwrap_or(hashed),
            Kind::Opening { .. } => {
                self.flows.insert(*key, hashed);
                hashed
            }
            _ => *self.flows.entry(*key).or_insert(hashed),
        }
    }

    /// Estimated heap size of the flow table in bytes: a hash map holds 7 entries per 8 slots, each
    /// slot with one control byte.
    pub fn bytes(&self) -> usize {
        self.flows.capacity() * 8 / 7 * (size_of::<(Key, u16)>() + 1)
    }
}
