use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use acacia_wire::control::{Envelope, MAX_FRAME, Secret};
use crossbeam_channel::{Receiver, bounded};
use nng::options::{Options, RecvMaxSize};
use nng::{Protocol, Socket};
use serde::{Serialize, de::DeserializeOwned};

use crate::send::Shared;
use crate::state::State;
use crate::{Class, Error, Settings, Stats, receive, send};

/// What a sender's length field may claim. Somewhat more than a legal frame, so that one that is
/// just too large is counted; nng closes the connection of whoever claims more, unread.
const MAX_CLAIM: usize = MAX_FRAME + 4096;
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

/// The control connections of one balancer. Closing or dropping it joins its threads. (nng keeps
/// threads of its own for the whole process; they end with it.)
pub struct Mesh<T> {
    shared: Arc<Shared>,
    listener: Socket,
    threads: Vec<JoinHandle<()>>,
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
        let mut mesh = Mesh {
            shared,
            listener,
            threads: Vec::new(),
            message: PhantomData,
        };
        let shared = Arc::clone(&mesh.shared);
        mesh.spawn("peer-send", move || send::run(&shared, seed))?;
        let (shared, socket) = (Arc::clone(&mesh.shared), mesh.listener.clone());
        mesh.spawn("peer-receive", move || {
            receive::run(&shared, &socket, &inbox)
        })?;
        Ok((mesh, received))
    }

    /// Queues a message for a peer. Never blocks; a full queue drops the message, counts it and
    /// says so.
    pub fn send(&self, to: u16, class: Class, message: &T) -> Result<(), Error> {
        let body = postcard::to_allocvec(message).map_err(|_| Error::Full(to))?;
        let mut state = self.shared.lock();
        let peer = state.peers.get_mut(&to).ok_or(Error::Unknown(to))?;
        if body.len() > MAX_MESSAGE || !peer.queue.push(class, body) {
            state.stats.peers.entry(to).or_default().dropped += 1;
            return Err(Error::Full(to));
        }
        self.shared.wake(&mut state);
        Ok(())
    }
}

impl<T> Mesh<T> {
    fn spawn(&mut self, name: &str, task: impl FnOnce() + Send + 'static) -> Result<(), Error> {
        let thread = Builder::new().name(name.into()).spawn(task);
        self.threads
            .push(thread.map_err(|error| Error::Spawn(error.to_string()))?);
        Ok(())
    }

    /// Sets to whom connections are kept. Queues of those that are no longer among them are
    /// dropped; a changed address is dialled anew.
    pub fn set_peers(&self, peers: &[(u16, SocketAddr)]) {
        let mut state = self.shared.lock();
        state.set_peers(peers);
        self.shared.wake(&mut state);
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

    /// Sets how often the application sends to each peer; see [`Settings::pace`].
    pub fn set_pace(&self, pace: Duration) {
        self.shared.lock().settings.pace = pace;
    }

    /// The counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats.clone()
    }

    /// Ends both threads and joins them. What is still queued is dropped.
    pub fn close(mut self) {
        self.shut();
    }

    fn shut(&mut self) {
        {
            let mut state = self.shared.lock();
            state.closing = true;
            self.shared.wake(&mut state);
        }
        self.listener.close();
        for thread in self.threads.drain(..) {
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

fn listen(address: SocketAddr) -> Result<Socket, Error> {
    let open = || {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MAX_CLAIM)?;
        socket.listen(&format!("tcp://{address}"))?;
        Ok(socket)
    };
    open().map_err(|error: nng::Error| Error::Listen {
        address,
        reason: error.to_string(),
    })
}
