//! Asks all balancers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use acacia_api::{Error, Status, ask};
use acacia_burn::Ledger;
use tokio::task::JoinSet;

use crate::Settings;

/// Balancers asked at once. A terminal must not open thousands of connections in one instant.
const AT_ONCE: usize = 64;

/// What each balancer answered, by the address that it was asked on.
pub(crate) type Answers = BTreeMap<SocketAddr, Result<Status, Error>>;

/// Asks the balancers that are known and all that they know in turn.
pub(crate) async fn survey(settings: &Settings) -> Answers {
    let mut answers = Answers::new();
    let mut open = start(settings).await;
    while !open.is_empty() {
        let batch: Vec<_> = open.iter().copied().take(AT_ONCE).collect();
        for (address, answer) in ask_all(&batch, settings.deadline).await {
            let peers = answer.iter().flat_map(|status| &status.peers);
            open.extend(peers.map(|peer| peer.admin));
            answers.insert(address, answer);
        }
        open.retain(|address| !answers.contains_key(address));
    }
    answers
}

/// The balancers named in the settings, or else those of the platform's list. The list lags: what
/// it names may be gone and then shows as silent, and what it lacks is found through peers.
async fn start(settings: &Settings) -> BTreeSet<SocketAddr> {
    if !settings.balancers.is_empty() {
        return settings.balancers.iter().copied().collect();
    }
    let Ok(client) = settings.client() else {
        return BTreeSet::new();
    };
    let machines = client.machines().await.unwrap_or_default();
    let ours = machines
        .iter()
        .filter(|machine| machine.name.starts_with(&*settings.machines));
    ours.map(|machine| SocketAddr::new(machine.address, settings.admin_port))
        .collect()
}

async fn ask_all(
    addresses: &[SocketAddr],
    deadline: Duration,
) -> Vec<(SocketAddr, Result<Status, Error>)> {
    let mut asking = JoinSet::new();
    for address in addresses.iter().copied() {
        asking.spawn(async move {
            let question = async |admin: &acacia_api::AdminClient, ctx| admin.status(ctx).await;
            (address, ask(address, deadline, question).await)
        });
    }
    asking.join_all().await
}

/// What the balancers at these addresses have counted, by address.
pub(crate) async fn ledgers(
    settings: &Settings,
    addresses: &[SocketAddr],
) -> BTreeMap<SocketAddr, Result<Ledger, Error>> {
    let deadline = settings.deadline;
    let mut answers = BTreeMap::new();
    for batch in addresses.chunks(AT_ONCE) {
        let mut asking = JoinSet::new();
        for address in batch.iter().copied() {
            asking.spawn(async move {
                let question = async |admin: &acacia_api::AdminClient, ctx| admin.ledger(ctx).await;
                (address, ask(address, deadline, question).await)
            });
        }
        answers.extend(asking.join_all().await);
    }
    answers
}
