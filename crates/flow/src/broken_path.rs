use acacia_wire::{collections::Map, packet::Packet};

/// Associativity and number of sets of the table of recent packets. An entry takes 24 bytes, so the
/// table takes 50 KB per shard, whatever the traffic.
const WAYS: usize = 4;
const SETS: usize = 512;
/// Times that one balancer must see the same packet before the path of its flow counts as broken,
/// and milliseconds that these must span. A phone that loses its downlink for a few seconds also
/// retransmits. Retransmission intervals double, so three packets over 20 s at one of eight
/// balancers correspond to a few minutes in total; the caller's own operating system would wait for
/// fifteen.
const MIN_COPIES: u8 = 3;
const MIN_SPAN: u64 = 20_000;
/// Milliseconds after which an entry with repeated packets may be replaced. Retransmissions are at
/// most two minutes apart (RFC 6298 lets an implementation cap the interval at 60 s or above), and
/// are spread over the balancers.
const ENTRY_TTL: u64 = 600_000;
/// Milliseconds for which a server counts as healthy after it answered a flow.
const HEALTHY_TTL: u64 = 30_000;
/// Maximum number of servers whose last answer is recorded.
const MAX_SERVERS: usize = 4_096;
/// Minimum payload that counts as retransmitted data. Keep-alives and window probes carry one byte,
/// are repeated unchanged, and come from flows that are merely idle.
const MIN_PAYLOAD: u16 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    tag: u32,
    sequence: u32,
    acknowledgement: u32,
    /// When the packet was first and last seen, in tenths of a second.
    first: u32,
    last: u32,
    count: u8,
}

/// Detects flows whose path to the server is broken: the caller retransmits the same data without
/// receiving an acknowledgement, while the server answers other flows.
#[derive(Debug)]
pub(crate) struct Detector {
    entries: Box<[[Entry; WAYS]]>,
    last_answer: Map<(u64, u16), u64>,
}

impl Detector {
    pub(crate) fn new() -> Self {
        Detector {
            entries: vec![[Entry::default(); WAYS]; SETS].into(),
            last_answer: Map::default(),
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        size_of::<[Entry; WAYS]>() * SETS + self.last_answer.capacity() * 8 / 7 * 32
    }

    /// Records a packet with data that is forwarded to `server` of the service that first appeared
    /// in table version `service`. Returns whether the path of the flow is broken.
    pub(crate) fn is_path_broken(
        &mut self,
        hash: u64,
        packet: &Packet,
        service: u64,
        server: u16,
        now: u64,
    ) -> bool {
        if packet.payload < MIN_PAYLOAD {
            return false;
        }
        let tag = (hash >> 32) as u32;
        let set = &mut self.entries[hash as usize >> 8 & (SETS - 1)];
        let decisecond = (now / 100) as u32;
        let Some(entry) = set
            .iter_mut()
            .find(|entry| entry.count > 0 && entry.tag == tag)
        else {
            replace(set, tag, packet, decisecond);
            return false;
        };
        let repeated =
            entry.sequence == packet.sequence && entry.acknowledgement == packet.acknowledgement;
        if !repeated {
            let answered = entry.acknowledgement != packet.acknowledgement;
            *entry = Entry::of(tag, packet, decisecond);
            if answered && self.last_answer.len() < MAX_SERVERS {
                self.last_answer.insert((service, server), now);
            }
            return false;
        }
        entry.count = entry.count.saturating_add(1);
        entry.last = decisecond;
        let span = u64::from(entry.last - entry.first) * 100;
        let healthy = self
            .last_answer
            .get(&(service, server))
            .is_some_and(|at| now <= at + HEALTHY_TTL);
        let broken = entry.count >= MIN_COPIES && span >= MIN_SPAN && healthy;
        if broken {
            *entry = Entry::default();
        }
        broken
    }

    pub(crate) fn sweep(&mut self, now: u64) {
        self.last_answer.retain(|_, at| now <= *at + HEALTHY_TTL);
    }
}

impl Entry {
    fn of(tag: u32, packet: &Packet, decisecond: u32) -> Self {
        Entry {
            tag,
            sequence: packet.sequence,
            acknowledgement: packet.acknowledgement,
            first: decisecond,
            last: decisecond,
            count: 1,
        }
    }
}

/// Replaces the oldest entry of a set whose packet was seen only once, or not for [`ENTRY_TTL`].
/// Entries with repeated packets stay, so that heavy traffic of other flows can't evict a flow
/// whose path is broken.
fn replace(set: &mut [Entry; WAYS], tag: u32, packet: &Packet, decisecond: u32) {
    let ttl = (ENTRY_TTL / 100) as u32;
    let is_protected =
        |entry: &Entry| entry.count > 1 && decisecond.saturating_sub(entry.last) < ttl;
    let oldest = set
        .iter_mut()
        .filter(|entry| !is_protected(entry))
        .min_by_key(|entry| entry.last);
    if let Some(entry) = oldest {
        *entry = Entry::of(tag, packet, decisecond);
    }
}
