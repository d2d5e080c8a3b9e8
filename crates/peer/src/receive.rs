use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use acacia_accept::{Slot, listen};
use acacia_wire::collections::Map;
use acacia_wire::control::{self, Envelope, open};
use crossbeam_channel::{Sender, TrySendError};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use crate::frame;
use crate::shared::Shared;
use crate::{Error, FramePayload, Received};

/// Accepts connections and takes what comes over them, until told to stop.
pub(crate) async fn run<T: DeserializeOwned + Send + 'static>(
    shared: Arc<Shared>,
    listener: TcpListener,
    inbox: Sender<Received<T>>,
    stop: CancellationToken,
) {
    let current = Current::default();
    let numbers = AtomicU64::new(0);
    let limiter = Arc::clone(&shared.limiter);
    listen(listener, stop, limiter, |stream, slot| {
        let connection = Connection {
            number: numbers.fetch_add(1, Ordering::Relaxed),
            shared: Arc::clone(&shared),
            current: Arc::clone(&current),
            inbox: inbox.clone(),
            slot,
        };
        connection.serve(stream)
    })
    .await;
}

/// The connection that frames of each peer last came over, by its number, and what ends it.
type Current = Arc<Mutex<Map<u16, (u64, CancellationToken)>>>;

/// A connection that a peer, or a stranger, has opened.
struct Connection<T> {
    number: u64,
    shared: Arc<Shared>,
    current: Current,
    inbox: Sender<Received<T>>,
    slot: Arc<Slot>,
}

impl<T: DeserializeOwned> Connection<T> {
    /// Takes frames until the connection ends or is replaced.
    async fn serve(self, stream: TcpStream) {
        let replaced = CancellationToken::new();
        let mut frames = FramedRead::new(stream, frame::pending_codec());
        loop {
            let frame = tokio::select! {
                () = replaced.cancelled() => return,
                frame = frames.next() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    if self.take(&frame, &replaced) {
                        frame::allow_long(frames.decoder_mut());
                    }
                }
                Some(Err(error)) => {
                    self.note_end(&error);
                    return;
                }
                None => return,
            }
        }
    }

    /// Takes a frame; false if it is not valid.
    fn take(&self, frame: &[u8], replaced: &CancellationToken) -> bool {
        match check(&self.shared, frame) {
            Ok((envelope, body)) => {
                self.slot.activate();
                self.replace(envelope.sender, replaced);
                if let Some(message) = body {
                    self.deliver(Received { envelope, message });
                }
                true
            }
            Err(error) => {
                self.shared.lock().count_refused(&error);
                false
            }
        }
    }

    /// The connection ended by itself, or announced a frame that is too long.
    fn note_end(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData {
            let oversized = Error::Frame(control::Error::Oversized);
            self.shared.lock().count_refused(&oversized);
        }
        log::debug!("event=connection_ended error={error:?}");
    }

    /// Closes the connection that a peer has replaced by this one. It may have gone silent in a way
    /// that its end never reaches us, and would stay open for long.
    fn replace(&self, sender: u16, replaced: &CancellationToken) {
        let mut current = lock(&self.current);
        if let Some((number, before)) = current.get(&sender) {
            if *number == self.number {
                return;
            }
            before.cancel();
        }
        current.insert(sender, (self.number, replaced.clone()));
    }

    fn deliver(&self, received: Received<T>) {
        if let Err(TrySendError::Full(_)) = self.inbox.try_send(received) {
            self.shared.lock().stats.inbox_full += 1;
            log::warn!("event=inbox_full");
        }
    }
}

fn check<T: DeserializeOwned>(
    shared: &Shared,
    frame: &[u8],
) -> Result<(Envelope, Option<T>), Error> {
    let secret = shared.lock().secret.clone();
    let (envelope, payload) = open::<FramePayload>(frame, &secret)?;
    let body = shared.lock().take(&envelope, payload, frame.len())?;
    let message = body.map(|body| postcard::from_bytes(&body)).transpose();
    let message = message.map_err(|_| Error::Frame(control::Error::Undecodable))?;
    Ok((envelope, message))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
