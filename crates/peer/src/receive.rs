use std::panic::catch_unwind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use acacia_wire::collections::Map;
use acacia_wire::control::{self, Envelope, open};
use crossbeam_channel::{Sender, TrySendError};
use nng::{Message, Pipe, PipeEvent, Socket};
use serde::de::DeserializeOwned;

use crate::send::Shared;
use crate::{Error, Parcel, Received};

/// The receiving thread: until the socket is closed.
pub(crate) fn run<T: DeserializeOwned>(
    shared: &Shared,
    socket: &Socket,
    inbox: &Sender<Received<T>>,
) {
    let pipes = Pipes::default();
    let known = Arc::clone(&pipes);
    if let Err(error) = socket.pipe_notify(move |pipe, event| forget(&known, pipe, event)) {
        log::error!("event=pipe_notify_failed error={error:?}");
    }
    loop {
        match socket.recv() {
            Ok(mut message) => take(shared, &mut message, &pipes, inbox),
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
    pipes: &Pipes,
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

/// The connections that frames of each peer last came over.
type Pipes = Arc<Mutex<Map<u16, Pipe>>>;

/// Closes the connection that a peer has replaced. It may have gone silent in a way that its end
/// never reaches us, and would stay open for good.
fn replace(pipes: &Pipes, sender: u16, pipe: Pipe) {
    // Closing calls back into `forget`, so the lock must be free by then.
    let before = lock(pipes).insert(sender, pipe);
    if let Some(old) = before.filter(|old| *old != pipe) {
        // The library panics when the connection has ended by itself since `forget` looked, as it
        // does whenever a peer starts anew. That would end this thread, and with it the process.
        if catch_unwind(|| old.close()).is_err() {
            log::debug!("event=closed_already peer={sender}");
        }
    }
}

/// Forgets connections as they end, so that they are not closed once more.
fn forget(pipes: &Pipes, pipe: Pipe, event: PipeEvent) {
    if event == PipeEvent::RemovePost {
        lock(pipes).retain(|_, known| *known != pipe);
    }
}

fn lock(pipes: &Pipes) -> MutexGuard<'_, Map<u16, Pipe>> {
    pipes.lock().unwrap_or_else(PoisonError::into_inner)
}

fn deliver<T>(shared: &Shared, received: Received<T>, inbox: &Sender<Received<T>>) {
    if let Err(TrySendError::Full(_)) = inbox.try_send(received) {
        shared.lock().stats.inbox_full += 1;
    }
}
