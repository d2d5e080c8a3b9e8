use acacia_wire::flow::mix;

/// One run of a balancer's process.
///
/// A restarted balancer has lost the pins of its previous run, so it counts as a different node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Node {
    /// Number of the balancer.
    pub id: u16,
    /// Increases with every start of the process.
    pub incarnation: u64,
}

/// Returns the two nodes that rank highest for the flow with hash `hash` (rendezvous hashing).
/// Adding or removing one node changes at most one of the two.
///
/// ```
/// use acacia_flow::rank::{top_two, Node};
/// let nodes: Vec<Node> = (0..8).map(|id| Node { id, incarnation: 1 }).collect();
/// let [first, second] = top_two(42, &nodes);
/// assert_ne!(first, second);
/// assert_eq!(top_two(42, &nodes[..0]), [None, None]);
/// ```
#[must_use]
pub fn top_two(hash: u64, nodes: &[Node]) -> [Option<Node>; 2] {
    let mut best: [Option<(u64, Node)>; 2] = [None; 2];
    for &node in nodes {
        let weight = Some((mix(hash ^ (u64::from(node.id) << 48)), node));
        if weight > best[0] {
            best = [weight, best[0]];
        } else if weight > best[1] {
            best[1] = weight;
        }
    }
    best.map(|entry| entry.map(|(_, node)| node))
}

/// Digest of a set of nodes; equal sets have equal digests, whatever their order.
///
/// ```
/// use acacia_flow::rank::{digest, Node};
/// assert_ne!(digest(&[]), digest(&[Node { id: 1, incarnation: 1 }]));
/// ```
#[must_use]
pub fn digest(nodes: &[Node]) -> u64 {
    nodes.iter().fold(mix(0), |sum, node| {
        sum.wrapping_add(mix(mix(u64::from(node.id)) ^ node.incarnation))
    })
}
