//! Finds the configuration in force: from the store, or from a balancer if the store is down or has
//! an older revision.

use std::net::SocketAddr;

use acacia_api::ask;
use acacia_code::Code;
use acacia_config::{
    Config,
    document::{self, Document},
};

use crate::{Report, Settings, fleet};

/// The document in force and its source.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    /// The document.
    pub(crate) document: Document,
    /// The configuration in the document.
    pub(crate) config: Config,
    /// `store`, or the address of the balancer that it was read from.
    pub(crate) source: String,
}

/// Reads the document in force; `None` if no configuration was applied yet.
///
/// It is the one with the highest revision among the store's and the balancers'. A store that was
/// restored from a backup has an older document than the balancers; a change on top of it would
/// revert all changes since the backup.
pub(crate) async fn find(settings: &Settings) -> Result<Option<InForce>, Report> {
    let stored = match settings.client() {
        Ok(client) => client
            .get(&document::KEY.into())
            .await
            .map_err(|error| Report::failure(error.code(), error)),
        Err(no_store) => Err(no_store),
    };
    let answers = fleet::query_status(settings).await;
    let serving = answers
        .iter()
        .filter_map(|(address, answer)| Some((answer.as_ref().ok()?.revision?, *address)));
    let highest = serving.max();
    let entry = match (stored, highest) {
        (Ok(entry), _) => entry,
        (Err(_), Some((_, address))) => return from_balancer(settings, address).await.map(Some),
        (Err(failure), None) => return Err(failure),
    };
    let value = entry.value.as_deref();
    let found = value
        .map(|value| decode(value, "store".into()))
        .transpose()?;
    let revision = found.as_ref().map_or(0, |found| found.document.revision);
    match highest {
        Some((newer, address)) if newer > revision => {
            from_balancer(settings, address).await.map(Some)
        }
        Some(_) | None => Ok(found),
    }
}

/// Like [`find`], but fails if there is none.
pub(crate) async fn require(settings: &Settings) -> Result<InForce, Report> {
    let nothing = || Report::failure(Code::NothingInForce, "the store holds no configuration");
    find(settings).await?.ok_or_else(nothing)
}

/// Reads the document that a balancer has in force.
async fn from_balancer(settings: &Settings, address: SocketAddr) -> Result<InForce, Report> {
    let request = async |admin: &acacia_api::AdminClient, ctx| admin.document(ctx).await;
    let answer = ask(address, settings.deadline, request).await;
    match answer {
        Ok(Some(value)) => decode(&value, address.to_string()),
        Ok(None) | Err(_) => {
            let reason = format!("balancer {address} returned no document");
            Err(Report::failure(Code::BalancerUnreachable, reason))
        }
    }
}

fn decode(value: &str, source: String) -> Result<InForce, Report> {
    let failure = |error: document::Error| Report::failure(error.code(), error);
    let document = Document::decode(value).map_err(failure)?;
    let config = document.config().map_err(failure)?;
    Ok(InForce {
        document,
        config,
        source,
    })
}
