use std::marker::PhantomData;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use acacia_wire::control::{Envelope, MAX_FRAME, Secret};
use crossbeam_channel::{Receiver, Sender, bounded};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::state::State;
use crate::{Class, Error, Settings, Stats, receive, send};

/// Largest encoded message. The rest of the largest frame is room for the envelope, the
/// authenticator and the other fields of the payload.
const MAX_MESSAGE: usize = MAX_FRAME - 128;

/// A message from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<T> {
    /// The authenticated sender, its incarnation, and the frame's sequence number.
    pub envelope: Envelope,
    /// The decoded message.
    pub message: T,
}

/// The control connections of one balancer. Closing or dropping the mesh closes them and joins
/// their thread.
pub struct Mesh<T> {
    shared: Arc<Shared>,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
    message: PhantomData<fn(T)>,
}

impl<T: Serialize + DeserializeOwned + Send + 'static> Mesh<T> {
    /// Opens the listening socket and starts the thread that sends and receives. Received messages
    /// arrive on the returned channel.
    ///
    /// ```
    /// use acacia_peer::{Class, Mesh, Settings};
    /// use acacia_wire::control::Secret;
    /// let secret = Secret::new(&[7; 32], None);
    /// let (one, two) = ("127.8.0.1:47301".parse().unwrap(), "127.8.0.2:47301".parse().unwrap());
    /// let (mesh, _) = Mesh::<String>::open(Settings::new(1, one, 1), secret.clone()).unwrap();
    /// let (_other, inbox) = Mesh::<String>::open(Settings::new(2, two, 1), secret).unwrap();
    /// mesh.set_peers(&[(2, two)]);
    /// mesh.send(2, Class::Urgent, &"hello".to_string()).unwrap();
    /// assert_eq!(inbox.recv().unwrap().message, "hello");
    /// ```
    pub fn open(
        settings: Settings,
        secret: Secret,
    ) -> Result<(Self, Receiver<Received<T>>), Error> {
        let listener = listen(settings.listen)?;
        let seed = settings.incarnation ^ u64::from(settings.id).rotate_left(32);
        let (inbox, received) = bounded(settings.inbox);
        let shared = Arc::new(Shared::new(State::new(settings, secret)));
        let stop = CancellationToken::new();
        let thread = spawn(Arc::clone(&shared), listener, inbox, seed, stop.clone())?;
        let mesh = Mesh {
            shared,
            stop,
            thread: Some(thread),
            message: PhantomData,
        };
        Ok((mesh, received))
    }

    /// Queues a message for a peer, without blocking. If the queue is full or the message too
    /// large, drops the message, counts it and returns an error.
    pub fn send(&self, to: u16, class: Class, message: &T) -> Result<(), Error> {
        let body = postcard::to_allocvec(message).map_err(|_| Error::QueueFull(to))?;
        let mut state = self.shared.lock();
        let peer = state.peers.get_mut(&to).ok_or(Error::UnknownPeer(to))?;
        if body.len() > MAX_MESSAGE || !peer.queue.push(class, body) {
            state.stats.peers.entry(to).or_default().dropped += 1;
            return Err(Error::QueueFull(to));
        }
        peer.queued.notify_one();
        Ok(())
    }
}

impl<T> Mesh<T> {
    /// Sets the peers to which connections are kept, by id and address. A peer that is no longer
    /// among them is disconnected and its queue dropped; so is one whose address has changed, and
    /// it is then dialled at its new address.
    pub fn set_peers(&self, peers: &[(u16, SocketAddr)]) {
        if self.shared.lock().set_peers(peers) {
            self.shared.peers_changed.notify_one();
        }
    }

    /// Sets the incarnation when this balancer joins the group again, and drops all queued
    /// messages. Does nothing if the incarnation is unchanged, so it may be called in every control
    /// round.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.shared.lock().set_incarnation(incarnation);
    }

    /// Sets the keys that authenticate frames, to change the key without closing connections.
    pub fn set_secret(&self, secret: Secret) {
        self.shared.lock().secret = secret;
    }

    /// Sets how often the application sends to each peer; see [`Settings::send_interval`].
    pub fn set_send_interval(&self, send_interval: Duration) {
        self.shared.lock().settings.send_interval = send_interval;
    }

    /// The counters of the mesh.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let connections = self.shared.limiter.stats();
        Stats {
            connections,
            ..self.shared.lock().stats.clone()
        }
    }

    /// Closes all connections and joins their thread. Queued messages are dropped.
    pub fn close(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the panic hook has reported it and all connections are
            // closed.
            let _ = thread.join();
        }
    }
}

impl<T> Drop for Mesh<T> {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    open().map_err(|error: std::io::Error| Error::Listen {
        address,
        reason: error.to_string(),
    })
}

/// Starts the thread that runs all connections until `stop` is cancelled.
fn spawn<T: DeserializeOwned + Send + 'static>(
    shared: Arc<Shared>,
    listener: TcpListener,
    inbox: Sender<Received<T>>,
    seed: u64,
    stop: CancellationToken,
) -> Result<JoinHandle<()>, Error> {
    let failed = |error: std::io::Error| Error::Spawn(error.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(failed)?;
    let listener = {
        let _inside = runtime.enter();
        tokio::net::TcpListener::from_std(listener).map_err(failed)?
    };
    let run = async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = send::run(Arc::clone(&shared), seed) => {}
            () = receive::run(shared, listener, inbox, stop.clone()) => {}
        }
    };
    // The runtime is dropped when the thread ends, which aborts all remaining tasks.
    let thread = Builder::new().name("peer".into());
    thread.spawn(move || runtime.block_on(run)).map_err(failed)
}
