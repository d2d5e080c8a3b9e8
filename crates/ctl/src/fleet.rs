//! Queries all balancers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use acacia_api::{Error, Status, ask};
use acacia_burn::Ledger;
use tokio::task::JoinSet;

use crate::Settings;

/// Maximum number of concurrent queries, so that a command does not open thousands of connections
/// at once.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The answer of each balancer, by its address.
pub(crate) type Answers = BTreeMap<SocketAddr, Result<Status, Error>>;

/// Queries the status of the known balancers, of their peers, and so on.
pub(crate) async fn query_status(settings: &Settings) -> Answers {
    let mut answers = Answers::new();
    let mut pending = known_addresses(settings).await;
    while !pending.is_empty() {
        let batch: Vec<_> = pending
            .iter()
            .copied()
            .take(MAX_CONCURRENT_QUERIES)
            .collect();
        for (address, answer) in query_batch(&batch, settings.deadline).await {
            let peers = answer.iter().flat_map(|status| &status.peers);
            pending.extend(peers.map(|peer| peer.admin));
            answers.insert(address, answer);
        }
        pending.retain(|address| !answers.contains_key(address));
    }
    answers
}

/// The balancers in the settings, or else those in the platform's list of VMs. The list may be out
/// of date: balancers in it that no longer run are reported as silent, and those missing from it
/// are found through their peers.
async fn known_addresses(settings: &Settings) -> BTreeSet<SocketAddr> {
    if !settings.balancers.is_empty() {
        return settings.balancers.iter().copied().collect();
    }
    let Ok(client) = settings.client() else {
        return BTreeSet::new();
    };
    let machines = client.machines().await.unwrap_or_default();
    let balancers = machines
        .iter()
        .filter(|machine| machine.name.starts_with(&*settings.machines));
    balancers
        .map(|machine| SocketAddr::new(machine.address, settings.admin_port))
        .collect()
}

async fn query_batch(
    addresses: &[SocketAddr],
    deadline: Duration,
) -> Vec<(SocketAddr, Result<Status, Error>)> {
    let mut queries = JoinSet::new();
    for address in addresses.iter().copied() {
        queries.spawn(async move {
            let request = async |admin: &acacia_api::AdminClient, ctx| admin.status(ctx).await;
            (address, ask(address, deadline, request).await)
        });
    }
    queries.join_all().await
}

/// Queries the ledgers of the balancers at the given addresses, by address.
pub(crate) async fn ledgers(
    settings: &Settings,
    addresses: &[SocketAddr],
) -> BTreeMap<SocketAddr, Result<Ledger, Error>> {
    let deadline = settings.deadline;
    let mut answers = BTreeMap::new();
    for batch in addresses.chunks(MAX_CONCURRENT_QUERIES) {
        let mut queries = JoinSet::new();
        for address in batch.iter().copied() {
            queries.spawn(async move {
                let request = async |admin: &acacia_api::AdminClient, ctx| admin.ledger(ctx).await;
                (address, ask(address, deadline, request).await)
            });
        }
        answers.extend(queries.join_all().await);
    }
    answers
}
