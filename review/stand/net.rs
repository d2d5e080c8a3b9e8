//! Backend servers and callers, which exchange packets in UDP datagrams.

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::Record;

const SYN: u8 = 4;
const FIN: u8 = 8;
const ACK: u8 = 32;
const RST: u8 = 128;
const HEADER: usize = 31;

#[derive(Clone)]
struct Packet {
    flags: u8,
    seq: u32,
    ack: u32,
    echo: u32,
    dst: ([u8; 4], u16),
    src: ([u8; 4], u16),
    data: Vec<u8>,
}

impl Packet {
    fn encode(&self, sum: u32) -> Vec<u8> {
        let mut out = vec![self.flags];
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(sum.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.dst.0);
        out.extend(self.dst.1.to_be_bytes());
        out.extend(self.src.1.to_be_bytes());
        out.extend(self.src.0);
        out.extend(&self.data);
        out
    }

    fn decode(bytes: &[u8]) -> Option<Packet> {
        let head: &[u8; HEADER] = bytes.first_chunk()?;
        let long =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let short = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        Some(Packet {
            flags: head[0],
            seq: long(1),
            ack: long(5),
            echo: long(13),
            dst: (long(19).to_be_bytes(), short(23)),
            src: (long(27).to_be_bytes(), short(25)),
            data: bytes[HEADER..].to_vec(),
        })
    }
}

/// A keyed sum stands in every packet that does not come from a balancer; nobody checks it here.
const SUM: u32 = 0x5eed_5eed;

struct Flow {
    seq: u32,
    expected: u32,
    isn: u32,
    ended: bool,
}

/// A backend server at an address of its own.
pub struct Host {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddrV4,
    ran: Mutex<HashMap<String, Instant>>,
}

impl Host {
    /// Starts a server that sends to callers on `port`.
    pub fn start(number: u8, service: &'static str, port: u16, record: Record) -> Arc<Host> {
        let (listener, socket, address) = loop {
            let listener = TcpListener::bind(format!("127.0.20.{number}:0")).unwrap();
            let address = listener.local_addr().unwrap();
            if let Ok(socket) = UdpSocket::bind(address) {
                break (listener, socket, address);
            }
        };
        let std::net::SocketAddr::V4(address) = address else {
            unreachable!()
        };
        let tag = 0x7f3a_9100 + u64::from(number);
        let id = format!("i-{tag:08x}");
        let host = Arc::new(Host {
            id,
            service,
            address,
            ran: Mutex::default(),
        });
        thread::spawn(move || {
            for stream in listener.incoming() {
                drop(stream);
            }
        });
        let server = Arc::clone(&host);
        thread::spawn(move || server.receive(&socket, tag, port, &record));
        host
    }

    /// The server's entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":1790000000000}}",
            self.service, self.address
        )
    }

    /// When the request with this name ran, if it did.
    pub fn ran(&self, request: &str) -> bool {
        self.ran.lock().unwrap().contains_key(request)
    }

    fn receive(&self, socket: &UdpSocket, tag: u64, port: u16, record: &Record) {
        let mut flows: HashMap<([u8; 4], u16), Flow> = HashMap::new();
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some((head, bytes)) = buffer[..length].split_first_chunk() else {
                continue;
            };
            if u64::from_be_bytes(*head) != tag {
                continue;
            }
            let Some(packet) = Packet::decode(bytes) else {
                continue;
            };
            let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| {
                let (dst, src, echo) = (packet.src, packet.dst, packet.echo);
                let answer = Packet {
                    flags,
                    seq,
                    ack,
                    echo,
                    dst,
                    src,
                    data,
                };
                let to = SocketAddrV4::new(packet.src.0.into(), port);
                let _ = socket.send_to(&answer.encode(SUM), to);
            };
            if packet.flags & SYN != 0 {
                let seq = packet.seq ^ 0x1357_9bdf ^ tag as u32;
                let known = flows
                    .get(&packet.src)
                    .is_some_and(|flow| flow.isn == packet.seq);
                if !known {
                    let (expected, isn) = (packet.seq.wrapping_add(1), packet.seq);
                    let flow = Flow {
                        seq: seq.wrapping_add(1),
                        expected,
                        isn,
                        ended: false,
                    };
                    flows.insert(packet.src, flow);
                }
                reply(SYN | ACK, seq, packet.seq.wrapping_add(1), Vec::new());
                continue;
            }
            let Some(flow) = flows.get_mut(&packet.src) else {
                if packet.flags & RST == 0 {
                    reply(RST, packet.ack, 0, Vec::new());
                }
                continue;
            };
            if packet.flags & RST != 0 {
                flow.ended = true;
                continue;
            }
            if flow.ended {
                reply(
                    if packet.flags & FIN != 0 { ACK } else { RST },
                    flow.seq,
                    flow.expected,
                    Vec::new(),
                );
                continue;
            }
            if !packet.data.is_empty() && packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                let request = String::from_utf8_lossy(&packet.data).into_owned();
                record.line(&format!(
                    "server={} service={} runs={request}",
                    self.id, self.service
                ));
                self.ran.lock().unwrap().insert(request, Instant::now());
                let data = packet.data.clone();
                let seq = flow.seq;
                flow.seq = flow.seq.wrapping_add(data.len() as u32);
                reply(ACK, seq, flow.expected, data);
            } else if !packet.data.is_empty() {
                reply(ACK, flow.seq, flow.expected, Vec::new());
            }
            if packet.flags & FIN != 0 {
                flow.ended = true;
                reply(
                    FIN | ACK,
                    flow.seq,
                    flow.expected.wrapping_add(1),
                    Vec::new(),
                );
            }
        }
    }
}

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Answered,
    /// A reset arrived before the flow was open.
    Refused,
    Reset,
    Silent,
    Wrong,
}

static PORTS: AtomicU32 = AtomicU32::new(0);

/// Opens a flow from `caller` to `route` through a balancer, sends one request on it, and closes it.
pub fn ask(
    caller: [u8; 4],
    port: u16,
    balancer: SocketAddrV4,
    route: ([u8; 4], u16),
    request: &str,
) -> End {
    let number = PORTS.fetch_add(1, Ordering::Relaxed);
    let from = (caller, 20_000 + (number % 40_000) as u16);
    let Ok(socket) = UdpSocket::bind(SocketAddrV4::new(caller.into(), port)) else {
        return End::Silent;
    };
    let isn = number.wrapping_mul(0x9e37_79b1) ^ 0x2468_ace0;
    let send = |flags: u8, seq: u32, ack: u32, echo: u32, data: &[u8]| {
        let packet = Packet {
            flags,
            seq,
            ack,
            echo,
            dst: route,
            src: from,
            data: data.to_vec(),
        };
        let _ = socket.send_to(&packet.encode(SUM), balancer);
    };
    let receive = |until: Instant| loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut buffer = [0; 2_048];
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if let Some(packet) = Packet::decode(&buffer[..length]).filter(|packet| packet.dst == from)
        {
            return Some(packet);
        }
    };
    let begun = Instant::now();
    let mut opened = None;
    for (copy, until) in [200, 600, 1_400].into_iter().enumerate() {
        send(SYN, isn, copy as u32, 0, &[]);
        while let Some(packet) = receive(begun + Duration::from_millis(until)) {
            if packet.flags & RST != 0 {
                return End::Refused;
            }
            if packet.flags & (SYN | ACK) == SYN | ACK && packet.ack == isn.wrapping_add(1) {
                opened = Some(packet);
                break;
            }
        }
        if opened.is_some() {
            break;
        }
    }
    let Some(packet) = opened else {
        return End::Silent;
    };
    let (seq, expected, echo) = (isn.wrapping_add(1), packet.seq.wrapping_add(1), packet.echo);
    send(ACK, seq, expected, echo, &[]);
    let deadline = Instant::now() + Duration::from_millis(1_000);
    let mut wait = Duration::from_millis(200);
    while Instant::now() < deadline {
        send(ACK, seq, expected, echo, request.as_bytes());
        let until = deadline.min(Instant::now() + wait);
        wait *= 2;
        while let Some(packet) = receive(until) {
            if packet.flags & RST != 0 {
                return End::Reset;
            }
            if packet.data.is_empty() || packet.seq != expected {
                continue;
            }
            let (next, acknowledged) = (
                seq.wrapping_add(request.len() as u32),
                expected.wrapping_add(packet.data.len() as u32),
            );
            send(ACK, next, acknowledged, echo, &[]);
            send(FIN | ACK, next, acknowledged, echo, &[]);
            return if packet.data == request.as_bytes() {
                End::Answered
            } else {
                End::Wrong
            };
        }
    }
    End::Silent
}

/// Names of requests that several servers ran.
pub fn repeated(hosts: &[Arc<Host>]) -> Vec<String> {
    let (mut known, mut repeated) = (HashSet::new(), Vec::new());
    for host in hosts {
        for request in host.ran.lock().unwrap().keys() {
            if !known.insert(request.clone()) {
                repeated.push(request.clone());
            }
        }
    }
    repeated
}
