//! The measuring program.
