//! Tests of what balancers must know and how news of it spread.

mod catalog;
mod fixture;
mod member;
mod spread;
