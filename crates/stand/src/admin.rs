//! Administration commands to a running stand-in. A command is a JSON value in a UDP datagram; the
//! answer is [`DONE`] or a value.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// How long to wait for an answer before the command is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times a command is sent. Sending it again is safe, as every command is idempotent.
const MAX_ATTEMPTS: usize = 6;
/// Maximum size of a command or an answer, in bytes.
const MAX_MESSAGE_BYTES: usize = 8192;

/// A command to a stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Sets the balancers over which the fabric spreads packets.
    Balancers(Vec<SocketAddr>),
    /// Sets how long the backend server takes for each job, in milliseconds.
    Work(u64),
    /// Sets the share of packets that the fabric drops, in thousandths.
    Loss(u32),
    /// Sets the directions that the relay blocks; it forwards in all others. A direction is the
    /// number of the sender and that of the receiver.
    Cut(Vec<(u16, u16)>),
    /// Makes the relay discard, for good, the bytes that the connections open now carry in these
    /// directions. Later connections work.
    Silence(Vec<(u16, u16)>),
    /// Asks the relay how many bytes of control traffic it has forwarded, by sender.
    Sent,
    /// Asks the backend server how many connections it has accepted.
    Opened,
}

/// The answer to a command that asks for no value.
pub const DONE: &str = "ok";

/// Sends `command` to the stand-in whose administration socket is `to`, and sends it again if no
/// answer comes. Fails if the command is not acknowledged.
pub fn send(to: SocketAddr, command: &Command) -> anyhow::Result<()> {
    let answer = ask(to, command)?;
    anyhow::ensure!(answer == DONE, "the stand-in refused the command");
    Ok(())
}

/// Sends `command` like [`send`] and returns the answer.
pub fn ask(to: SocketAddr, command: &Command) -> anyhow::Result<String> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let bytes = serde_json::to_vec(command)?;
    for _ in 0..MAX_ATTEMPTS {
        socket.send_to(&bytes, to)?;
        let mut answer = [0; MAX_MESSAGE_BYTES];
        if let Ok((len, _)) = socket.recv_from(&mut answer) {
            return Ok(String::from_utf8_lossy(&answer[..len]).into_owned());
        }
    }
    anyhow::bail!("no answer from {to}")
}

/// Receives at most one command, executes it with `execute` and sends the result as the answer.
/// Waits no longer than the socket's read timeout.
pub fn receive(socket: &UdpSocket, execute: impl FnOnce(Command) -> String) -> anyhow::Result<()> {
    let mut bytes = [0; MAX_MESSAGE_BYTES];
    let Ok((len, from)) = socket.recv_from(&mut bytes) else {
        return Ok(());
    };
    match serde_json::from_slice(&bytes[..len]) {
        Ok(command) => {
            log::info!("event=command command=\"{command:?}\"");
            let answer = execute(command);
            socket
                .send_to(answer.as_bytes(), from)
                .context("sending the answer to a command")?;
        }
        Err(error) => {
            socket.send_to(b"bad", from)?;
            log::warn!("event=command-refused error=\"{error}\"");
        }
    }
    Ok(())
}
