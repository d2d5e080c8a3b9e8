//! Tests of the configuration: its values, text, comparison and stored form.

mod customer_index;
mod document;
mod fixture;
mod parse;
mod plan;
mod print;
