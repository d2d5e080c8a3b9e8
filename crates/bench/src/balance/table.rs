use acacia_wire::flow::mix;

/// Number of buckets in a service's table.
pub const BUCKETS: usize = 4_096;

/// Maps each bucket to its first and second choice of server.
#[derive(Debug, Clone)]
pub struct Table {
    first: Vec<u16>,
    second: Vec<u16>,
}

/// Weighted rendezvous hashing score of a server for a bucket (Thaler and Ravishankar, 1996).
fn score(bucket: usize, server: usize, weight: f64) -> f64 {
    let hash = mix((bucket as u64) << 16 | server as u64);
    let unit = (hash >> 11) as f64 / (1u64 << 53) as f64;
    if weight > 0.0 {
        -weight / unit.max(1e-300).ln()
    } else {
        0.0
    }
}

impl Table {
    /// Builds a table in which each server has buckets in exact proportion to its weight. Buckets
    /// move away from their server in `old` only where it exceeds its quota.
    #[must_use]
    pub fn new(weights: &[f64], old: Option<&Table>) -> Self {
        let sum: f64 = weights.iter().sum();
        let mut left = quotas(weights, sum);
        let mut first = vec![u16::MAX; BUCKETS];
        let best = |bucket: usize, usable: &dyn Fn(usize) -> bool| {
            let servers = (0..weights.len()).filter(|server| usable(*server));
            servers.max_by(|a, b| {
                score(bucket, *a, weights[*a]).total_cmp(&score(bucket, *b, weights[*b]))
            })
        };
        for (bucket, first) in first.iter_mut().enumerate() {
            let wanted = match old {
                Some(old) => usize::from(old.first[bucket]),
                None => best(bucket, &|_| true).unwrap_or(0),
            };
            if left[wanted] > 0 {
                left[wanted] -= 1;
                *first = wanted as u16;
            }
        }
        for (bucket, first) in first.iter_mut().enumerate() {
            if *first == u16::MAX {
                let server = best(bucket, &|server| left[server] > 0).unwrap_or(0);
                left[server] = left[server].saturating_sub(1);
                *first = server as u16;
            }
        }
        let second = first.iter().enumerate().map(|(bucket, first)| {
            best(bucket, &|server| server != usize::from(*first)).unwrap_or(0) as u16
        });
        let second = second.collect();
        Table { first, second }
    }

    /// Returns the first and second choice of a bucket.
    #[must_use]
    pub fn ranked(&self, bucket: usize) -> [u16; 2] {
        [self.first[bucket], self.second[bucket]]
    }
}

/// Number of buckets of each server, by the largest remainder method.
fn quotas(weights: &[f64], sum: f64) -> Vec<usize> {
    let exact: Vec<f64> = weights
        .iter()
        .map(|weight| weight / sum * BUCKETS as f64)
        .collect();
    let mut quotas: Vec<usize> = exact.iter().map(|exact| exact.floor() as usize).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let odd = BUCKETS - quotas.iter().sum::<usize>();
    for server in order.into_iter().take(odd) {
        quotas[server] += 1;
    }
    quotas
}
