/// A hash map with a fast hasher that is seeded at random for each map.
///
/// Callers choose the keys; with a fixed seed, a caller could choose keys that all collide.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the hasher of [`Map`].
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
