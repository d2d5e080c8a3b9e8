//! Wire formats: decoding of callers' packets, the encapsulation between the fabric, the balancers
//! and the backend servers, and the authenticated frames of the control protocol.
//!
//! This crate performs no I/O and reads no clock. Decoders accept arbitrary bytes, never panic and
//! return a typed error for invalid input.

/// Hash maps and sets with a fast, randomly seeded hasher, for keys that callers choose.
pub mod collections;
/// Control frames between balancers: sender, incarnation, sequence number, message and keyed
/// authenticator.
pub mod control;
/// Encapsulation: IP packets directly in UDP, and the redirect header between balancers.
pub mod encap;
/// The identity of a transport flow.
pub mod flow;
/// Decoding of a caller's IP packet into the fields that a balancer uses.
pub mod packet;
/// Packets that a balancer generates itself: TCP resets and ICMP refusals.
pub mod reply;
