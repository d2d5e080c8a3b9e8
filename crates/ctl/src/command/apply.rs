//! `apply`: puts a configuration in force.

use std::{path::Path, time::Duration};

use acacia_code::Code;
use acacia_config::{
    Config,
    document::{Document, Draft, Id},
};
use acacia_platform::apply::{self, READ_BACK, Reason, Request, Verdict};
use serde_json::json;
use tokio::time::{self, Instant};

use super::plan::difference;
use crate::{
    Report, Settings, fleet,
    in_force::{self, InForce},
    wait,
};

/// Interval between two queries of the balancers. A change comes into force within tenths of a
/// second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) async fn run(
    settings: &Settings,
    file: &Path,
    over: Option<u64>,
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let config = super::read(file)?;
    let found = in_force::find(settings).await?;
    apply_over(settings, config, (over, found), timeout).await
}

/// Applies a configuration on top of the one found in force, and waits until it is in force if
/// there is a timeout. If the revision `over` is given, applies only on top of that one.
pub(super) async fn apply_over(
    settings: &Settings,
    config: Config,
    (over, found): (Option<u64>, Option<InForce>),
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let client = settings.client()?;
    let draft = Draft {
        change: Id::new(settings.invocation.random),
        author: settings.author.clone(),
        time: settings.invocation.unix_time,
        config: config.clone(),
        in_force: found.map(|found| found.document.into()),
    };
    let change = draft.change;
    let request = Request {
        draft,
        reviewed_revision: over,
        read_back: READ_BACK,
    };
    match apply::run(&client, request, settings.seed()).await {
        Verdict::Accepted { revision } => {
            let text = format!("accepted revision={revision} change={change}");
            finish(settings, ("accepted", revision), text, timeout).await
        }
        Verdict::Unchanged { revision } => {
            let text = format!("unchanged revision={revision}");
            finish(settings, ("unchanged", revision), text, timeout).await
        }
        Verdict::Conflict { theirs } => Err(conflict(theirs.as_deref(), &config)),
        Verdict::Refused(reason) => Err(refusal(&reason)),
        Verdict::Unknown { change } => {
            let reason = format!("change {change} may have taken effect; applying again is safe");
            Err(Report::failure(Code::ApplyUnknown, reason))
        }
    }
}

/// Reports the outcome, after waiting for the balancers if there is a timeout.
async fn finish(
    settings: &Settings,
    outcome: (&str, u64),
    text: String,
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let (name, revision) = outcome;
    let Some(timeout) = timeout else {
        let data = json!({ "outcome": name, "revision": revision });
        return Ok(Report::new(text, data));
    };
    let progress = poll(settings, revision, timeout).await;
    let data = json!({ "outcome": name, "revision": revision, "balancers": progress });
    if progress.is_done() {
        let count = progress.in_force.len();
        return Ok(Report::new(
            format!("{text}\nin force on {count} balancers"),
            data,
        ));
    }
    let count = progress.in_force.len();
    let text = format!(
        "{text}\nin force on {count} balancers; lagging: {}; no answer: {}",
        list(&progress.lagging),
        list(&progress.silent)
    );
    Err(Report::with(Code::WaitTimeout, text, data))
}

fn list(names: &[String]) -> String {
    match names {
        [] => "none".into(),
        names => names.join(", "),
    }
}

/// Queries the balancers until all have the revision in force or the timeout is over.
async fn poll(settings: &Settings, revision: u64, timeout: Duration) -> wait::Progress {
    let deadline = Instant::now() + timeout;
    loop {
        let progress = wait::progress(revision, &fleet::query_status(settings).await);
        if progress.is_done() || Instant::now() >= deadline {
            return progress;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Reports a conflict with a change that was made first, with the difference to it.
fn conflict(theirs: Option<&Document>, ours: &Config) -> Report {
    let Some(theirs) = theirs else {
        return Report::failure(Code::ApplyConflict, "another change was made first");
    };
    let (revision, author) = (theirs.revision, &theirs.author);
    let diff = theirs
        .config()
        .map(|config| difference(&config, ours))
        .unwrap_or_default();
    let code = Code::ApplyConflict;
    let text = format!(
        "error={code} reason=\"{author} made revision {revision} first; nothing was written\"\n\
         from theirs to yours:\n{diff}"
    );
    let data = json!({ "revision": revision, "author": author, "diff": diff });
    Report::with(code, text, data)
}

fn refusal(reason: &Reason) -> Report {
    match reason {
        Reason::Platform(error) => Report::failure(error.code(), error),
        Reason::Document(error) => Report::failure(error.code(), error),
    }
}
