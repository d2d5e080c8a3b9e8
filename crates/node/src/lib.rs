//! The balancer daemon: settings, sockets, threads.
