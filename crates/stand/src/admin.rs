//! Commands to a running stand-in: one JSON value in a UDP datagram, answered by [`DONE`] or a value.

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
/// Largest command or answer, in bytes.
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
    /// The relay passes nothing in these directions from now on, and everything in others. Each
    /// is a sender's and a receiver's number.
    Cut(Vec<(u16, u16)>),
    /// In these directions the connections that are open now go silent for good; new ones work.
    Silence(Vec<(u16, u16)>),
    /// The relay answers how many bytes of control traffic it has passed on, by sender.
    Sent,
    /// The backend server answers how many connections it has taken.
    Opened,
}

/// The answer to a command that has none of its own.
pub const DONE: &str = "ok";

/// Sends `command` to the stand-in whose administration socket is `to`, until it answers.
pub fn send(to: SocketAddr, command: &Command) -> anyhow::Result<()> {
    let answer = ask(to, command)?;
    anyhow::ensure!(answer == DONE, "the stand-in refused the command");
    Ok(())
}

/// Like [`send`], for a command that has an answer of its own.
pub fn ask(to: SocketAddr, command: &Command) -> anyhow::Result<String> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_read_timeout(Some(ANSWER))?;
    let bytes = serde_json::to_vec(command)?;
    for _ in 0..TRIES {
        socket.send_to(&bytes, to)?;
        let mut answer = [0; LARGEST];
        if let Ok((len, _)) = socket.recv_from(&mut answer) {
            return Ok(String::from_utf8_lossy(&answer[..len]).into_owned());
        }
    }
    anyhow::bail!("no answer from {to}")
}

/// Receives at most one command, waiting no longer than the socket's read timeout, obeys it, and
/// answers with what `obey` gives.
pub fn receive(socket: &UdpSocket, obey: impl FnOnce(Command) -> String) -> anyhow::Result<()> {
    let mut bytes = [0; LARGEST];
    let Ok((len, from)) = socket.recv_from(&mut bytes) else {
        return Ok(());
    };
    match serde_json::from_slice(&bytes[..len]) {
        Ok(command) => {
            log::info!("event=command command=\"{command:?}\"");
            let answer = obey(command);
            socket
                .send_to(answer.as_bytes(), from)
                .context("answering a command")?;
        }
        Err(error) => {
            socket.send_to(b"bad", from)?;
            log::warn!("event=command-refused error=\"{error}\"");
        }
    }
    Ok(())
}
