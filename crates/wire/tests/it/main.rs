//! Tests of decoding, encapsulation and control frames.

mod control;
mod encap;
mod fixture;
mod flow;
mod packet;
mod reply;
