//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Load: a flood of unknown packets, a server that flaps, or whoever reads the output doesn't any
//! more. Harm: a write to a full pipe blocks, and with it the thread that logs, and callers' packets
//! behind it. So lines go through a bounded queue to a thread of their own, each kind of event has a
//! bound a second, and what is left out is counted and told.

use std::{
    io::Write,
    sync::OnceLock,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use acacia_wire::collections::Map;
use crossbeam_channel::{Receiver, Sender, bounded};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Lines that wait for the writer: a second's worth of a busy balancer. At 200 bytes, 200 KB.
const QUEUE: usize = 1_024;
/// Lines of one kind of event in a second. A configuration with hundreds of servers tells of each
/// one once; beyond that, more lines of a kind say little more.
const MOST: u32 = 250;
/// How long the end of the process waits for the last lines, if nobody reads them.
const LAST: Duration = Duration::from_millis(200);
/// Bytes written at a time.
const BATCH: usize = 32 * 1_024;

/// What the writer gets.
enum Entry {
    /// A line with its end.
    Line(Vec<u8>),
    /// The end; answered when all before it is written.
    End(Sender<()>),
}

/// The running log. Dropping it writes what waits.
pub struct Journal {
    sender: Sender<Entry>,
    writer: Option<JoinHandle<()>>,
}

/// Starts logging from `level`. Lines of libraries, one or two a call, are left out.
///
/// # Errors
/// When logging was started before in this process.
pub fn start(level: LevelFilter) -> anyhow::Result<Journal> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("acacia")
        .build();
    let (sender, entries) = bounded(QUEUE);
    let sink = Sink {
        sender: sender.clone(),
        line: Vec::new(),
        limit: LineLimit::default(),
        start: Instant::now(),
    };
    WriteLogger::init(level, config, sink)?;
    QUEUED.get_or_init(|| sender.clone());
    let writer = std::thread::Builder::new()
        .name("journal".into())
        .spawn(move || write(&entries, &mut std::io::stdout()))?;
    Ok(Journal {
        sender,
        writer: Some(writer),
    })
}

impl Drop for Journal {
    fn drop(&mut self) {
        // A writer that is stuck in a full pipe ends with the process.
        if is_written(&self.sender)
            && let Some(writer) = self.writer.take()
        {
            let _ = writer.join();
        }
    }
}

/// The queue of the running log, for an end of the process that drops nothing.
static QUEUED: OnceLock<Sender<Entry>> = OnceLock::new();

/// Ends the process at once, but for the lines that wait to be written: the last of them says why it
/// ends, and was lost where the process was gone before the writer's turn.
pub fn exit(status: u8) -> ! {
    if let Some(sender) = QUEUED.get() {
        is_written(sender);
    }
    std::process::exit(i32::from(status))
}

/// Waits until all that is queued is written, [`LAST`] at most; whether it is.
fn is_written(sender: &Sender<Entry>) -> bool {
    let (done, written) = bounded(1);
    let told = sender.send_timeout(Entry::End(done), LAST).is_ok();
    told && written.recv_timeout(LAST).is_ok()
}

/// Writes lines until the end, many at a time where many wait.
fn write(entries: &Receiver<Entry>, output: &mut impl Write) {
    let mut batch = Vec::new();
    while let Ok(mut entry) = entries.recv() {
        loop {
            match entry {
                Entry::Line(line) => batch.extend(line),
                Entry::End(done) => {
                    flush(&mut batch, output);
                    // Nobody waits if the process's end took too long.
                    let _ = done.send(());
                    return;
                }
            }
            match entries.try_recv() {
                Ok(next) if batch.len() < BATCH => entry = next,
                Ok(next) => {
                    flush(&mut batch, output);
                    entry = next;
                }
                Err(_) => break,
            }
        }
        flush(&mut batch, output);
    }
}

/// A closed output loses the lines: there is nowhere left to say so.
fn flush(batch: &mut Vec<u8>, output: &mut impl Write) {
    let _ = output.write_all(batch).and_then(|()| output.flush());
    batch.clear();
}

/// Takes the logger's bytes and queues whole lines.
struct Sink {
    sender: Sender<Entry>,
    line: Vec<u8>,
    limit: LineLimit,
    start: Instant,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.queue(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn queue(&mut self, line: Vec<u8>) {
        let now = self.start.elapsed();
        let event = event(&line).to_owned();
        for (event, count) in self.limit.start_second(now) {
            let told = format!("event=log-left-out of={event} lines={count}\n");
            // Counted again below if the queue is full: the figure is then told a second later.
            if self
                .sender
                .try_send(Entry::Line(told.into_bytes()))
                .is_err()
            {
                self.limit.left_out(&event, count);
            }
        }
        if !self.limit.admit(&event) {
            return;
        }
        if self.sender.try_send(Entry::Line(line)).is_err() {
            self.limit.left_out(&event, 1);
        }
    }
}

/// The name of the event that a line tells of; empty if it names none.
fn event(line: &[u8]) -> &str {
    let text = str::from_utf8(line).unwrap_or_default();
    let rest = text.split_once("event=").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split_whitespace().next())
        .unwrap_or_default()
}

/// The bound on lines of each kind of event.
#[derive(Debug, Default)]
pub struct LineLimit {
    second: u64,
    used: Map<String, u32>,
    left_out: Map<String, u64>,
}

impl LineLimit {
    /// Whether a line of that event may pass in this second; else it is counted.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut limit = acacia_node::journal::LineLimit::default();
    /// let passed = (0..300).filter(|_| limit.admit("server")).count();
    /// assert_eq!(passed, 250);
    /// assert_eq!(limit.start_second(Duration::from_secs(1)), [("server".to_owned(), 50)]);
    /// ```
    pub fn admit(&mut self, event: &str) -> bool {
        let used = self.used.entry(event.to_owned()).or_default();
        *used += 1;
        if *used > MOST {
            self.left_out(event, 1);
            return false;
        }
        true
    }

    /// Counts lines that were left out.
    pub fn left_out(&mut self, event: &str, lines: u64) {
        *self.left_out.entry(event.to_owned()).or_default() += lines;
    }

    /// Begins a new second if it is time, and gives what was left out in the one before.
    pub fn start_second(&mut self, now: Duration) -> Vec<(String, u64)> {
        if now.as_secs() == self.second {
            return Vec::new();
        }
        self.second = now.as_secs();
        self.used.clear();
        let mut left_out: Vec<(String, u64)> = self.left_out.drain().collect();
        left_out.sort_unstable();
        left_out
    }
}
