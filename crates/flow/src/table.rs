use acacia_wire::{collections::Map, flow::mix};

/// Assigns `buckets` buckets to servers in proportion to `weights`, moving as few buckets as
/// possible away from `previous`, which is empty for the first table. Deterministic: every balancer
/// computes the same table from the same input.
///
/// Servers with weight 0 get no buckets. If all weights are 0, `previous` is returned unchanged.
///
/// ```
/// use acacia_flow::table::build;
/// let first = build(100, &[(1, 1), (2, 1)], &[]);
/// let second = build(100, &[(1, 1), (2, 1), (3, 2)], &first);
/// assert_eq!(second.iter().filter(|&&server| server == 3).count(), 50);
/// let moved = first.iter().zip(&second).filter(|(a, b)| a != b).count();
/// assert_eq!(moved, 50);
/// ```
#[must_use]
pub fn build(buckets: usize, weights: &[(u16, u32)], previous: &[u16]) -> Vec<u16> {
    let quotas = quotas(buckets, weights);
    if quotas.is_empty() {
        return previous.to_vec();
    }
    let mut remaining: Map<u16, usize> = quotas.iter().copied().collect();
    let mut table = vec![None; buckets];
    for bucket in shuffled(buckets) {
        let Some(server) = previous.get(bucket) else {
            continue;
        };
        if let Some(remaining) = remaining
            .get_mut(server)
            .filter(|remaining| **remaining > 0)
        {
            *remaining -= 1;
            table[bucket] = Some(*server);
        }
    }
    let mut unassigned = quotas
        .iter()
        .flat_map(|(server, _)| std::iter::repeat_n(*server, remaining[server]))
        .collect::<Vec<_>>();
    unassigned.sort_by_key(|&server| server);
    let mut unassigned = shuffled_servers(unassigned);
    shuffled(buckets)
        .into_iter()
        .filter(|&bucket| table[bucket].is_none())
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|bucket| table[bucket] = unassigned.pop());
    table.into_iter().flatten().collect()
}

/// Returns `base` with every bucket of a removed server reassigned to its server in `next`.
///
/// Call this only for servers whose flows ended with them, and only after every balancer knows that
/// they take no new flows: a flow opened on the old base would otherwise be lost.
///
/// ```
/// use acacia_flow::table::rebase;
/// assert_eq!(rebase(&[1, 2, 1], &[3, 2, 1], |server| server == 1), [3, 2, 1]);
/// ```
#[must_use]
pub fn rebase(base: &[u16], next: &[u16], is_gone: impl Fn(u16) -> bool) -> Vec<u16> {
    base.iter()
        .zip(next)
        .map(|(&base, &next)| if is_gone(base) { next } else { base })
        .collect()
}

/// Number of buckets per server, by the largest remainder method.
fn quotas(buckets: usize, weights: &[(u16, u32)]) -> Vec<(u16, usize)> {
    let mut weights: Vec<_> = weights.iter().filter(|(_, weight)| *weight > 0).collect();
    weights.sort();
    let total: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let share = |weight: u32| buckets as u64 * u64::from(weight);
    let mut quotas: Vec<_> = weights
        .iter()
        .map(|(server, weight)| (*server, (share(*weight) / total) as usize))
        .collect();
    let assigned: usize = quotas.iter().map(|(_, quota)| quota).sum();
    let mut order: Vec<usize> = (0..quotas.len()).collect();
    order.sort_by_key(|&at| {
        (
            std::cmp::Reverse(share(weights[at].1) % total),
            quotas[at].0,
        )
    });
    let missing = if quotas.is_empty() {
        0
    } else {
        buckets - assigned
    };
    order
        .into_iter()
        .take(missing)
        .for_each(|at| quotas[at].1 += 1);
    quotas
}

/// Buckets in a fixed pseudo-random order, so that the buckets one server loses are spread over the
/// others.
fn shuffled(buckets: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..buckets).collect();
    order.sort_by_key(|&bucket| mix(bucket as u64));
    order
}

/// Permutes `servers` by the order of [`shuffled`], so that equal entries are spread out.
fn shuffled_servers(mut servers: Vec<u16>) -> Vec<u16> {
    let order = shuffled(servers.len());
    let sorted = servers.clone();
    order
        .into_iter()
        .zip(sorted)
        .for_each(|(to, server)| servers[to] = server);
    servers
}
