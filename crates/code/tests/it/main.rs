//! Tests of the numbered result codes.

mod table;
