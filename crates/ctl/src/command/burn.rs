//! `burn`: reports the service-level burn over all balancers.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use acacia_burn::{Ledger, Mark, Objective, page, report, table};
use acacia_code::Code;
use acacia_config::Config;
use serde_json::json;

use crate::{Report, Settings, fleet, in_force};

pub(crate) async fn run(settings: &Settings, html: Option<&Path>) -> Result<Report, Report> {
    let answers = fleet::query_status(settings).await;
    if answers.is_empty() {
        let reason =
            "no balancer is known: use --balancer, the settings file or a store that lists one";
        return Err(Report::failure(Code::Usage, reason));
    }
    let answering = answers.iter().filter(|(_, answer)| answer.is_ok());
    let answering: Vec<SocketAddr> = answering.map(|(address, _)| *address).collect();
    let ledgers = fleet::ledgers(settings, &answering).await;
    let mut merged = Ledger::default();
    ledgers
        .values()
        .flatten()
        .for_each(|ledger| merged.merge(ledger));
    let silent: Vec<SocketAddr> = answers
        .keys()
        .filter(|address| !matches!(ledgers.get(address), Some(Ok(_))))
        .copied()
        .collect();
    let ids = balancer_ids(&answers);
    let silent_ids: Vec<u16> = silent
        .iter()
        .filter_map(|address| ids.get(address).copied())
        .collect();
    // If the configuration can't be read or none is in force yet, the report uses the default
    // objectives.
    let found = in_force::find(settings).await.ok().flatten();
    let config = found.map(|found| found.config).unwrap_or_default();
    let objective_of = |service: &str, mark| objective(&config, service, mark);
    let report = report(
        &merged,
        settings.invocation.unix_time,
        &silent_ids,
        objective_of,
    );
    let mut text = table(&report);
    for address in &silent {
        text += &format!("No answer came from {address}.\n");
    }
    if let Some(path) = html {
        write(path, &report)?;
        text += &format!("The page is in {}.\n", path.display());
    }
    let code = if silent.is_empty() {
        Code::Success
    } else {
        Code::BalancerUnreachable
    };
    let data = json!({ "report": report, "silent": silent });
    Ok(Report::with(code, text, data))
}

/// The ids of the balancers, by the addresses on which they answer operators, as reported by
/// themselves and their peers.
fn balancer_ids(answers: &fleet::Answers) -> BTreeMap<SocketAddr, u16> {
    let own = answers
        .iter()
        .filter_map(|(address, answer)| Some((*address, answer.as_ref().ok()?.id)));
    let peers = answers.values().flatten().flat_map(|status| &status.peers);
    peers.map(|peer| (peer.admin, peer.id)).chain(own).collect()
}

fn objective(config: &Config, service: &str, mark: Mark) -> Objective {
    let usual = Objective::default_for(mark);
    let service = config.service(service);
    match service.and_then(|service| service.objective) {
        Some(configured) => Objective {
            target: configured.availability.fraction(),
            slow_fails: configured.latency.is_some(),
            ..usual
        },
        None => usual,
    }
}

fn write(path: &Path, report: &acacia_burn::Report) -> Result<(), Report> {
    let page = page(report).map_err(|error| Report::failure(Code::Failure, error))?;
    std::fs::write(path, page).map_err(|error| {
        let reason = format!("{}: {error}", path.display());
        Report::failure(Code::Failure, reason)
    })
}
