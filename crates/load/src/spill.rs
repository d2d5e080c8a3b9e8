use std::sync::Arc;

/// Ratio of a data centre's demand to the capacity of its servers up to which its flows stay there.
/// Answers of servers with a few slots take longer above it, since some are full while others are idle;
/// below it, a path through another data centre gains nothing.
const MIN_FILL: f64 = 0.7;
/// Bound on demand and capacity, which keeps all sums and products finite.
const MAX_RATE: f64 = 1e12;

/// Servers of one service in a data centre, and its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Centre {
    /// The data centre.
    pub name: Arc<str>,
    /// Requests per second that its servers can process. Negative numbers and NaN count as 0.
    pub capacity: f64,
    /// Requests per second of its callers. Negative numbers and NaN count as 0.
    pub demand: f64,
}

impl Centre {
    fn capacity(&self) -> f64 {
        bounded(self.capacity)
    }

    fn demand(&self) -> f64 {
        bounded(self.demand)
    }
}

/// `f64::max` returns the other operand for NaN, which `f64::clamp` would keep.
const fn bounded(rate: f64) -> f64 {
    rate.max(0.0).min(MAX_RATE)
}

/// Part of a data centre's new flows that goes to the servers of another one.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The other data centre.
    pub data_centre: Arc<str>,
    /// The fraction of new flows.
    pub part: f64,
}

/// Returns the parts of the new flows of the data centre `own` that go to other data centres. `centres`
/// includes `own`, with capacity 0 if it has no servers.
///
/// With a flood of callers of one data centre, its servers would be full while others are idle. Up
/// to [`MIN_FILL`] of its own servers' capacity, and up to the mean of all if that is higher, a data centre
/// keeps its flows. What exceeds this is distributed over the other data centres in proportion to what
/// each has left below the same ratio. All balancers of a data centre compute the same parts, and those of
/// different data centres together fill none beyond the mean.
///
/// ```
/// use acacia_load::spill::{Centre, shares};
/// let centre = |name: &str, demand| Centre { name: name.into(), capacity: 100.0, demand };
/// let centres = [centre("a", 140.0), centre("b", 20.0), centre("c", 20.0)];
/// let parts: Vec<f64> = shares("a", &centres).iter().map(|share| share.part).collect();
/// assert!(parts.iter().all(|part| (part - 0.25).abs() < 1e-9), "{parts:?}");
/// assert!(shares("b", &centres).is_empty());
/// ```
#[must_use]
pub fn shares(own: &str, centres: &[Centre]) -> Vec<Share> {
    let capacity: f64 = centres.iter().map(|centre| centre.capacity()).sum();
    let demand: f64 = centres.iter().map(|centre| centre.demand()).sum();
    let Some(near) = centres.iter().find(|centre| *centre.name == *own) else {
        return Vec::new();
    };
    if capacity <= 0.0 || near.demand() <= 0.0 {
        return Vec::new();
    }
    let fill = MIN_FILL.max(demand / capacity);
    let excess = near.demand() - fill * near.capacity();
    let others = centres.iter().filter(|centre| *centre.name != *own);
    let room = |centre: &Centre| (fill * centre.capacity() - centre.demand()).max(0.0);
    let free: f64 = others.clone().map(room).sum();
    if excess <= 0.0 || free <= 0.0 {
        return Vec::new();
    }
    let part = (excess / near.demand()).min(1.0);
    let share = |centre: &Centre| Share {
        data_centre: Arc::clone(&centre.name),
        part: part * room(centre) / free,
    };
    let shares = others.map(share);
    shares.filter(|share| share.part > 0.0).collect()
}
