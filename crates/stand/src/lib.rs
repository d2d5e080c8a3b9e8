//! Small stand-ins for the outside: fabric, platform, backend servers and callers.

pub mod platform;
