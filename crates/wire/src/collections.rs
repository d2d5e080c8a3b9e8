/// A hash map with a fast hasher, randomly seeded per map: callers choose the keys, and a fixed
/// seed would let one of them pile its flows into a single chain.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// The set that goes with [`Map`].
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
