//! The platform's calls as a tarpc service. Each call counts against the platform's rates, a
//! waiting watch as one.

use std::sync::Arc;

use crate::{
    machine::Machine,
    store::{Entry, Lease, Outcome, Refusal, Swap},
};

/// The calls of the platform.
#[tarpc::service]
pub trait Platform {
    /// Reads a key.
    async fn get(key: Arc<str>) -> Entry;
    /// Writes a key if it has the expected revision.
    async fn swap(swap: Swap) -> Result<Outcome, Refusal>;
    /// Waits until the key's revision is above the given one, at most `wait_ms` milliseconds, and
    /// answers what the key holds then.
    async fn watch(key: Arc<str>, above: u64, wait_ms: u64) -> Entry;
    /// Grants a lease that lapses unless it is kept alive every `ttl_ms` milliseconds.
    async fn grant(ttl_ms: u64) -> Lease;
    /// Starts a lease's time anew.
    async fn keep_alive(lease: Lease) -> Result<(), Refusal>;
    /// Ends a lease and removes its keys.
    async fn revoke(lease: Lease) -> Result<(), Refusal>;
    /// The lagging list of live and leaving VMs.
    async fn machines() -> Vec<Machine>;
}
