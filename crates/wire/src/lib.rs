//! What travels: decoding of callers' packets, the encapsulation between fabric, balancers and
//! backend servers, and the authenticated frames of the control protocol.
//!
//! Nothing here opens a socket or reads a clock. Every decoder takes arbitrary bytes and answers
//! with a typed error; none panics.

/// Hash maps with a fast, seeded hasher, used wherever keys come from callers.
pub mod collections;
/// Control frames between balancers: sender, sequence number and keyed authenticator.
pub mod control;
/// The encapsulation: an IP packet directly in UDP, and the redirect header between balancers.
pub mod encap;
/// The identity of a transport flow.
pub mod flow;
/// Decoding of a caller's IP packet into what the balancer needs to know of it.
pub mod packet;
/// Construction of the packets a balancer sends on its own account (resets, ICMP refusals).
pub mod reply;
