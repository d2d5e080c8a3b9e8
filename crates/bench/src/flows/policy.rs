use acacia_wire::{collections::Map, flow::Key, packet::Kind};

/// A way of sending packets to backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// Consistent hashing alone.
    Hash,
    /// Consistent hashing, and each balancer remembers the flows it has seen.
    Track,
    /// The product's decision code.
    Ours,
}

impl Policy {
    /// All of them.
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

/// One balancer's memory under [`Policy::Track`].
#[derive(Debug, Default)]
pub struct Tracked {
    flows: Map<Key, u16>,
}

impl Tracked {
    /// The server for a packet whose bucket belongs to `hashed` now.
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

    /// Bytes of the memory.
    pub fn bytes(&self) -> usize {
        self.flows.capacity() * 8 / 7 * (size_of::<(Key, u16)>() + 1)
    }
}
