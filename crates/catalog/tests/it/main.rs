//! Integration tests of the catalog and of how changes reach all balancers.

mod catalog;
mod fixture;
mod member;
mod spread;
