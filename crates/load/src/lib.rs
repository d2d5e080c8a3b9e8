//! Admission control, server selection and weights under load.
//!
//! The crate opens no sockets, reads no clock and has no random source of its own: callers pass in
//! the time and a random number generator. A balancer uses the parts in this order:
//!
//! 1. Each traffic thread owns a [`gate::Gate`]. For a new flow it calls [`gate::Gate::admit`],
//!    then [`gate::Gate::place`], both with the current [`plan::Plan`], an immutable snapshot.
//!    Events of flows are counted in the gate's [`tally::Tally`]; [`track::Tracker`] derives them
//!    from decoded packets.
//! 2. The control thread owns one [`controller::Controller`] per [`pool::Pool`]. Once a second it
//!    absorbs the gates' tallies and calls [`controller::Controller::tick`], which returns the
//!    [`report::Report`] for the heartbeats to peers and the next plan for the gates. Reports from
//!    peers go into [`controller::Controller::merge`].
//! 3. The balancer that may write the table of new flows calls
//!    [`controller::Controller::weights`] for new weights.

/// Token buckets for new flows: shares guaranteed under contention and lent when idle.
pub mod admit;
/// Arrival rates of requests and flows.
pub mod arrival;
/// Answer time of a service without queueing.
pub mod baseline;
/// State of the control thread: merges reports, estimates servers, and makes plans and weights.
pub mod controller;
/// Recent answer times of servers and services.
pub mod delay;
/// Demand for services, summed over all balancers.
pub mod demand;
/// Ejection of servers that don't answer, with a cap and an increasing duration.
pub mod eject;
/// Estimates for all servers of a pool, and the parts of new flows that they shed and spill.
pub mod estimate;
/// State of a traffic thread: admits and places each new flow.
pub mod gate;
/// Parameters of all decisions.
pub mod limits;
/// Refusal of new flows that no server would answer in time.
pub mod overload;
/// Reports of peers: which are recent, and their sums.
pub mod peer;
/// Choice between the first and second server for a new flow.
pub mod place;
/// Snapshot that traffic threads decide by until the next tick.
pub mod plan;
/// Configured services and marks with their shares, and backend servers.
pub mod pool;
/// Part of new flows that is admitted while demand exceeds the capacity of all servers.
pub mod quota;
/// Admission rates from the measured capacity.
pub mod rate;
/// Refusals and the time after which a caller may retry.
pub mod refuse;
/// Load reports that balancers send each other.
pub mod report;
/// Decaying counts of a server, and the means and utilization that follow from them.
pub mod signal;
/// Estimates of a server's speed.
pub mod speed;
/// Distribution of new flows over data centres when the demand of one exceeds its capacity.
pub mod spill;
/// Counts of one traffic thread since the last tick.
pub mod tally;
/// Sampling of TCP flows: turns decoded packets into events.
pub mod track;
/// Relative urgency of new flows that use the same servers.
pub mod urgency;
/// Weights of the table of new flows.
pub mod weight;
