//! Drives an attempt with a client.

use std::sync::Arc;

use acacia_config::document::KEY;
use tokio::time;

use super::{Action, Apply, Event, Request, Verdict};
use crate::{Client, store::Swap};

/// Applies a change and returns the outcome. `seed` determines the random pauses.
///
/// ```no_run
/// # use acacia_config::{Config, document::{Draft, Id}};
/// # use acacia_platform::{Client, Options, apply};
/// # async fn example() -> Result<(), Box<dyn std::error::Error>> {
/// let client = Client::new("127.0.0.1:2379".parse()?, Options::default());
/// let draft = Draft {
///     change: Id::new(rand::random()),
///     author: "aino".into(),
///     time: 1_800_000_000,
///     config: Config::default(),
///     in_force: None,
/// };
/// let request = apply::Request { draft, reviewed_revision: None, read_back: apply::READ_BACK };
/// let verdict = apply::run(&client, request, rand::random()).await;
/// # Ok(())
/// # }
/// ```
pub async fn run(client: &Client, request: Request, seed: u64) -> Verdict {
    let key: Arc<str> = KEY.into();
    let (mut apply, mut action) = Apply::start(request, seed);
    loop {
        let event = match action {
            Action::Done(verdict) => return verdict,
            Action::Read { after } => {
                time::sleep(after).await;
                Event::Read(client.get(&key).await)
            }
            Action::Write { expected, value } => {
                let swap = Swap {
                    key: Arc::clone(&key),
                    expected,
                    value: Some(value.into()),
                    lease: None,
                };
                Event::Written(client.swap(swap).await)
            }
        };
        action = apply.step(event);
    }
}
