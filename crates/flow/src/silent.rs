use acacia_wire::{collections::Map, packet::Packet};

/// Entries that a flow may be in, and how many groups of them there are. 24 bytes each: 50 KB a
/// shard, whatever the traffic.
const WAYS: usize = 4;
const GROUPS: usize = 512;
/// Sightings of one packet at one balancer after which its flow is taken for lost, and
/// milliseconds that they must span. A phone that loses its downlink for a few seconds resends as
/// well; the pauses between resends double, so three of them over 20 s at one of eight balancers
/// mean some minutes in all, and the caller's own system would wait for fifteen.
const SIGHTINGS: u8 = 3;
const SPAN: u64 = 20_000;
/// Milliseconds after which an entry that was seen again is forgotten: resends are at most two
/// minutes apart (RFC 6298 lets an implementation cap them at 60 s or above), and are spread over
/// the balancers.
const KEPT: u64 = 600_000;
/// Milliseconds within which a server must have served another flow to count as well.
const WELL: u64 = 30_000;
/// Most servers of which that is remembered.
const SERVERS: usize = 4_096;
/// Least payload that counts as resent data. Keep-alives and window probes carry one byte, repeat
/// themselves word for word, and come from flows that are merely idle.
const DATA: u16 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    tag: u32,
    sequence: u32,
    acknowledgement: u32,
    /// Deciseconds of the first and the last sighting.
    first: u32,
    last: u32,
    count: u8,
}

/// Finds flows whose path to the server is lost: the caller resends the same data and hears no
/// acknowledgement, while the server serves others.
#[derive(Debug)]
pub(crate) struct Watch {
    entries: Box<[[Entry; WAYS]]>,
    served: Map<(u64, u16), u64>,
}

impl Watch {
    pub(crate) fn new() -> Self {
        Watch {
            entries: vec![[Entry::default(); WAYS]; GROUPS].into(),
            served: Map::default(),
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        size_of::<[Entry; WAYS]>() * GROUPS + self.served.capacity() * 8 / 7 * 32
    }

    /// Notes a packet with data on its way to `server` of the service that appeared in version
    /// `service`. Gives whether its flow has lost its path.
    pub(crate) fn is_lost(
        &mut self,
        hash: u64,
        packet: &Packet,
        service: u64,
        server: u16,
        now: u64,
    ) -> bool {
        if packet.payload < DATA {
            return false;
        }
        let tag = (hash >> 32) as u32;
        let group = &mut self.entries[hash as usize >> 8 & (GROUPS - 1)];
        let moment = (now / 100) as u32;
        let Some(entry) = group
            .iter_mut()
            .find(|entry| entry.count > 0 && entry.tag == tag)
        else {
            replace(group, tag, packet, moment);
            return false;
        };
        let same =
            entry.sequence == packet.sequence && entry.acknowledgement == packet.acknowledgement;
        if !same {
            let answered = entry.acknowledgement != packet.acknowledgement;
            *entry = Entry::of(tag, packet, moment);
            if answered && self.served.len() < SERVERS {
                self.served.insert((service, server), now);
            }
            return false;
        }
        entry.count = entry.count.saturating_add(1);
        entry.last = moment;
        let span = u64::from(entry.last - entry.first) * 100;
        let well = self
            .served
            .get(&(service, server))
            .is_some_and(|at| now <= at + WELL);
        let lost = entry.count >= SIGHTINGS && span >= SPAN && well;
        if lost {
            *entry = Entry::default();
        }
        lost
    }

    pub(crate) fn sweep(&mut self, now: u64) {
        self.served.retain(|_, at| now <= *at + WELL);
    }
}

impl Entry {
    fn of(tag: u32, packet: &Packet, moment: u32) -> Self {
        Entry {
            tag,
            sequence: packet.sequence,
            acknowledgement: packet.acknowledgement,
            first: moment,
            last: moment,
            count: 1,
        }
    }
}

/// Puts a packet in the place of one that was seen once, the oldest first. Packets seen again
/// stay: other flows' traffic, however heavy, must not hide a lost one.
fn replace(group: &mut [Entry; WAYS], tag: u32, packet: &Packet, moment: u32) {
    let kept = (KEPT / 100) as u32;
    let is_kept = |entry: &Entry| entry.count > 1 && moment.saturating_sub(entry.last) < kept;
    let oldest = group
        .iter_mut()
        .filter(|entry| !is_kept(entry))
        .min_by_key(|entry| entry.last);
    if let Some(entry) = oldest {
        *entry = Entry::of(tag, packet, moment);
    }
}
