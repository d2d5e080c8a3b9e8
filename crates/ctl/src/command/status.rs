//! `status`: shows the state of every balancer.

use std::net::SocketAddr;

use acacia_api::{
    Error, Status,
    status::{Evacuation, Phase, Service},
};
use acacia_code::Code;
use serde::Serialize;

use crate::{Report, Settings, fleet, report::table};

/// A balancer that answered, or why it did not.
#[derive(Serialize)]
#[serde(untagged)]
enum Row<'a> {
    Answered {
        address: &'a SocketAddr,
        /// By how many revisions it is behind the newest that any balancer has.
        lag: u64,
        status: &'a Status,
    },
    Silent {
        address: &'a SocketAddr,
        error: String,
    },
}

pub(crate) async fn run(settings: &Settings) -> Result<Report, Report> {
    let answers = fleet::query_status(settings).await;
    if answers.is_empty() {
        let reason =
            "no balancer is known: use --balancer, the settings file or a store that lists one";
        return Err(Report::failure(Code::Usage, reason));
    }
    let revisions = answers.values().flatten().filter_map(|s| s.revision);
    let newest = revisions.max().unwrap_or(0);
    let rows: Vec<_> = answers
        .iter()
        .map(|(address, answer)| row(address, answer, newest))
        .collect();
    let header = [
        "balancer",
        "dc",
        "phase",
        "revision",
        "lag",
        "age",
        "tables",
        "peers",
        "flows",
        "pins",
        "store",
        "evacuated",
    ];
    let text = table(&header, rows.iter().map(cells));
    let silent = rows.iter().any(|row| matches!(row, Row::Silent { .. }));
    match silent {
        false => Ok(Report::new(text, rows)),
        true => Err(Report::with(Code::BalancerUnreachable, text, rows)),
    }
}

fn row<'a>(address: &'a SocketAddr, answer: &'a Result<Status, Error>, newest: u64) -> Row<'a> {
    match answer {
        Ok(status) => Row::Answered {
            address,
            lag: newest - status.revision.unwrap_or(0),
            status,
        },
        Err(error) => Row::Silent {
            address,
            error: error.to_string(),
        },
    }
}

fn cells(row: &Row<'_>) -> Vec<String> {
    let (status, lag) = match row {
        Row::Answered { status, lag, .. } => (status, lag),
        Row::Silent { address, error } => return vec![address.to_string(), error.clone()],
    };
    let phase = match status.phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
    };
    vec![
        status.name.to_string(),
        status.data_centre.to_string(),
        phase.into(),
        status.revision.map_or("none".into(), |r| r.to_string()),
        lag.to_string(),
        seconds(status.enforced_ms),
        tables(status),
        status.peers.len().to_string(),
        status.flows().map_or("-".into(), |flows| flows.to_string()),
        status.pins.to_string(),
        status.store_ms.map_or("-".into(), seconds),
        evacuations(status),
    ]
}

/// The data centres under evacuation, each with the revision of the key that orders it and how long
/// it has been in force.
fn evacuations(status: &Status) -> String {
    let format = |evacuation: &Evacuation| {
        let (revision, age) = (evacuation.revision, seconds(evacuation.enforced_ms));
        format!("{}:{revision}:{age}", evacuation.data_centre)
    };
    let evacuations: Vec<String> = status.evacuations.iter().map(format).collect();
    if evacuations.is_empty() {
        "-".into()
    } else {
        evacuations.join(" ")
    }
}

fn tables(status: &Status) -> String {
    let version = |service: &Service| format!("{}:{}", service.name, service.table);
    let versions = status.services.iter().map(version);
    let behind = status.behind.then(|| "(behind)".to_owned());
    versions.chain(behind).collect::<Vec<_>>().join(" ")
}

fn seconds(ms: u64) -> String {
    format!("{}.{}s", ms / 1000, ms % 1000 / 100)
}
