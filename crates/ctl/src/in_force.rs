//! What is in force: by the store, or by the balancers while it is down or behind them.

use std::net::SocketAddr;

use acacia_api::ask;
use acacia_code::Code;
use acacia_config::{
    Config,
    document::{self, Document},
};

use crate::{Report, Settings, fleet};

/// The document in force and who said so.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    /// The document.
    pub(crate) document: Document,
    /// The configuration in it.
    pub(crate) config: Config,
    /// "store", or the address of a balancer.
    pub(crate) source: String,
}

/// Reads the document in force; none before the first was applied.
///
/// It is the highest of the store's and the balancers'. A store that was restored from a backup is
/// behind them; a small change made upon its older content would revert all that it has forgotten.
pub(crate) async fn find(settings: &Settings) -> Result<Option<InForce>, Report> {
    let stored = match settings.client() {
        Ok(client) => client
            .get(&document::KEY.into())
            .await
            .map_err(|error| Report::failure(error.code(), error)),
        Err(unnamed) => Err(unnamed),
    };
    let answers = fleet::survey(settings).await;
    let serving = answers
        .iter()
        .filter_map(|(address, answer)| Some((answer.as_ref().ok()?.revision?, *address)));
    let best = serving.max();
    let entry = match (stored, best) {
        (Ok(entry), _) => entry,
        (Err(_), Some((_, address))) => return by_balancer(settings, address).await.map(Some),
        (Err(failure), None) => return Err(failure),
    };
    let value = entry.value.as_deref();
    let found = value.map(|value| read(value, "store".into())).transpose()?;
    let revision = found.as_ref().map_or(0, |found| found.document.revision);
    match best {
        Some((newer, address)) if newer > revision => {
            by_balancer(settings, address).await.map(Some)
        }
        Some(_) | None => Ok(found),
    }
}

/// The same, where there must be one.
pub(crate) async fn require(settings: &Settings) -> Result<InForce, Report> {
    let nothing = || Report::failure(Code::NothingInForce, "the store holds no configuration");
    find(settings).await?.ok_or_else(nothing)
}

/// The document that a balancer has.
async fn by_balancer(settings: &Settings, address: SocketAddr) -> Result<InForce, Report> {
    let question = async |admin: &acacia_api::AdminClient, ctx| admin.document(ctx).await;
    let answer = ask(address, settings.deadline, question).await;
    match answer {
        Ok(Some(value)) => read(&value, address.to_string()),
        Ok(None) | Err(_) => {
            let reason = format!("balancer {address} gives no document");
            Err(Report::failure(Code::BalancerUnreachable, reason))
        }
    }
}

fn read(value: &str, source: String) -> Result<InForce, Report> {
    let failure = |error: document::Error| Report::failure(error.code(), error);
    let document = Document::decode(value).map_err(failure)?;
    let config = document.config().map_err(failure)?;
    Ok(InForce {
        document,
        config,
        source,
    })
}
