//! Admission, placement and weights: the decisions made under load.
//!
//! Nothing here opens a socket, reads a clock or draws randomness of its own. The parts, in the
//! order in which a balancer calls them:
//!
//! 1. Each traffic thread owns a [`gate::Gate`]. For a new flow it asks [`gate::Gate::admit`],
//!    then [`gate::Gate::place`], both against the [`plan::Plan`] in force, an immutable snapshot.
//!    It feeds what it sees of flows into the gate's [`tally::Tally`]; [`track::Tracker`] turns
//!    decoded packets into those events.
//! 2. The control thread owns one [`controller::Controller`] a [`pool::Pool`]. Once a second it
//!    absorbs the gates' tallies and calls [`controller::Controller::tick`], which gives the
//!    [`report::Report`] for the heartbeats to peers and the next plan for the gates. Peers'
//!    reports go into [`controller::Controller::merge`].
//! 3. The balancer that may write the table of new flows asks
//!    [`controller::Controller::weights`] for a better set of weights.

/// Token buckets of work: shares guaranteed under contention and lent when idle.
pub mod admit;
/// How many requests or flows come a second.
pub mod arrival;
/// What the answers of a service take when nothing waits.
pub mod baseline;
/// The control thread's part: merges reports, estimates, makes plans and weights.
pub mod controller;
/// How long answers take at present.
pub mod delay;
/// Which servers are left alone, for how long, and at most how many of them.
pub mod eject;
/// Estimates of all servers, and what follows for new flows.
pub mod estimate;
/// The traffic thread's part: decides on each new flow.
pub mod gate;
/// Every number that a decision depends on.
pub mod limits;
/// When a new flow is refused as no server would answer it in time.
pub mod overload;
/// Peers' reports: whose are fresh, and what they add up to.
pub mod peer;
/// First or second choice for a new flow.
pub mod place;
/// What the traffic threads decide by until the next tick.
pub mod plan;
/// What is configured: services and marks with their shares, and backend servers.
pub mod pool;
/// From measured capacity to rates of admission.
pub mod rate;
/// What a caller is told whose work will not run.
pub mod refuse;
/// What balancers tell each other.
pub mod report;
/// Estimates for each server from merged counts.
pub mod signal;
/// How fast a server is.
pub mod speed;
/// Counts of what one traffic thread has seen since the last tick.
pub mod tally;
/// How many of the less urgent are refused where servers are busy all the time.
pub mod throttle;
/// Sampled sight of flows: from decoded packets to events.
pub mod track;
/// Which new flows are more urgent than others that use the same servers.
pub mod urgency;
/// Weights of the table of new flows.
pub mod weight;
