//! Commands to a running stand-in: one JSON value in a UDP datagram, answered by `ok`.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// How long a command waits for its answer before it is sent again.
const ANSWER: Duration = Duration::from_millis(500);
/// How often a command is sent: every command is idempotent.
const TRIES: usize = 6;
/// Largest command, in bytes.
const LARGEST: usize = 8192;

/// What a stand-in can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// The fabric sprays over these balancers from now on.
    Balancers(Vec<SocketAddr>),
    /// The backend server takes this long for each piece of work from now on, in milliseconds.
    Work(u64),
    /// The fabric stops or starts to lose this share of packets, in thousandths.
    Loss(u32),
}

/// Sends `command` to the stand-in whose administration socket is `to`, until it answers.
pub fn send(to: SocketAddr, command: &Command) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_read_timeout(Some(ANSWER))?;
    let bytes = serde_json::to_vec(command)?;
    for _ in 0..TRIES {
        socket.send_to(&bytes, to)?;
        let mut answer = [0; 64];
        if let Ok((len, _)) = socket.recv_from(&mut answer) {
            anyhow::ensure!(&answer[..len] == b"ok", "the stand-in refused the command");
            return Ok(());
        }
    }
    anyhow::bail!("no answer from {to}")
}

/// Receives at most one command, waiting no longer than the socket's read timeout.
pub fn receive(socket: &UdpSocket) -> anyhow::Result<Option<Command>> {
    let mut bytes = [0; LARGEST];
    let Ok((len, from)) = socket.recv_from(&mut bytes) else {
        return Ok(None);
    };
    match serde_json::from_slice(&bytes[..len]) {
        Ok(command) => {
            socket.send_to(b"ok", from).context("answering a command")?;
            Ok(Some(command))
        }
        Err(error) => {
            socket.send_to(b"bad", from)?;
            log::warn!("event=command-refused error=\"{error}\"");
            Ok(None)
        }
    }
}
