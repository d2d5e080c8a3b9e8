use acacia_wire::collections::Map;
use acacia_wire::control::{self, Envelope, open};
use crossbeam_channel::{Sender, TrySendError};
use nng::{Message, Pipe, Socket};
use serde::de::DeserializeOwned;

use crate::send::Shared;
use crate::{Error, Parcel, Received};

/// The receiving thread: until the socket is closed.
pub(crate) fn run<T: DeserializeOwned>(
    shared: &Shared,
    socket: &Socket,
    inbox: &Sender<Received<T>>,
) {
    let mut pipes = Map::default();
    loop {
        match socket.recv() {
            Ok(mut message) => take(shared, &mut message, &mut pipes, inbox),
            Err(nng::Error::Closed) => return,
            Err(error) => {
                // Out of memory or descriptors; both pass.
                log::warn!("event=receive_failed error={error:?}");
                if shared.lock().closing {
                    return;
                }
                std::thread::sleep(std::time::Duration::from_millis(10));
            }
        }
    }
}

fn take<T: DeserializeOwned>(
    shared: &Shared,
    message: &mut Message,
    pipes: &mut Map<u16, Pipe>,
    inbox: &Sender<Received<T>>,
) {
    match check(shared, message.as_slice()) {
        Ok((envelope, body)) => {
            if let Some(pipe) = message.pipe() {
                replace(pipes, envelope.sender, pipe);
            }
            if let Some(message) = body {
                deliver(shared, Received { envelope, message }, inbox);
            }
        }
        Err(error) => shared.lock().count_refused(&error),
    }
}

fn check<T: DeserializeOwned>(
    shared: &Shared,
    frame: &[u8],
) -> Result<(Envelope, Option<T>), Error> {
    let secret = shared.lock().secret.clone();
    let (envelope, parcel) = open::<Parcel>(frame, &secret)?;
    let body = shared.lock().take(&envelope, parcel, frame.len())?;
    let message = body.map(|body| postcard::from_bytes(&body)).transpose();
    let message = message.map_err(|_| Error::Frame(control::Error::Undecodable))?;
    Ok((envelope, message))
}

/// Closes the connection that a peer has replaced. It may have gone silent in a way that its end
/// never reaches us, and would stay open for good.
fn replace(pipes: &mut Map<u16, Pipe>, sender: u16, pipe: Pipe) {
    if let Some(old) = pipes.insert(sender, pipe).filter(|old| *old != pipe) {
        old.close();
    }
}

fn deliver<T>(shared: &Shared, received: Received<T>, inbox: &Sender<Received<T>>) {
    if let Err(TrySendError::Full(_)) = inbox.try_send(received) {
        shared.lock().stats.inbox_full += 1;
    }
}
