//! Membership of the balancers from direct heartbeats, and the passing on of configuration.
