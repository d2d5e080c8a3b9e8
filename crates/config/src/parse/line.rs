//! Parses the backend servers of a service, one on each line.

use std::{net::SocketAddr, sync::Arc};

use acacia_code::Code;

use super::keys::Keys;
use crate::{Limit, Server, State};

/// The syntax of a line, as shown to operators.
const EXPECTED: &str =
    "address:port data-centre [slots=N connections=N] [drain | drain=UNIX-SECONDS]";

/// Parses all lines of a section.
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
    let mut optional = Options::default();
    for word in words {
        optional.parse(word)?;
    }
    Some(Server {
        name: name.into(),
        service: Arc::clone(service),
        address,
        data_centre,
        state: optional.state.unwrap_or_default(),
        limit: match (optional.slots, optional.connections) {
            (None, None) => None,
            (slots, connections) => Some(Limit {
                slots: slots?,
                connections: connections?,
            }),
        },
    })
}

/// The optional parts of a line, each at most once.
#[derive(Default)]
struct Options {
    slots: Option<u16>,
    connections: Option<u32>,
    state: Option<State>,
}

impl Options {
    /// `None` if the word is unknown, invalid or repeated.
    fn parse(&mut self, word: &str) -> Option<()> {
        let is_first = match word.split_once('=') {
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
        is_first.then_some(())
    }
}
