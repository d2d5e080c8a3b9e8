//! Reads the backend servers of a service, each a line of its own.

use std::{net::SocketAddr, sync::Arc};

use acacia_code::Code;

use super::keys::Keys;
use crate::{Limit, Server, State};

/// What a line looks like.
const EXPECTED: &str =
    "address:port data-centre [slots=N connections=N] [drain | drain=UNIX-SECONDS]";

/// Reads all lines of a section.
pub(super) fn servers(service: &Arc<str>, mut keys: Keys<'_>) -> Vec<Server> {
    let mut servers = Vec::new();
    for (name, line) in keys.lines() {
        match server(name, service, line) {
            Some(server) => servers.push(server),
            None => keys.problem(Code::ConfigValueInvalid, name, line, EXPECTED),
        }
    }
    servers
}

fn server(name: &str, service: &Arc<str>, line: &str) -> Option<Server> {
    let mut words = line.split_whitespace();
    let address: SocketAddr = words.next()?.parse().ok()?;
    let data_centre: Arc<str> = words.next()?.into();
    let mut rest = Rest::default();
    for word in words {
        rest.take(word)?;
    }
    Some(Server {
        name: name.into(),
        service: Arc::clone(service),
        address,
        data_centre,
        state: rest.state.unwrap_or_default(),
        limit: match (rest.slots, rest.connections) {
            (None, None) => None,
            (slots, connections) => Some(Limit {
                slots: slots?,
                connections: connections?,
            }),
        },
    })
}

/// The optional words of a line, each at most once.
#[derive(Default)]
struct Rest {
    slots: Option<u16>,
    connections: Option<u32>,
    state: Option<State>,
}

impl Rest {
    fn take(&mut self, word: &str) -> Option<()> {
        let once = match word.split_once('=') {
            Some(("slots", number)) => self.slots.replace(number.parse().ok()?).is_none(),
            Some(("connections", number)) => {
                self.connections.replace(number.parse().ok()?).is_none()
            }
            Some(("drain", number)) => {
                let deadline = Some(number.parse().ok()?);
                self.state.replace(State::Drain { deadline }).is_none()
            }
            None if word == "drain" => {
                let deadline = None;
                self.state.replace(State::Drain { deadline }).is_none()
            }
            _ => false,
        };
        once.then_some(())
    }
}
