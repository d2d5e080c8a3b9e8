//! A registry in which the services of one process find each other by name.
