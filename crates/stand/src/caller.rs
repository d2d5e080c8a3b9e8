//! A caller with many flows: keeps feeds open and sends requests at a set rate, each over its own
//! TCP connection.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use smoltcp::{iface::SocketHandle, socket::tcp};

use crate::{
    protocol::{Answer, Request, take_line},
    stack::Stack,
    stop::Flag,
};

/// Lowest source port of a flow.
const FIRST_PORT: u16 = 10_000;
/// Maximum wait for packets in one poll.
const MAX_POLL_WAIT: Duration = Duration::from_millis(5);
/// How long to wait for an answer. After it, an established flow counts as broken and another as
/// unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of its intervals for which a feed may be silent, if that is longer than
/// [`ANSWER_TIMEOUT`]. After it, the feed counts as broken.
const MAX_SILENT_INTERVALS: u32 = 40;

/// Addresses, and which feeds and requests to open.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Address of the fabric, to which packets are sent.
    #[arg(long)]
    pub fabric: SocketAddr,
    /// Address that receives answers.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// IP address of this caller in the packets that it sends.
    #[arg(long)]
    pub address: Ipv4Addr,
    /// The service's address and port.
    #[arg(long)]
    pub service: SocketAddrV4,
    /// Number of feeds, which are kept open until the end.
    #[arg(long, default_value_t = 0)]
    pub feeds: usize,
    /// Time between two lines of a feed, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub interval: u64,
    /// Number of requests (check-ins or downloads) started per second.
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Length of a check-in's body, in bytes. If it is 0, the requests are downloads.
    #[arg(long, default_value_t = 4000)]
    pub checkin: usize,
    /// Length of a download, in bytes.
    #[arg(long, default_value_t = 20_000)]
    pub map: usize,
    /// For how long new requests are started and feeds stay open, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// Maximum number of requests.
    #[arg(long, default_value_t = usize::MAX)]
    pub requests: usize,
    /// Name of this caller in the line that reports its results.
    #[arg(long, default_value = "caller")]
    pub name: String,
}

/// Counts of flows by their result.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Flows opened, for feeds and requests.
    pub opened: u64,
    /// Requests answered in full with the right hash.
    pub done: u64,
    /// Feeds that delivered lines and stayed open until the end.
    pub lasted: u64,
    /// Established flows that failed otherwise, including those with a wrong answer.
    pub broken: u64,
    /// Flows whose SYN was answered by a reset. Their requests were not run.
    pub refused: u64,
    /// Flows whose SYN was not answered in time, and feeds that delivered nothing by the end.
    pub unanswered: u64,
    /// Response times of the completed requests, in microseconds, in order of completion.
    pub times: Vec<u64>,
}

impl Outcome {
    /// Formats the counts and response times as one line of key=value pairs.
    ///
    /// ```
    /// let line = acacia_stand::caller::Outcome::default().line("crew");
    /// assert!(line.starts_with("name=crew opened=0"));
    /// ```
    #[must_use]
    pub fn line(&self, name: &str) -> String {
        let mut times = self.times.clone();
        times.sort_unstable();
        let quantile = |q: usize| times.get(times.len() * q / 100).copied().unwrap_or(0);
        format!(
            "name={name} opened={} done={} lasted={} broken={} refused={} unanswered={} \
             p50_us={} p99_us={}",
            self.opened,
            self.done,
            self.lasted,
            self.broken,
            self.refused,
            self.unanswered,
            quantile(50),
            quantile(99),
        )
    }
}

#[derive(Debug)]
struct Flow {
    handle: SocketHandle,
    port: u16,
    request: Request,
    to_send: Vec<u8>,
    body: Vec<u8>,
    received: Vec<u8>,
    answer: Option<Answer>,
    started: Instant,
    last_received: Instant,
    established: bool,
    result: Option<FlowResult>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowResult {
    Done,
    Lasted,
    Broken(&'static str),
    Refused,
    Unanswered,
}

/// Runs until the set time has passed or `stop` is raised, then waits for the open requests to end.
/// Without feeds, it also ends once the maximum number of requests has ended.
pub fn run(options: &Options, stop: &Flag) -> anyhow::Result<Outcome> {
    let link = UdpSocket::bind(options.listen)?;
    let seed = u64::from(options.address.to_bits());
    let mut caller = Caller {
        options,
        stack: Stack::new(options.address, link, options.fabric, seed)?,
        flows: Vec::new(),
        next_port: FIRST_PORT,
        started_requests: 0,
        outcome: Outcome::default(),
    };
    let start = Instant::now();
    for _ in 0..options.feeds {
        caller.start_flow(Request::Feed {
            interval: options.interval,
        })?;
    }
    let length = Duration::from_secs_f64(options.seconds);
    loop {
        let now = Instant::now();
        let over = now - start >= length || stop.is_raised();
        if !stop.is_raised() {
            // A caller that got no processor time starts what is due by then, also at the end.
            caller.start_due_requests((now - start).min(length))?;
        }
        caller.stack.poll(MAX_POLL_WAIT)?;
        caller.serve(Instant::now(), over);
        let requests = caller.flows.iter().any(|flow| !flow.is_feed());
        if (over || caller.started_requests >= options.requests && options.feeds == 0) && !requests
        {
            break;
        }
    }
    caller.end_feeds();
    Ok(caller.outcome)
}

struct Caller<'a> {
    options: &'a Options,
    stack: Stack,
    flows: Vec<Flow>,
    next_port: u16,
    started_requests: usize,
    outcome: Outcome,
}

impl Caller<'_> {
    fn start_due_requests(&mut self, elapsed: Duration) -> anyhow::Result<()> {
        let due = (elapsed.as_secs_f64() * self.options.rate).floor() as usize;
        while self.started_requests < due.min(self.options.requests) {
            self.started_requests += 1;
            let id = u64::from(self.options.address.to_bits()) << 32 | self.started_requests as u64;
            self.start_flow(match self.options.checkin {
                0 => Request::Map {
                    length: self.options.map,
                },
                length => Request::Checkin { id, length },
            })?;
        }
        Ok(())
    }

    fn start_flow(&mut self, request: Request) -> anyhow::Result<()> {
        let handle = self.stack.add();
        let port = self.next_port;
        self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
        let service = (*self.options.service.ip(), self.options.service.port());
        self.stack.connect(handle, service, port)?;
        let body: Vec<u8> = (0..request.body_length())
            .map(|at| (at * 31 % 256) as u8)
            .collect();
        let mut to_send = request.line().into_bytes();
        to_send.extend(&body);
        let now = Instant::now();
        self.outcome.opened += 1;
        self.flows.push(Flow {
            handle,
            port,
            request,
            to_send,
            body,
            received: Vec::new(),
            answer: None,
            started: now,
            last_received: now,
            established: false,
            result: None,
        });
        Ok(())
    }

    fn serve(&mut self, now: Instant, over: bool) {
        for flow in &mut self.flows {
            let socket = self.stack.socket(flow.handle);
            flow.exchange(socket, now);
            if flow.result.is_none() {
                flow.result = flow.classify(socket, now, over);
            }
            if flow.result.is_some() {
                socket.close();
            }
        }
        let (ended, open) = std::mem::take(&mut self.flows)
            .into_iter()
            .partition(|flow| flow.result.is_some());
        self.flows = open;
        let ended: Vec<Flow> = ended;
        for flow in ended {
            self.count(&flow, now);
        }
    }

    fn end_feeds(&mut self) {
        let now = Instant::now();
        for flow in std::mem::take(&mut self.flows) {
            self.count(
                &Flow {
                    result: flow.result.or(Some(match flow.received.is_empty() {
                        true => FlowResult::Unanswered,
                        false => FlowResult::Lasted,
                    })),
                    ..flow
                },
                now,
            );
        }
    }

    fn count(&mut self, flow: &Flow, now: Instant) {
        match flow.result {
            Some(FlowResult::Done) => {
                self.outcome.done += 1;
                self.outcome
                    .times
                    .push((now - flow.started).as_micros() as u64);
            }
            Some(FlowResult::Lasted) => self.outcome.lasted += 1,
            Some(FlowResult::Refused) => {
                self.outcome.refused += 1;
                let after = (now - flow.started).as_millis();
                log::warn!("event=flow-refused port={} after_ms={after}", flow.port);
            }
            Some(FlowResult::Unanswered) => self.outcome.unanswered += 1,
            Some(FlowResult::Broken(reason)) => {
                self.outcome.broken += 1;
                log::warn!("event=flow-broken port={} reason={reason}", flow.port);
            }
            None => {}
        }
    }
}

impl Flow {
    fn is_feed(&self) -> bool {
        matches!(self.request, Request::Feed { .. })
    }

    fn exchange(&mut self, socket: &mut tcp::Socket<'_>, now: Instant) {
        self.established |= socket.may_send();
        while socket.can_send() && !self.to_send.is_empty() {
            let Ok(sent) = socket.send_slice(&self.to_send) else {
                break;
            };
            self.to_send.drain(..sent);
        }
        while socket.can_recv() {
            let result = socket.recv(|bytes| {
                self.received.extend_from_slice(bytes);
                (bytes.len(), ())
            });
            if result.is_err() {
                break;
            }
            self.last_received = now;
        }
    }

    fn classify(
        &mut self,
        socket: &tcp::Socket<'_>,
        now: Instant,
        over: bool,
    ) -> Option<FlowResult> {
        let ended = !socket.may_recv() && !matches!(socket.state(), tcp::State::SynSent);
        if !self.established && ended {
            return Some(FlowResult::Refused);
        }
        if self.is_feed() {
            return self.classify_feed(now, ended, over);
        }
        if self.answer.is_none() {
            self.answer = take_line(&mut self.received).and_then(|line| Answer::parse(&line));
        }
        match &self.answer {
            Some(answer) if self.received.len() >= answer.length => {
                let is_intact = blake3::hash(&self.received).to_hex().as_str() == answer.hash;
                let is_echo = self.body.is_empty() || self.body == self.received;
                Some(if is_intact && is_echo {
                    FlowResult::Done
                } else {
                    FlowResult::Broken("wrong-answer")
                })
            }
            _ if ended => Some(FlowResult::Broken("ended-early")),
            _ if now - self.started < ANSWER_TIMEOUT => None,
            _ if self.established => Some(FlowResult::Broken("answer-late")),
            _ => Some(FlowResult::Unanswered),
        }
    }

    fn classify_feed(&mut self, now: Instant, ended: bool, over: bool) -> Option<FlowResult> {
        let Request::Feed { interval } = self.request else {
            return None;
        };
        let silence = Duration::from_millis(interval) * MAX_SILENT_INTERVALS;
        if ended {
            Some(FlowResult::Broken("feed-ended"))
        } else if now - self.last_received > silence.max(ANSWER_TIMEOUT) {
            Some(if self.established {
                FlowResult::Broken("feed-silent")
            } else {
                FlowResult::Unanswered
            })
        } else if over {
            Some(if self.received.is_empty() {
                FlowResult::Unanswered
            } else {
                FlowResult::Lasted
            })
        } else {
            None
        }
    }
}
