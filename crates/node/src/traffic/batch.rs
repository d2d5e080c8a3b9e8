//! Batched datagram I/O: receives and sends many packets with one system call.

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

/// Maximum number of datagrams per system call. Larger batches save little more of the cost of the
/// call, and delay the first packet of a batch until the last is handled.
pub const SIZE: usize = 32;
/// Size of a receive buffer, in bytes: a jumbo frame. A datagram that fills it may have been
/// truncated and is dropped.
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
    /// Waits for datagrams and receives up to [`SIZE`] of them. The batch is empty if none arrives
    /// within the socket's read timeout.
    pub fn fill(&mut self, socket: &UdpSocket) -> std::io::Result<()> {
        self.lengths.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> = self
            .buffers
            .iter_mut()
            .map(|buffer| [IoSliceMut::new(buffer)])
            .collect();
        let result = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            MsgFlags::MSG_WAITFORONE,
            None,
        );
        match result {
            Ok(results) => self.lengths.extend(results.map(|result| result.bytes)),
            Err(Errno::EAGAIN | Errno::EINTR) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Returns the number of datagrams in the batch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lengths.len()
    }

    /// Returns whether the batch is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    /// Returns the datagram at `index`.
    #[must_use]
    pub fn get(&self, index: usize) -> &[u8] {
        &self.buffers[index][..self.lengths[index]]
    }
}

/// Location of the bytes of a datagram to send.
#[derive(Debug, Clone)]
enum Source {
    /// A range of the received datagram at an index, sent unchanged.
    Received(usize, Range<usize>),
    /// The index of a buffer in [`ToSend::built`].
    Built(usize),
}

/// A batch of datagrams to send.
#[derive(Debug)]
pub struct ToSend {
    entries: Vec<(SocketAddrV4, Source)>,
    /// Buffers for datagrams that are built, reused between batches. The first `used` belong to the
    /// current one.
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
    /// Adds a range of the received datagram at `index`, without copying it.
    pub fn forward(&mut self, to: SocketAddrV4, index: usize, range: Range<usize>) {
        self.entries.push((to, Source::Received(index, range)));
    }

    /// Adds a datagram that `write` appends to an empty buffer.
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

    /// Sends the batch and clears it. Returns the number of datagrams that the kernel did not
    /// accept. They are dropped as a network may drop them; the caller's transport retransmits.
    pub fn flush(&mut self, socket: &UdpSocket, received: &Received) -> usize {
        let (mut at, mut lost) = (0, 0);
        while at < self.entries.len() {
            match self.send(socket, received, at) {
                Ok(sent) if sent > 0 => at += sent,
                // The send buffer is full. The rest is dropped, as packets that waited would arrive
                // too late.
                Err(Errno::EAGAIN | Errno::ENOBUFS) => {
                    lost += self.entries.len() - at;
                    break;
                }
                // The kernel stops at a datagram that it rejects: its network is unreachable, a
                // firewall rule forbids it, or it is too large. Only that one is skipped, as the
                // packets behind it belong to flows of healthy servers.
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

    /// Sends up to [`SIZE`] datagrams, starting at index `first`. Returns how many the kernel
    /// accepted.
    fn send(
        &mut self,
        socket: &UdpSocket,
        received: &Received,
        first: usize,
    ) -> Result<usize, Errno> {
        let rest = &self.entries[first..];
        let chunk = &rest[..rest.len().min(SIZE)];
        // These arrays are on the stack: two allocations per batch cost more than the rest of this
        // function.
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
