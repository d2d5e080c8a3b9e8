use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_wire::control::{Envelope, Secret, seal};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::frame::LENGTH_FIELD_BYTES;
use crate::{Bucket, Detector, Error, Filter, Payload, Queue, Settings, Stats};

/// What is kept for a peer across its connections.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) queue: Queue,
    pub(crate) detector: Detector,
    /// Wakes the task that sends to this peer, after a message was queued.
    pub(crate) queued: Arc<Notify>,
    /// When the last frame was sealed for this peer.
    last_frame: Option<Duration>,
}

/// The state that the tasks of the connections and the callers of the mesh share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) secret: Secret,
    pub(crate) peers: BTreeMap<u16, Peer>,
    pub(crate) filter: Filter,
    pub(crate) stats: Stats,
    bucket: Bucket,
    sequence: u64,
    start: Instant,
}

/// A sealed frame that is ready to be sent.
pub(crate) struct Frame {
    pub(crate) bytes: Bytes,
    /// The message in the frame, kept so that it can be sealed again for another connection.
    body: Option<Vec<u8>>,
    incarnation: u64,
}

impl State {
    pub(crate) fn new(settings: Settings, secret: Secret) -> Self {
        State {
            bucket: Bucket::new(settings.rate, settings.burst, Duration::ZERO),
            settings,
            secret,
            peers: BTreeMap::new(),
            filter: Filter::default(),
            stats: Stats::default(),
            sequence: 0,
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The addresses of the peers, by id.
    pub(crate) fn addresses(&self) -> BTreeMap<u16, SocketAddr> {
        let peers = self.peers.iter();
        peers.map(|(id, peer)| (*id, peer.address)).collect()
    }

    /// The notification that a message was queued for a peer; none if there is no such peer any
    /// more.
    pub(crate) fn queued(&self, id: u16) -> Option<Arc<Notify>> {
        self.peers.get(&id).map(|peer| Arc::clone(&peer.queued))
    }

    /// Records that a new connection to a peer is open.
    pub(crate) fn record_connected(&mut self, id: u16) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.detector.connected();
        }
    }

    /// Whether the connection to a peer has gone silent.
    pub(crate) fn is_silent(&self, id: u16, jitter: f64) -> bool {
        let (now, timeout) = (self.now(), self.settings.silence_timeout());
        let max_timeout = self.settings.max_silence_timeout;
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| peer.detector.is_silent(now, timeout, max_timeout, jitter))
    }

    /// Records that the silent connection to a peer is being replaced.
    pub(crate) fn record_redial(&mut self, id: u16) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.detector.replaced();
            self.stats.peers.entry(id).or_default().redials += 1;
        }
    }

    /// Sets the peers; returns false if they are the same as before. Queued messages of a peer that
    /// is removed or has a new address are dropped.
    pub(crate) fn set_peers(&mut self, peers: &[(u16, SocketAddr)]) -> bool {
        let before = self.addresses();
        let kept = |id: &u16, peer: &mut Peer| peers.contains(&(*id, peer.address));
        self.peers.retain(kept);
        for (id, address) in peers.iter().filter(|(id, _)| *id != self.settings.id) {
            let queue = Queue::new(self.settings.queue_messages, self.settings.queue_bytes);
            self.peers.entry(*id).or_insert_with(|| Peer {
                address: *address,
                queue,
                detector: Detector::new(),
                queued: Arc::new(Notify::new()),
                last_frame: None,
            });
        }
        let known = &self.peers;
        self.stats.peers.retain(|id, _| known.contains_key(id));
        before != self.addresses()
    }

    /// Sets the incarnation of this balancer, starts a new sequence and drops all queued messages.
    /// Those stem from the previous incarnation; sealed now, they would count as messages of the
    /// new one. No frame of the new sequence has been echoed yet, so the silence detectors start
    /// anew.
    pub(crate) fn set_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.settings.incarnation {
            return;
        }
        self.settings.incarnation = incarnation;
        self.sequence = 0;
        for peer in self.peers.values_mut() {
            peer.queue = Queue::new(self.settings.queue_messages, self.settings.queue_bytes);
            peer.detector = Detector::new();
        }
    }

    /// Seals the next frame for a peer: the next queued message that the budget allows, or an empty
    /// frame if a keepalive is due.
    pub(crate) fn next_frame(&mut self, id: u16) -> Option<Frame> {
        let now = self.now();
        let keepalive = self.settings.keepalive();
        let room = self.bucket.has_room(now);
        let peer = self.peers.get_mut(&id)?;
        let body = peer.queue.pop(room);
        let idle = peer
            .last_frame
            .is_none_or(|last| now.saturating_sub(last) >= keepalive);
        if body.is_none() && !idle {
            return None;
        }
        self.seal(id, body)
    }

    /// Seals the first frame of a new connection. It carries no message and is short, because a
    /// receiver accepts no long frame before the first valid one.
    pub(crate) fn opening_frame(&mut self, id: u16) -> Option<Frame> {
        self.seal(id, None)
    }

    /// Seals a frame again that was not sent completely over the last connection. Its new sequence
    /// number is higher than that of the new connection's first frame, so the receiver doesn't take
    /// it for a replay. None if the incarnation has changed since.
    pub(crate) fn reseal(&mut self, id: u16, frame: Frame) -> Option<Frame> {
        if frame.incarnation != self.settings.incarnation {
            return None;
        }
        self.seal(id, frame.body)
    }

    fn seal(&mut self, id: u16, body: Option<Vec<u8>>) -> Option<Frame> {
        let now = self.now();
        let peer = self.peers.get_mut(&id)?;
        peer.last_frame = Some(now);
        self.sequence += 1;
        let sequence = self.sequence;
        peer.detector.sent(now, sequence);
        let (sender, incarnation) = (self.settings.id, self.settings.incarnation);
        let payload = Payload {
            to: id,
            echo: self.filter.last(id),
            body,
        };
        let bytes = seal(
            &Envelope {
                sender,
                incarnation,
                sequence,
            },
            &payload,
            &self.secret,
        );
        self.bucket.charge(bytes.len() + LENGTH_FIELD_BYTES);
        Some(Frame {
            bytes: bytes.into(),
            body: payload.body,
            incarnation,
        })
    }

    pub(crate) fn count_sent(&mut self, id: u16, bytes: usize) {
        let counters = self.stats.peers.entry(id).or_default();
        counters.sent_frames += 1;
        counters.sent_bytes += (bytes + LENGTH_FIELD_BYTES) as u64;
    }

    pub(crate) fn count_refused(&mut self, error: &Error) {
        *self.stats.refused.entry(error.code()).or_default() += 1;
    }

    /// Checks the addressing and freshness of an authenticated frame, records its echo and returns
    /// its message, if any. `bytes` is the frame's length.
    pub(crate) fn accept_frame(
        &mut self,
        envelope: &Envelope,
        payload: Payload,
        bytes: usize,
    ) -> Result<Option<Vec<u8>>, Error> {
        if payload.to != self.settings.id || envelope.sender == self.settings.id {
            return Err(Error::Misaddressed);
        }
        self.filter.accept(envelope)?;
        let now = self.now();
        let own = self.settings.incarnation;
        if let Some(peer) = self.peers.get_mut(&envelope.sender) {
            if let Some(echo) = payload.echo.filter(|echo| echo.incarnation == own) {
                peer.detector.echoed(now, echo.sequence);
            }
            let counters = self.stats.peers.entry(envelope.sender).or_default();
            counters.received_frames += 1;
            counters.received_bytes += (bytes + LENGTH_FIELD_BYTES) as u64;
        }
        Ok(payload.body)
    }
}
