//! A caller with many flows: feeds held open, and requests one after another.

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

/// Lowest port of a flow.
const FIRST_PORT: u16 = 10_000;
/// The longest wait for packets in one turn.
const TURN: Duration = Duration::from_millis(5);
/// A request whose answer takes longer counts as broken.
const ANSWER: Duration = Duration::from_secs(15);
/// A feed that is silent for so many of its intervals counts as broken.
const SILENT_INTERVALS: u32 = 40;

/// What to ask, and how much of it.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Where packets are sent: the fabric.
    #[arg(long)]
    pub fabric: SocketAddr,
    /// Where answers come in.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// This caller's own address.
    #[arg(long)]
    pub address: Ipv4Addr,
    /// The service's address and port.
    #[arg(long)]
    pub service: SocketAddrV4,
    /// Feeds held open until the end.
    #[arg(long, default_value_t = 0)]
    pub feeds: usize,
    /// Time between two lines of a feed, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub interval: u64,
    /// Check-ins and downloads are begun at this rate, a second.
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Length of a check-in's body, in bytes; 0 for downloads instead.
    #[arg(long, default_value_t = 4000)]
    pub checkin: usize,
    /// Length of a download, in bytes.
    #[arg(long, default_value_t = 20_000)]
    pub map: usize,
    /// How long to begin requests, in seconds; feeds stay open as long.
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// How many requests to make, at most.
    #[arg(long, default_value_t = usize::MAX)]
    pub requests: usize,
    /// Name of this caller in the line of results.
    #[arg(long, default_value = "caller")]
    pub name: String,
}

/// What became of the flows, in counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Flows opened: feeds and requests.
    pub opened: u64,
    /// Requests answered in full with the right hash.
    pub done: u64,
    /// Feeds that were answered and lasted to the end.
    pub lasted: u64,
    /// Established flows that ended otherwise, and answers that were wrong.
    pub broken: u64,
    /// Openings answered by a reset: not run.
    pub refused: u64,
    /// Openings that were not answered in time.
    pub unanswered: u64,
    /// Answer times of the requests done, in microseconds, in order of completion.
    pub times: Vec<u64>,
}

impl Outcome {
    /// One line of key=value pairs.
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
    begun: Instant,
    heard: Instant,
    established: bool,
    result: Option<Result>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Result {
    Done,
    Lasted,
    Broken(&'static str),
    Refused,
    Unanswered,
}

/// Runs until the time is over or `stop` is raised, and every request has ended.
pub fn run(options: &Options, stop: &Flag) -> anyhow::Result<Outcome> {
    let link = UdpSocket::bind(options.listen)?;
    let seed = u64::from(options.address.to_bits());
    let mut caller = Caller {
        options,
        stack: Stack::new(options.address, link, options.fabric, seed)?,
        flows: Vec::new(),
        next_port: FIRST_PORT,
        begun: 0,
        outcome: Outcome::default(),
    };
    let start = Instant::now();
    for _ in 0..options.feeds {
        caller.begin(Request::Feed {
            interval: options.interval,
        })?;
    }
    let length = Duration::from_secs_f64(options.seconds);
    loop {
        let now = Instant::now();
        let over = now - start >= length || stop.is_raised();
        if !over {
            caller.begin_due(now - start)?;
        }
        caller.stack.poll(TURN)?;
        caller.serve(Instant::now(), over);
        let requests = caller.flows.iter().any(|flow| !flow.is_feed());
        if (over || caller.begun >= options.requests && options.feeds == 0) && !requests {
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
    begun: usize,
    outcome: Outcome,
}

impl Caller<'_> {
    fn begin_due(&mut self, elapsed: Duration) -> anyhow::Result<()> {
        let due = (elapsed.as_secs_f64() * self.options.rate).floor() as usize;
        while self.begun < due.min(self.options.requests) {
            self.begun += 1;
            let id = u64::from(self.options.address.to_bits()) << 32 | self.begun as u64;
            self.begin(match self.options.checkin {
                0 => Request::Map {
                    length: self.options.map,
                },
                length => Request::Checkin { id, length },
            })?;
        }
        Ok(())
    }

    fn begin(&mut self, request: Request) -> anyhow::Result<()> {
        let handle = self.stack.add();
        let port = self.next_port;
        self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
        let service = (*self.options.service.ip(), self.options.service.port());
        self.stack.connect(handle, service, port)?;
        let body: Vec<u8> = (0..request.body())
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
            begun: now,
            heard: now,
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
                flow.result = flow.judge(socket, now, over);
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
                        true => Result::Unanswered,
                        false => Result::Lasted,
                    })),
                    ..flow
                },
                now,
            );
        }
    }

    fn count(&mut self, flow: &Flow, now: Instant) {
        match flow.result {
            Some(Result::Done) => {
                self.outcome.done += 1;
                self.outcome
                    .times
                    .push((now - flow.begun).as_micros() as u64);
            }
            Some(Result::Lasted) => self.outcome.lasted += 1,
            Some(Result::Refused) => {
                self.outcome.refused += 1;
                let after = (now - flow.begun).as_millis();
                log::warn!("event=flow-refused port={} after_ms={after}", flow.port);
            }
            Some(Result::Unanswered) => self.outcome.unanswered += 1,
            Some(Result::Broken(reason)) => {
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
            let taken = socket.recv(|bytes| {
                self.received.extend_from_slice(bytes);
                (bytes.len(), ())
            });
            if taken.is_err() {
                break;
            }
            self.heard = now;
        }
    }

    fn judge(&mut self, socket: &tcp::Socket<'_>, now: Instant, over: bool) -> Option<Result> {
        let ended = !socket.may_recv() && !matches!(socket.state(), tcp::State::SynSent);
        if !self.established && ended {
            return Some(Result::Refused);
        }
        if self.is_feed() {
            return self.judge_feed(now, ended, over);
        }
        if self.answer.is_none() {
            self.answer = take_line(&mut self.received).and_then(|line| Answer::parse(&line));
        }
        match &self.answer {
            Some(answer) if self.received.len() >= answer.length => {
                let whole = blake3::hash(&self.received).to_hex().as_str() == answer.hash;
                let own = self.body.is_empty() || self.body == self.received;
                Some(if whole && own {
                    Result::Done
                } else {
                    Result::Broken("wrong-answer")
                })
            }
            _ if ended => Some(Result::Broken("ended-early")),
            _ if now - self.begun < ANSWER => None,
            _ if self.established => Some(Result::Broken("answer-late")),
            _ => Some(Result::Unanswered),
        }
    }

    fn judge_feed(&mut self, now: Instant, ended: bool, over: bool) -> Option<Result> {
        let Request::Feed { interval } = self.request else {
            return None;
        };
        let silence = Duration::from_millis(interval) * SILENT_INTERVALS;
        if ended {
            Some(Result::Broken("feed-ended"))
        } else if now - self.heard > silence.max(ANSWER) {
            Some(if self.established {
                Result::Broken("feed-silent")
            } else {
                Result::Unanswered
            })
        } else if over {
            Some(if self.received.is_empty() {
                Result::Unanswered
            } else {
                Result::Lasted
            })
        } else {
            None
        }
    }
}
