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

/// Largest encoded message: a frame with its envelope, authenticator and addressing.
const MAX_MESSAGE: usize = MAX_FRAME - 128;

/// A message from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<T> {
    /// Who sent it.
    pub envelope: Envelope,
    /// The message.
    pub message: T,
}

/// The control connections of one balancer. Closing or dropping it ends them and joins their thread.
pub struct Mesh<T> {
    shared: Arc<Shared>,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
    message: PhantomData<fn(T)>,
}

impl<T: Serialize + DeserializeOwned + Send + 'static> Mesh<T> {
    /// Listens, and begins to send and receive.
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

    /// Queues a message for a peer. Never blocks; a full queue drops the message, counts it and
    /// says so.
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
    /// Sets to whom connections are kept. Queues of those that are no longer among them are
    /// dropped; a changed address is dialled anew.
    pub fn set_peers(&self, peers: &[(u16, SocketAddr)]) {
        if self.shared.lock().set_peers(peers) {
            self.shared.peers_changed.notify_one();
        }
    }

    /// Sets the incarnation, when this balancer joins again, and drops what still waits to be
    /// sent. Does nothing if it is the present one, so it may be called in every round.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.shared.lock().set_incarnation(incarnation);
    }

    /// Sets the keys, during a change of key.
    pub fn set_secret(&self, secret: Secret) {
        self.shared.lock().secret = secret;
    }

    /// Sets how often the application sends to each peer; see [`Settings::send_interval`].
    pub fn set_send_interval(&self, send_interval: Duration) {
        self.shared.lock().settings.send_interval = send_interval;
    }

    /// The counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let connections = self.shared.limiter.stats();
        Stats {
            connections,
            ..self.shared.lock().stats.clone()
        }
    }

    /// Closes all connections and joins the thread that keeps them. What is still queued is dropped.
    pub fn close(mut self) {
        self.shut();
    }

    fn shut(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic in it has been printed; there is nothing left to end.
            let _ = thread.join();
        }
    }
}

impl<T> Drop for Mesh<T> {
    fn drop(&mut self) {
        self.shut();
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

/// Starts the thread that keeps all connections, until `stop`.
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
    // The runtime is dropped with the thread, and with it all tasks that are still there.
    let thread = Builder::new().name("peer".into());
    thread.spawn(move || runtime.block_on(run)).map_err(failed)
}
