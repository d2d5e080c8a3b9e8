//! Logging: one line of key=value pairs for each event, on standard output.
//!
//! A write to a full pipe blocks the thread that logs, and with it the packets of callers. That can
//! happen in a flood of unknown packets, with a server that flaps, or when the reader of the output
//! has stopped reading. Lines therefore go through a bounded queue to a writer thread, each kind of
//! event is limited to a number of lines per second, and lines left out are counted and reported.

use std::{
    io::Write,
    sync::OnceLock,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use acacia_wire::collections::Map;
use crossbeam_channel::{Receiver, Sender, bounded};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Capacity of the queue to the writer, in lines: what a busy balancer logs in a second. At 200
/// bytes a line, 200 KB.
const QUEUE: usize = 1_024;
/// Maximum lines per second for one kind of event. A configuration with hundreds of servers may log
/// one line for each of them; more lines of one kind than that add little information.
const MAX_LINES_PER_EVENT: u32 = 250;
/// Timeout for writing the last lines when the process exits, in case nobody reads them.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes after which a batch of lines is written.
const BATCH: usize = 32 * 1_024;

/// An item in the queue to the writer.
enum Entry {
    /// A line, including its line feed.
    Line(Vec<u8>),
    /// Stops the writer, which replies once everything queued before is written.
    End(Sender<()>),
}

/// Handle of the running log. Dropping it waits until the queued lines are written.
pub struct Journal {
    sender: Sender<Entry>,
    writer: Option<JoinHandle<()>>,
}

/// Starts logging at `level`. Lines of other libraries, which log one or two for each call, are
/// left out.
///
/// # Errors
/// If logging was already started in this process.
pub fn start(level: LevelFilter) -> anyhow::Result<Journal> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("acacia")
        .build();
    let (sender, entries) = bounded(QUEUE);
    let sink = Sink {
        sender: sender.clone(),
        line: Vec::new(),
        limit: Limit::default(),
        start: Instant::now(),
    };
    WriteLogger::init(level, config, sink)?;
    QUEUE_SENDER.get_or_init(|| sender.clone());
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
        // A writer that blocks on a full pipe is not joined; it ends with the process.
        if flush_queue(&self.sender)
            && let Some(writer) = self.writer.take()
        {
            let _ = writer.join();
        }
    }
}

/// The queue of the running log, for [`exit`], which runs no destructors.
static QUEUE_SENDER: OnceLock<Sender<Entry>> = OnceLock::new();

/// Exits the process as soon as the queued lines are written, or after a timeout. The last line
/// says why the process exits, and would be lost if it were gone before the writer ran.
pub fn exit(status: u8) -> ! {
    if let Some(sender) = QUEUE_SENDER.get() {
        flush_queue(sender);
    }
    std::process::exit(i32::from(status))
}

/// Stops the writer once it has written all queued lines. Returns whether it did so within
/// [`FLUSH_TIMEOUT`], which applies to queueing the request and to the reply each.
fn flush_queue(sender: &Sender<Entry>) -> bool {
    let (done, written) = bounded(1);
    let queued = sender.send_timeout(Entry::End(done), FLUSH_TIMEOUT).is_ok();
    queued && written.recv_timeout(FLUSH_TIMEOUT).is_ok()
}

/// Writes lines until [`Entry::End`], several at a time if several are queued.
fn write(entries: &Receiver<Entry>, output: &mut impl Write) {
    let mut batch = Vec::new();
    while let Ok(mut entry) = entries.recv() {
        loop {
            match entry {
                Entry::Line(line) => batch.extend(line),
                Entry::End(done) => {
                    flush(&mut batch, output);
                    // The receiver is gone if the exit has timed out.
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

/// Writes the batch and clears it. Errors are ignored: if the output is closed, the lines are lost
/// and there is nowhere to report it.
fn flush(batch: &mut Vec<u8>, output: &mut impl Write) {
    let _ = output.write_all(batch).and_then(|()| output.flush());
    batch.clear();
}

/// Collects the bytes that the logger writes into lines and queues them.
struct Sink {
    sender: Sender<Entry>,
    line: Vec<u8>,
    limit: Limit,
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
            let line = format!("event=log-left-out of={event} lines={count}\n");
            // If the queue is full, the count is added again and reported a second later.
            if self
                .sender
                .try_send(Entry::Line(line.into_bytes()))
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

/// Returns the value of a line's `event` key, or an empty string if it has none.
fn event(line: &[u8]) -> &str {
    let text = str::from_utf8(line).unwrap_or_default();
    let rest = text.split_once("event=").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split_whitespace().next())
        .unwrap_or_default()
}

/// Limits the lines per second of each kind of event, and counts those left out.
#[derive(Debug, Default)]
pub struct Limit {
    second: u64,
    used: Map<String, u32>,
    left_out: Map<String, u64>,
}

impl Limit {
    /// Returns whether a line of this event may be logged in the current second. If not, counts it
    /// as left out.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut limit = acacia_node::journal::Limit::default();
    /// let admitted = (0..300).filter(|_| limit.admit("server")).count();
    /// assert_eq!(admitted, 250);
    /// assert_eq!(limit.start_second(Duration::from_secs(1)), [("server".to_owned(), 50)]);
    /// ```
    pub fn admit(&mut self, event: &str) -> bool {
        let used = self.used.entry(event.to_owned()).or_default();
        *used += 1;
        if *used > MAX_LINES_PER_EVENT {
            self.left_out(event, 1);
            return false;
        }
        true
    }

    /// Counts lines of an event as left out.
    pub fn left_out(&mut self, event: &str, lines: u64) {
        *self.left_out.entry(event.to_owned()).or_default() += lines;
    }

    /// Starts a new second if `now` lies in one, and returns the lines left out in the previous one
    /// by event.
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
