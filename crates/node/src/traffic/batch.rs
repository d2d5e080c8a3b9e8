//! Batched datagrams: many packets a system call, in both directions.

use std::{
    io::{IoSlice, IoSliceMut},
    net::{SocketAddrV4, UdpSocket},
    ops::Range,
    os::fd::AsRawFd as _,
};

use nix::{
    errno::Errno,
    sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrIn, recvmmsg, sendmmsg},
};

/// Datagrams taken or sent in one system call. More gains little over the cost of the call and
/// lets the first packet of a batch wait for the last.
pub const SIZE: usize = 32;
/// Largest datagram taken, in bytes: a jumbo frame. One that fills its buffer was cut and is
/// dropped.
pub const LARGEST: usize = 9216;

/// Buffers for one batch of received datagrams.
#[derive(Debug)]
pub struct Received {
    buffers: Vec<Vec<u8>>,
    headers: MultiHeaders<SockaddrIn>,
    lengths: Vec<usize>,
}

impl Default for Received {
    fn default() -> Self {
        Received {
            buffers: vec![vec![0; LARGEST]; SIZE],
            headers: MultiHeaders::preallocate(SIZE, None),
            lengths: Vec::with_capacity(SIZE),
        }
    }
}

impl Received {
    /// Waits for datagrams, no longer than the socket's read timeout, and takes up to [`SIZE`].
    /// Nothing within that time is an empty batch.
    pub fn fill(&mut self, socket: &UdpSocket) -> std::io::Result<()> {
        self.lengths.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> = self
            .buffers
            .iter_mut()
            .map(|buffer| [IoSliceMut::new(buffer)])
            .collect();
        let taken = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            MsgFlags::MSG_WAITFORONE,
            None,
        );
        match taken {
            Ok(results) => self.lengths.extend(results.map(|result| result.bytes)),
            Err(Errno::EAGAIN | Errno::EINTR) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Number of datagrams in the batch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lengths.len()
    }

    /// Whether the batch is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    /// The datagram at `index`.
    #[must_use]
    pub fn get(&self, index: usize) -> &[u8] {
        &self.buffers[index][..self.lengths[index]]
    }
}

/// Where the bytes of a datagram to send are.
#[derive(Debug, Clone)]
enum Source {
    /// A part of a received datagram, sent as it is.
    Received(usize, Range<usize>),
    /// A datagram built here.
    Built(usize),
}

/// A batch of datagrams to send.
#[derive(Debug)]
pub struct ToSend {
    entries: Vec<(SocketAddrV4, Source)>,
    /// Buffers, kept from batch to batch; the first `used` are in this one.
    built: Vec<Vec<u8>>,
    used: usize,
    headers: MultiHeaders<SockaddrIn>,
}

impl Default for ToSend {
    fn default() -> Self {
        ToSend {
            entries: Vec::with_capacity(SIZE),
            built: Vec::new(),
            used: 0,
            headers: MultiHeaders::preallocate(SIZE, None),
        }
    }
}

impl ToSend {
    /// Adds `range` of the received datagram at `index`, without a copy.
    pub fn forward(&mut self, to: SocketAddrV4, index: usize, range: Range<usize>) {
        self.entries.push((to, Source::Received(index, range)));
    }

    /// Adds a datagram that `write` builds in an empty buffer.
    pub fn build(&mut self, to: SocketAddrV4, write: impl FnOnce(&mut Vec<u8>)) {
        if self.used == self.built.len() {
            self.built.push(Vec::new());
        }
        let buffer = &mut self.built[self.used];
        buffer.clear();
        write(buffer);
        self.entries.push((to, Source::Built(self.used)));
        self.used += 1;
    }

    /// Sends the batch and empties it. Returns how many datagrams the kernel did not take: they
    /// are lost as in any network, and the caller's transport sends them again.
    pub fn flush(&mut self, socket: &UdpSocket, received: &Received) -> usize {
        let (mut at, mut lost) = (0, 0);
        while at < self.entries.len() {
            match self.send(socket, received, at) {
                Ok(sent) if sent > 0 => at += sent,
                // The socket takes no more now, and packets that waited would come too late.
                Err(Errno::EAGAIN | Errno::ENOBUFS) => {
                    lost += self.entries.len() - at;
                    break;
                }
                // The kernel stops at a datagram that it refuses: its network is gone, a rule
                // forbids it, or it is too large. Given up with it, the packets behind it would be
                // missed by the flows of healthy servers.
                _ => {
                    lost += 1;
                    at += 1;
                }
            }
        }
        self.entries.clear();
        self.used = 0;
        lost
    }

    /// Sends up to [`SIZE`] datagrams from `first` on; gives how many the kernel took.
    fn send(
        &mut self,
        socket: &UdpSocket,
        received: &Received,
        first: usize,
    ) -> Result<usize, Errno> {
        let rest = &self.entries[first..];
        let chunk = &rest[..rest.len().min(SIZE)];
        // On the stack: two allocations a batch cost more than all else here.
        let slices: [[IoSlice<'_>; 1]; SIZE] = std::array::from_fn(|at| {
            let bytes = match chunk.get(at) {
                Some((_, Source::Received(index, range))) => &received.get(*index)[range.clone()],
                Some((_, Source::Built(index))) => &self.built[*index],
                None => &[],
            };
            [IoSlice::new(bytes)]
        });
        let addresses: [Option<SockaddrIn>; SIZE] =
            std::array::from_fn(|at| chunk.get(at).map(|(to, _)| SockaddrIn::from(*to)));
        let no_control: [ControlMessage<'_>; 0] = [];
        let sent = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            &slices[..chunk.len()],
            &addresses[..chunk.len()],
            no_control,
            MsgFlags::MSG_DONTWAIT,
        );
        sent.map(Iterator::count)
    }
}
