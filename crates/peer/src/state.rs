use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_wire::control::{Envelope, Secret, seal};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::frame::LENGTH;
use crate::{Bucket, Error, FramePayload, Queue, ReplayFilter, Settings, SilenceDetector, Stats};

/// A peer, apart from its socket.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) queue: Queue,
    pub(crate) detector: SilenceDetector,
    /// Wakes the task that sends to it.
    pub(crate) queued: Arc<Notify>,
    /// When a frame was last made for it.
    last_frame: Option<Duration>,
}

/// What the connections' tasks and the callers share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) secret: Secret,
    pub(crate) peers: BTreeMap<u16, Peer>,
    pub(crate) filter: ReplayFilter,
    pub(crate) stats: Stats,
    bucket: Bucket,
    sequence: u64,
    start: Instant,
}

/// A frame to send.
pub(crate) struct Frame {
    pub(crate) bytes: Bytes,
    /// What it carries, to be sealed again for another connection.
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
            filter: ReplayFilter::default(),
            stats: Stats::default(),
            sequence: 0,
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The peers and where they are.
    pub(crate) fn addresses(&self) -> BTreeMap<u16, SocketAddr> {
        let peers = self.peers.iter();
        peers.map(|(id, peer)| (*id, peer.address)).collect()
    }

    /// What wakes the task that sends to a peer; none if it is no peer any more.
    pub(crate) fn queued(&self, id: u16) -> Option<Arc<Notify>> {
        self.peers.get(&id).map(|peer| Arc::clone(&peer.queued))
    }

    /// A new connection to a peer is open.
    pub(crate) fn connected(&mut self, id: u16) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.detector.connected();
        }
    }

    /// Whether the connection to a peer has gone silent.
    pub(crate) fn is_silent(&self, id: u16, jitter: f64) -> bool {
        let (now, silent) = (self.now(), self.settings.silence_timeout());
        let longest = self.settings.max_silence_timeout;
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| peer.detector.is_silent(now, silent, longest, jitter))
    }

    /// The silent connection to a peer is being replaced.
    pub(crate) fn redialled(&mut self, id: u16) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.detector.replaced();
            self.stats.peers.entry(id).or_default().redials += 1;
        }
    }

    /// Sets the peers; false if they are those that were set before.
    pub(crate) fn set_peers(&mut self, peers: &[(u16, SocketAddr)]) -> bool {
        let before = self.addresses();
        let kept = |id: &u16, peer: &mut Peer| peers.contains(&(*id, peer.address));
        self.peers.retain(kept);
        for (id, address) in peers.iter().filter(|(id, _)| *id != self.settings.id) {
            let queue = Queue::new(self.settings.queue_messages, self.settings.queue_bytes);
            self.peers.entry(*id).or_insert_with(|| Peer {
                address: *address,
                queue,
                detector: SilenceDetector::new(),
                queued: Arc::new(Notify::new()),
                last_frame: None,
            });
        }
        let known = &self.peers;
        self.stats.peers.retain(|id, _| known.contains_key(id));
        before != self.addresses()
    }

    /// A new incarnation begins a new sequence, of which nothing was echoed yet. What waits was
    /// said in the former life; sealed now, it would pass for the new one's word.
    pub(crate) fn set_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.settings.incarnation {
            return;
        }
        self.settings.incarnation = incarnation;
        self.sequence = 0;
        for peer in self.peers.values_mut() {
            peer.queue = Queue::new(self.settings.queue_messages, self.settings.queue_bytes);
            peer.detector = SilenceDetector::new();
        }
    }

    /// The next frame for a peer, if something waits that may pass, or its connection needs to be
    /// kept alive.
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

    /// The frame that a new connection begins with. It carries nothing and is short: before the first
    /// valid frame, a receiver takes no long one.
    pub(crate) fn opening(&mut self, id: u16) -> Option<Frame> {
        self.seal(id, None)
    }

    /// A frame that the last connection did not take whole, with a later number than the opening of
    /// the new one; none if this balancer has joined anew since.
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
        let payload = FramePayload {
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
        self.bucket.charge(bytes.len() + LENGTH);
        Some(Frame {
            bytes: bytes.into(),
            body: payload.body,
            incarnation,
        })
    }

    pub(crate) fn count_sent(&mut self, id: u16, bytes: usize) {
        let traffic = self.stats.peers.entry(id).or_default();
        traffic.sent_frames += 1;
        traffic.sent_bytes += (bytes + LENGTH) as u64;
    }

    pub(crate) fn count_refused(&mut self, error: &Error) {
        *self.stats.refused.entry(error.code()).or_default() += 1;
    }

    /// Checks an opened frame and takes its echo; gives its body.
    pub(crate) fn take(
        &mut self,
        envelope: &Envelope,
        payload: FramePayload,
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
            let traffic = self.stats.peers.entry(envelope.sender).or_default();
            traffic.received_frames += 1;
            traffic.received_bytes += (bytes + LENGTH) as u64;
        }
        Ok(payload.body)
    }
}
