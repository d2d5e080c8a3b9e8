/// A scenario of changes and failures that the open flows have to survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// One backend server drains.
    Drain,
    /// A balancer crashes in the middle of a drain.
    DrainCrash,
    /// A backend server is added.
    Add,
    /// The weights of two thirds of the backend servers change.
    Reweight,
    /// All balancers are replaced one after another during a drain.
    Rolling,
    /// The store is down for ten minutes, and three servers drain meanwhile.
    StoreDown,
    /// A network partition separates half of the balancers from the others for 20 s during a drain.
    CutHeal,
    /// A sequence of drains, a reweight, a replacement, an addition, a crash and a partition.
    All,
}

/// A change or failure in a case's timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server stops accepting new flows.
    Drain(u16),
    /// A server is added.
    Add(u16),
    /// Of every three servers, the weight of the first is halved and that of the second doubled.
    Reweight,
    /// A balancer hands over its flows and exits; a new process takes its place.
    Replace(u16),
    /// A balancer exits without telling its peers.
    Crash(u16),
    /// A new process takes the place of a crashed balancer.
    Start(u16),
    /// A network partition separates the lower half of the balancers from the others.
    Cut,
    /// The network partition ends.
    Heal,
    /// The store fails: tables spread only between balancers, so they take longer to reach all.
    StoreDown,
}

impl Case {
    /// Every case.
    pub const ALL: [Case; 8] = [
        Case::Drain,
        Case::DrainCrash,
        Case::Add,
        Case::Reweight,
        Case::Rolling,
        Case::StoreDown,
        Case::CutHeal,
        Case::All,
    ];

    /// The changes, each with its time in seconds after the flows are open.
    #[must_use]
    pub fn timeline(self, balancers: u16, servers: u16) -> Vec<(u64, Change)> {
        use Change::*;
        match self {
            Case::Drain => vec![(2, Drain(0))],
            Case::DrainCrash => vec![(2, Drain(0)), (15, Crash(0)), (25, Start(0))],
            Case::Add => vec![(2, Add(servers))],
            Case::Reweight => vec![(2, Reweight)],
            Case::Rolling => {
                let replace = (0..balancers).map(|id| (12 + 25 * u64::from(id), Replace(id)));
                [(2, Drain(0))].into_iter().chain(replace).collect()
            }
            Case::StoreDown => vec![
                (1, StoreDown),
                (10, Drain(0)),
                (120, Drain(1)),
                (240, Replace(0)),
                (360, Drain(2)),
            ],
            Case::CutHeal => vec![(2, Drain(0)), (15, Cut), (35, Heal)],
            Case::All => vec![
                (2, Drain(0)),
                (15, Reweight),
                (30, Replace(1)),
                (55, Add(servers)),
                (70, Crash(2)),
                (80, Start(2)),
                (110, Cut),
                (130, Heal),
                (140, Drain(1)),
            ],
        }
    }

    /// Minimum duration of the case in seconds.
    #[must_use]
    pub fn seconds(self, balancers: u16) -> u64 {
        match self {
            Case::Drain | Case::Add | Case::Reweight => 0,
            Case::DrainCrash | Case::CutHeal => 60,
            Case::Rolling => 12 + 25 * u64::from(balancers) + 20,
            Case::StoreDown => 600,
            Case::All => 170,
        }
    }
}
