//! Tests of flow resolution: several cores joined by queues that delay, lose, repeat and reorder.

mod fleet;
mod plan;
mod planned;
