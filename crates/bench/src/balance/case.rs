use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// A deployment's service and its servers.
#[derive(Debug)]
pub struct Site {
    /// For `--sites`.
    pub name: &'static str,
    /// The service.
    pub service: &'static str,
    /// Its backend servers.
    pub hosts: usize,
    /// Slots of each.
    pub slots: u32,
    /// Time there and back between caller and backend server, through a balancer, in seconds.
    pub round_trip: f64,
}

/// Both deployments, their large service and the small one.
pub const SITES: &[Site] = &[
    Site {
        name: "tampere",
        service: "talkoo-live",
        hosts: 15,
        slots: 2,
        round_trip: 0.004,
    },
    Site {
        name: "tampere",
        service: "karttapalvelu",
        hosts: 4,
        slots: 2,
        round_trip: 0.004,
    },
    Site {
        name: "lima",
        service: "matricula",
        hosts: 15,
        slots: 3,
        round_trip: 0.003,
    },
    Site {
        name: "lima",
        service: "recetario",
        hosts: 4,
        slots: 3,
        round_trip: 0.003,
    },
];

/// Connections that a backend server holds open.
pub const CONNECTIONS: u32 = 2_000;
/// When a case's event happens and measuring begins, in seconds; by then weights have settled.
pub const BEGIN: f64 = 60.0;
/// When a passing fault ends, in seconds.
pub const HEAL: f64 = 90.0;
/// When arrivals end, in seconds.
pub const END: f64 = 120.0;

/// A stretch of demand, as parts of the pool's true capacity.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// From this second on.
    pub from: f64,
    /// Of paying callers.
    pub paying: f64,
    /// Of callers on trial.
    pub trial: f64,
}

/// What goes wrong at [`BEGIN`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One fast server is four times as slow until [`HEAL`].
    Slow,
    /// One server answers nothing until [`HEAL`]; its health endpoint says fine.
    Hung,
    /// One server resets most openings until [`HEAL`].
    Shed,
    /// One server joins, a tenth as fast at first and warm after 20 s.
    Cold,
    /// One balancer of eight dies for good; the fabric and its peers notice after 2 s.
    Balancer,
    /// Balancers hear nothing of each other until [`HEAL`].
    Silence,
    /// A slow server's health endpoint, 10 s late, and that of a fine server say it fails.
    Lies,
}

/// A case to run.
#[derive(Debug, Clone)]
pub struct Case {
    /// For `--cases`.
    pub name: &'static str,
    /// Demand over time, in order.
    pub demand: Vec<Demand>,
    /// What goes wrong.
    pub fault: Fault,
    /// Part of the flows that fall into a few buckets.
    pub skew: f64,
}

fn demand(from: f64, paying: f64, trial: f64) -> Demand {
    Demand {
        from,
        paying,
        trial,
    }
}

impl Case {
    /// Every case.
    #[must_use]
    pub fn all() -> Vec<Case> {
        let usual = || vec![demand(0.0, 0.5, 0.2)];
        let case = |name, demand, fault| Case {
            name,
            demand,
            fault,
            skew: 0.0,
        };
        let bursts = (0..8).flat_map(|number| {
            let from = 15.0 * f64::from(number);
            [demand(from, 0.8, 0.2), demand(from + 2.0, 0.35, 0.15)]
        });
        vec![
            case("steady", usual(), Fault::None),
            case("burst", bursts.collect(), Fault::None),
            Case {
                skew: 0.1,
                ..case("skew", usual(), Fault::None)
            },
            case("slow", usual(), Fault::Slow),
            case("hung", usual(), Fault::Hung),
            case("shed", usual(), Fault::Shed),
            case("lies", usual(), Fault::Lies),
            case("cold", usual(), Fault::Cold),
            case("balancer", usual(), Fault::Balancer),
            case("silence", usual(), Fault::Silence),
            case(
                "flood",
                vec![demand(0.0, 0.5, 0.2), demand(BEGIN, 0.5, 2.0)],
                Fault::None,
            ),
            case(
                "flood-first",
                vec![demand(0.0, 0.0, 2.0), demand(BEGIN, 0.5, 2.0)],
                Fault::None,
            ),
            case(
                "flood-return",
                vec![
                    demand(0.0, 0.5, 0.2),
                    demand(10.0, 0.0, 2.0),
                    demand(BEGIN, 0.5, 2.0),
                ],
                Fault::None,
            ),
            case(
                "flood-balancer",
                vec![demand(0.0, 0.5, 0.2), demand(BEGIN - 10.0, 0.5, 2.0)],
                Fault::Balancer,
            ),
            case(
                "saturation",
                vec![demand(0.0, 0.5, 0.2), demand(30.0, 1.2, 0.8)],
                Fault::None,
            ),
            case(
                "enrolment",
                vec![demand(0.0, 0.4, 0.1), demand(BEGIN, 0.85, 0.3)],
                Fault::None,
            ),
        ]
    }
}

/// A case at a site: true speeds and rates.
#[derive(Debug)]
pub struct Scene {
    /// The case.
    pub case: Case,
    /// Slots of each server.
    pub slots: u32,
    /// Time there and back, in seconds.
    pub round_trip: f64,
    /// True speed of each server, 1 to 4.
    pub speeds: Vec<f64>,
    /// Mean work of a short request at speed 1, in seconds.
    pub work: f64,
    /// Mean work of a flow over all kinds.
    pub mean: f64,
    /// Part of the acknowledgements that callers may delay, so that their times tell nothing.
    pub delayed: f64,
    /// Whether the writing balancer's view is printed every second.
    pub trace: bool,
    /// Flows a second that all servers together can work through.
    pub capacity: f64,
}

/// Part of the flows that are long work (a slow report, a large map).
pub const LONG: f64 = 0.05;
/// Work of long over that of short ones.
pub const LONGER: f64 = 6.0;
/// Part of the flows that stay open as feeds after their answer.
pub const FEEDS: f64 = 0.02;
/// Mean life of a feed, in seconds.
pub const FEED_LIFE: f64 = 60.0;

impl Scene {
    /// Draws the speeds: one server of speed 4, one of speed 1, the rest between.
    #[must_use]
    pub fn new(site: &Site, case: &Case, work: f64, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x5eed);
        let mut speeds: Vec<f64> = (0..site.hosts)
            .map(|_| rng.random_range(1.0..=4.0))
            .collect();
        speeds[0] = 4.0;
        speeds[1] = 1.0;
        let mean = work * (1.0 - LONG + LONG * LONGER);
        let usable = if case.fault == Fault::Cold {
            &speeds[1..]
        } else {
            &speeds[..]
        };
        let capacity = usable.iter().sum::<f64>() * f64::from(site.slots) / mean;
        Scene {
            case: case.clone(),
            slots: site.slots,
            round_trip: site.round_trip,
            speeds,
            work,
            mean,
            delayed: 0.0,
            trace: false,
            capacity,
        }
    }

    /// Rates of paying and trial flows at that time, in flows a second.
    #[must_use]
    pub fn rates(&self, now: f64) -> [f64; 2] {
        let current = self
            .case
            .demand
            .iter()
            .rev()
            .find(|demand| demand.from <= now);
        current.map_or([0.0; 2], |demand| {
            [demand.paying * self.capacity, demand.trial * self.capacity]
        })
    }
}
