use acacia_wire::{collections::Map, flow::mix};

/// Fills `buckets` buckets with servers in proportion to `weights`, moving as few buckets as
/// possible away from `previous` (empty at first). Deterministic: every balancer that builds
/// gets the same table.
///
/// Servers of weight 0 get no buckets. With no weight at all the table stays as it was.
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
    let mut left: Map<u16, usize> = quotas.iter().copied().collect();
    let mut table = vec![None; buckets];
    for bucket in scattered(buckets) {
        let Some(server) = previous.get(bucket) else {
            continue;
        };
        if let Some(left) = left.get_mut(server).filter(|left| **left > 0) {
            *left -= 1;
            table[bucket] = Some(*server);
        }
    }
    let mut rest = quotas
        .iter()
        .flat_map(|(server, _)| std::iter::repeat_n(*server, left[server]))
        .collect::<Vec<_>>();
    rest.sort_by_key(|&server| server);
    let mut rest = interleaved(rest);
    scattered(buckets)
        .into_iter()
        .filter(|&bucket| table[bucket].is_none())
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|bucket| table[bucket] = rest.pop());
    table.into_iter().flatten().collect()
}

/// `base` with every bucket of a server that is gone given to the server that `next` names.
///
/// Only for servers whose flows have ended with them, and only after every balancer has heard
/// that they take no new flows: a flow opened on the old base would otherwise be lost.
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

/// How many buckets each server gets: largest remainders.
fn quotas(buckets: usize, weights: &[(u16, u32)]) -> Vec<(u16, usize)> {
    let mut weights: Vec<_> = weights.iter().filter(|(_, weight)| *weight > 0).collect();
    weights.sort();
    let total: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let share = |weight: u32| buckets as u64 * u64::from(weight);
    let mut quotas: Vec<_> = weights
        .iter()
        .map(|(server, weight)| (*server, (share(*weight) / total) as usize))
        .collect();
    let given: usize = quotas.iter().map(|(_, quota)| quota).sum();
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
        buckets - given
    };
    order
        .into_iter()
        .take(missing)
        .for_each(|at| quotas[at].1 += 1);
    quotas
}

/// Buckets in a fixed scattered order, so that what one server loses is spread over the others.
fn scattered(buckets: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..buckets).collect();
    order.sort_by_key(|&bucket| mix(bucket as u64));
    order
}

fn interleaved(mut servers: Vec<u16>) -> Vec<u16> {
    let order = scattered(servers.len());
    let sorted = servers.clone();
    order
        .into_iter()
        .zip(sorted)
        .for_each(|(to, server)| servers[to] = server);
    servers
}
