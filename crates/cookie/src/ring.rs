//! Positions of servers in the order of their hashes, from which a new flow's candidates are drawn.
//!
//! A pass over all servers of a service for each new flow costs milliseconds in a large fleet. The
//! candidates are instead a few neighbours in the ring, at a place that the flow's hash determines. All
//! balancers derive nearly the same candidates, also while one of them doesn't know of a change yet: a
//! server that comes or goes shifts each window by a place at most.

use std::sync::Arc;

use acacia_wire::flow::mix;

/// A server's entry in a ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    hash: u64,
    position: u32,
}

/// The servers of one service in one data centre. A clone shares its memory with the original.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ring {
    entries: imbl::Vector<Entry>,
}

impl Ring {
    /// Adds the server at `position`, or does nothing if it is there.
    pub fn insert(&mut self, hash: u64, position: u32) {
        let entry = Entry { hash, position };
        if let Err(place) = self.entries.binary_search(&entry) {
            self.entries.insert(place, entry);
        }
    }

    /// Removes the server at `position`.
    pub fn remove(&mut self, hash: u64, position: u32) {
        if let Ok(place) = self.entries.binary_search(&Entry { hash, position }) {
            self.entries.remove(place);
        }
    }

    /// The number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The positions of all servers.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.entries.iter().map(|entry| entry.position)
    }

    /// The positions of `count` neighbours at a place that `draw` determines; of all servers if there are
    /// no more.
    pub fn window(&self, draw: u64, count: usize) -> impl Iterator<Item = u32> {
        let len = self.len();
        let first = place(draw, len);
        let places = (first..len).chain(0..first).take(count);
        places.map(|place| self.entries[place].position)
    }
}

/// A place below `len`, in proportion to `draw`, so that it moves little when `len` changes.
fn place(draw: u64, len: usize) -> usize {
    ((u128::from(draw) * len as u128) >> u64::BITS) as usize
}

/// The servers of one service that take new flows, by data centre. A clone shares its memory with the
/// original.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rings {
    rings: Vec<(Arc<str>, Ring)>,
}

/// The candidates for a new flow.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Draw {
    /// Positions of servers in the own data centre, or of any if it has none.
    pub near: Vec<u32>,
    /// Positions of servers in other data centres.
    pub far: Vec<u32>,
    /// How many servers of other data centres each of `far` stands for, in relation to how many near ones
    /// each of `near` stands for.
    pub far_scale: f64,
}

/// Number of servers up to which all of a service are candidates.
const ALL: usize = 40;
/// Number of candidates in the own data centre.
const NEAR: usize = 16;
/// Number of candidates in another data centre.
const FAR: usize = 4;
/// Makes the draw of the other data centre independent of that of the window.
const FAR_SALT: u64 = 0x6661_7220_7a6f_6e65;

impl Rings {
    /// Adds a server.
    pub fn insert(&mut self, data_centre: &Arc<str>, hash: u64, position: u32) {
        let found = self.rings.iter().position(|(name, _)| name == data_centre);
        let place = found.unwrap_or_else(|| {
            self.rings.push((Arc::clone(data_centre), Ring::default()));
            self.rings.len() - 1
        });
        self.rings[place].1.insert(hash, position);
    }

    /// Removes a server.
    pub fn remove(&mut self, data_centre: &str, hash: u64, position: u32) {
        for (name, ring) in &mut self.rings {
            if **name == *data_centre {
                ring.remove(hash, position);
            }
        }
        self.rings.retain(|(_, ring)| !ring.is_empty());
    }

    /// The number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rings.iter().map(|(_, ring)| ring.len()).sum()
    }

    /// Whether there is no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rings.is_empty()
    }

    /// The positions of all servers.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.rings.iter().flat_map(|(_, ring)| ring.iter())
    }

    /// The positions of up to `count` servers that `flow` determines, from all data centres in proportion
    /// to their numbers of servers.
    pub fn sample(&self, flow: u64, count: usize) -> impl Iterator<Item = u32> {
        let all = self.len().max(1);
        let draw = mix(flow);
        self.rings.iter().flat_map(move |(_, ring)| {
            let part = (ring.len() * count).div_ceil(all);
            ring.window(draw, part)
        })
    }

    /// The candidates for a new flow at a balancer in `data_centre`: all servers of a small service, else a
    /// few of the own data centre and of one other, which `flow` determines.
    ///
    /// ```
    /// use acacia_cookie::ring::Rings;
    /// let mut rings = Rings::default();
    /// for position in 0..1_000 {
    ///     let centre = if position % 2 == 0 { "a" } else { "b" };
    ///     rings.insert(&centre.into(), acacia_wire::flow::mix(position.into()), position);
    /// }
    /// let draw = rings.draw("a", 7);
    /// assert!(draw.near.iter().all(|position| position % 2 == 0));
    /// assert!(draw.near.len() + draw.far.len() < 40);
    /// ```
    #[must_use]
    pub fn draw(&self, data_centre: &str, flow: u64) -> Draw {
        let own = self.rings.iter().find(|(name, _)| **name == *data_centre);
        let own = own.map(|(_, ring)| ring);
        let len = self.len();
        if len <= ALL {
            return self.all(data_centre);
        }
        let far_len = len - own.map_or(0, Ring::len);
        let far = self.other(data_centre, far_len, mix(flow ^ FAR_SALT));
        let draw = mix(flow);
        let (Some(own), Some(far)) = (own, far) else {
            let only = own.or(far).into_iter();
            return Draw {
                near: only.flat_map(|ring| ring.window(draw, NEAR)).collect(),
                far: Vec::new(),
                far_scale: 1.0,
            };
        };
        let near: Vec<u32> = own.window(draw, NEAR).collect();
        let far: Vec<u32> = far.window(draw, FAR).collect();
        let scale = |all: usize, drawn: &[u32]| all as f64 / drawn.len().max(1) as f64;
        Draw {
            far_scale: scale(far_len, &far) / scale(own.len(), &near),
            near,
            far,
        }
    }

    /// The candidates for a new flow among the servers of one data centre, which `flow` determines.
    ///
    /// ```
    /// use acacia_cookie::ring::Rings;
    /// let mut rings = Rings::default();
    /// rings.insert(&"a".into(), 1, 0);
    /// rings.insert(&"b".into(), 2, 1);
    /// assert_eq!(rings.draw_within("b", 7).near, [1]);
    /// ```
    #[must_use]
    pub fn draw_within(&self, data_centre: &str, flow: u64) -> Draw {
        let ring = self.rings.iter().find(|(name, _)| **name == *data_centre);
        let near = ring.map(|(_, ring)| ring.window(mix(flow), NEAR).collect());
        Draw {
            near: near.unwrap_or_default(),
            far: Vec::new(),
            far_scale: 1.0,
        }
    }

    fn all(&self, data_centre: &str) -> Draw {
        let (near, far): (Vec<_>, Vec<_>) = self
            .rings
            .iter()
            .partition(|(name, _)| **name == *data_centre);
        let positions = |rings: Vec<&(Arc<str>, Ring)>| {
            rings
                .into_iter()
                .flat_map(|(_, ring)| ring.iter())
                .collect()
        };
        Draw {
            near: positions(near),
            far: positions(far),
            far_scale: 1.0,
        }
    }

    /// The ring of another data centre, each with a probability in proportion to its `len` servers in all.
    fn other(&self, data_centre: &str, len: usize, draw: u64) -> Option<&Ring> {
        let mut place = place(draw, len);
        let others = self.rings.iter().filter(|(name, _)| **name != *data_centre);
        for (_, ring) in others {
            if place < ring.len() {
                return Some(ring);
            }
            place -= ring.len();
        }
        None
    }
}
