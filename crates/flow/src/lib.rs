//! Resolution of any packet at any balancer to the backend server of its flow.
