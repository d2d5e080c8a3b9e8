//! Tests of the bucket tables: their stored format, how they are built, and who writes them.

mod document;
mod fixture;
mod fleet;
mod invariant;
mod update;
mod writer;
