//! Tests of the agreed tables: their stored form, their construction and who writes them.

mod document;
mod fixture;
mod fleet;
mod invariant;
mod update;
mod writer;
