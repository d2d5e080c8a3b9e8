//! How an accepted configuration reaches every balancer and never reverts.
