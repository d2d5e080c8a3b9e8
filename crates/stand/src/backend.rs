//! A backend server: serves requests over real TCP, runs a limited number of jobs at a time, each
//! for a set duration, and counts what it served.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use acacia_wire::collections::Set;
use smoltcp::{iface::SocketHandle, socket::tcp};

use crate::{
    admin::{self, Command, DONE},
    protocol::{Answer, Request, take_line},
    stack::{MAX_PACKETS_PER_POLL, Stack},
    stop::{Flag, POLL},
};

/// Number of listening sockets: as many as the SYNs that one poll can receive. If the process gets
/// no processor time for a while, a burst of SYNs queues in the UDP socket. A SYN without a
/// listening socket would be answered by a reset, and a test would count its caller as refused
/// although no balancer refused it.
const LISTENING_SOCKETS: usize = MAX_PACKETS_PER_POLL;
/// Maximum wait for packets while jobs or feeds are active, so that those due are served in time.
const ACTIVE_WAIT: Duration = Duration::from_millis(2);

/// Addresses, speed and limits.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Name of this server, returned in its answers.
    #[arg(long)]
    pub name: String,
    /// Address that receives encapsulated packets from balancers.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Address of the fabric, to which answers for callers are sent.
    #[arg(long)]
    pub fabric: SocketAddr,
    /// Address that receives administration commands.
    #[arg(long)]
    pub admin: Option<SocketAddr>,
    /// The service's address and port, for which this server answers.
    #[arg(long)]
    pub service: SocketAddrV4,
    /// Maximum number of jobs that run at the same time.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Duration of a job, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pub work: u64,
    /// Maximum number of simultaneous connections; a SYN beyond it is not accepted.
    #[arg(long, default_value_t = 2000)]
    pub connections: usize,
}

/// Counts of what the server did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Connections opened.
    pub opened: u64,
    /// Check-ins run.
    pub checkins: u64,
    /// Check-ins whose id had been run before. Any count but 0 is a fault.
    pub duplicates: u64,
    /// Downloads run.
    pub maps: u64,
    /// Feeds started.
    pub feeds: u64,
    /// Requests that could not be parsed.
    pub unreadable: u64,
    /// Resets sent in answer to packets of flows that this server never had.
    pub resets: u64,
    /// Resets sent in answer to packets of flows that this server had, and that have ended. A caller whose
    /// packet waits for longer than the retransmission timeout sends a copy, which may arrive after the
    /// flow's end.
    pub late: u64,
}

#[derive(Debug)]
struct Connection {
    handle: SocketHandle,
    opened: bool,
    received: Vec<u8>,
    request: Option<Request>,
    to_send: VecDeque<u8>,
    feed: Option<Feed>,
    busy: bool,
}

#[derive(Debug)]
struct Feed {
    interval: Duration,
    next: Instant,
    lines: u64,
}

#[derive(Debug)]
struct Job {
    handle: SocketHandle,
    request: Request,
    body: Vec<u8>,
}

struct Server<'a> {
    options: &'a Options,
    stack: Stack,
    connections: Vec<Connection>,
    waiting: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
    completed_ids: Set<u64>,
    job_duration: Duration,
    outcome: Outcome,
}

/// Runs until `stop` is raised.
pub fn run(options: &Options, stop: &Flag) -> anyhow::Result<Outcome> {
    let link = UdpSocket::bind(options.listen)?;
    let commands = options.admin.map(UdpSocket::bind).transpose()?;
    if let Some(commands) = &commands {
        commands.set_nonblocking(true)?;
    }
    let seed = u64::from(options.listen.port());
    let service: Ipv4Addr = *options.service.ip();
    let mut server = Server {
        options,
        stack: Stack::new(service, link, options.fabric, seed)?,
        connections: Vec::new(),
        waiting: VecDeque::new(),
        running: Vec::new(),
        completed_ids: Set::default(),
        job_duration: Duration::from_millis(options.work),
        outcome: Outcome::default(),
    };
    log::info!(
        "event=backend-up name={} listen={}",
        options.name,
        options.listen
    );
    while !stop.is_raised() {
        server.refill_listening_sockets()?;
        let wait = if server.is_idle() { POLL } else { ACTIVE_WAIT };
        server.stack.poll(wait)?;
        server.serve_connections();
        server.run_jobs(Instant::now());
        if let Some(commands) = &commands {
            admin::receive(commands, |command| server.execute(&command))?;
        }
    }
    Ok(Outcome {
        resets: server.stack.resets().stray,
        late: server.stack.resets().late,
        ..server.outcome
    })
}

impl Server<'_> {
    fn execute(&mut self, command: &Command) -> String {
        match command {
            Command::Work(millis) => self.job_duration = Duration::from_millis(*millis),
            Command::Opened => return self.outcome.opened.to_string(),
            _ => return "the backend server doesn't support this command".into(),
        }
        DONE.to_owned()
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty()
            && self
                .connections
                .iter()
                .all(|c| !c.opened || c.feed.is_none())
    }

    fn refill_listening_sockets(&mut self) -> anyhow::Result<()> {
        let listening = self.connections.iter().filter(|c| !c.opened).count();
        for _ in listening..LISTENING_SOCKETS {
            if self.connections.len() >= self.options.connections + LISTENING_SOCKETS {
                break;
            }
            let handle = self.stack.add();
            self.stack
                .socket(handle)
                .listen(self.options.service.port())
                .map_err(|error| anyhow::anyhow!("listen: {error}"))?;
            self.connections.push(Connection::new(handle));
        }
        Ok(())
    }

    fn serve_connections(&mut self) {
        let now = Instant::now();
        let mut closed = Vec::new();
        for connection in &mut self.connections {
            let socket = self.stack.socket(connection.handle);
            if !connection.opened && socket.is_active() {
                connection.opened = true;
                self.outcome.opened += 1;
            }
            connection.receive(socket);
            if let Some(job) = connection.take_request(now, &mut self.outcome) {
                self.waiting.push_back(job);
            }
            connection.send(socket, now);
            if !socket.is_open() {
                closed.push(connection.handle);
            }
        }
        for handle in closed {
            self.connections
                .retain(|connection| connection.handle != handle);
            self.stack.remove(handle);
        }
    }

    fn run_jobs(&mut self, now: Instant) {
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        self.running = running;
        let done: Vec<(Instant, Job)> = done;
        for (_, job) in done {
            self.finish(&job);
        }
        while self.running.len() < self.options.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push((now + self.job_duration, job));
        }
    }

    fn finish(&mut self, job: &Job) {
        let body = match &job.request {
            Request::Checkin { id, .. } => {
                self.outcome.checkins += 1;
                if !self.completed_ids.insert(*id) {
                    self.outcome.duplicates += 1;
                }
                job.body.clone()
            }
            Request::Map { length } => {
                self.outcome.maps += 1;
                (0..*length).map(|at| (at % 251) as u8).collect()
            }
            Request::Feed { .. } => Vec::new(),
        };
        let answer = Answer::encode(&self.options.name, &body);
        if let Some(connection) = self.connections.iter_mut().find(|c| c.handle == job.handle) {
            connection.busy = false;
            connection.to_send.extend(answer);
        }
    }
}

impl Connection {
    fn new(handle: SocketHandle) -> Self {
        Connection {
            handle,
            opened: false,
            received: Vec::new(),
            request: None,
            to_send: VecDeque::new(),
            feed: None,
            busy: false,
        }
    }

    fn receive(&mut self, socket: &mut tcp::Socket<'_>) {
        while socket.can_recv() {
            let result = socket.recv(|bytes| {
                self.received.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if result.is_err() {
                break;
            }
        }
    }

    fn take_request(&mut self, now: Instant, outcome: &mut Outcome) -> Option<Job> {
        if self.request.is_none() {
            let line = take_line(&mut self.received)?;
            self.request = Request::parse(&line);
            if self.request.is_none() {
                outcome.unreadable += 1;
            }
        }
        let request = self.request.clone()?;
        if let Request::Feed { interval } = request {
            if self.feed.is_none() {
                outcome.feeds += 1;
                self.feed = Some(Feed {
                    interval: Duration::from_millis(interval),
                    next: now,
                    lines: 0,
                });
            }
            return None;
        }
        if self.busy || self.received.len() < request.body_length() {
            return None;
        }
        let body = self.received.drain(..request.body_length()).collect();
        self.request = None;
        self.busy = true;
        Some(Job {
            handle: self.handle,
            request,
            body,
        })
    }

    fn send(&mut self, socket: &mut tcp::Socket<'_>, now: Instant) {
        if let Some(feed) = &mut self.feed
            && feed.next <= now
        {
            feed.lines += 1;
            feed.next += feed.interval;
            self.to_send
                .extend(format!("TICK {}\n", feed.lines).into_bytes());
        }
        while socket.can_send() && !self.to_send.is_empty() {
            let (front, _) = self.to_send.as_slices();
            let Ok(sent) = socket.send_slice(front) else {
                break;
            };
            self.to_send.drain(..sent);
        }
        let finished = self.to_send.is_empty() && !self.busy;
        if finished && !socket.may_recv() && socket.may_send() {
            socket.close();
        }
    }
}
