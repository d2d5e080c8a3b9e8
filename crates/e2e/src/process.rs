//! Child processes that are killed when their handle is dropped.

use std::{
    io::{BufRead as _, BufReader, Read, Write as _},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Interval of polling for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running child process. Dropping it kills the process and waits for it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Option<Child>,
    output: Log,
    errors: Log,
}

/// Exit status and output of a process that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Exit status; -1 if a signal ended the process.
    pub status: i32,
    /// Standard output.
    pub output: String,
    /// Standard output followed by standard error.
    pub log: String,
}

/// The text that a process has written to one of its outputs, and the thread that reads it.
#[derive(Debug)]
struct Log {
    text: Arc<Mutex<String>>,
    reader: Option<JoinHandle<()>>,
}

impl Log {
    fn follow(from: impl Read + Send + 'static) -> Self {
        let text = Arc::new(Mutex::new(String::new()));
        let (is_echoed, sink) = (std::env::var_os("E2E_LOG").is_some(), Arc::clone(&text));
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                if is_echoed {
                    eprintln!("{line}");
                }
                let mut text = sink.lock().unwrap_or_else(PoisonError::into_inner);
                text.push_str(&line);
                text.push('\n');
            }
        });
        Log {
            text,
            reader: Some(reader),
        }
    }

    fn text(&self) -> String {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        text.clone()
    }

    /// Waits for the end of the output, which the process closes when it exits.
    fn join(&mut self) {
        if let Some(reader) = self.reader.take() {
            // The reader can only panic if our standard error is closed; the text is still valid.
            let _ = reader.join();
        }
    }
}

impl Process {
    /// Starts `program`, a binary of this workspace, and writes `input` to its standard input.
    ///
    /// If the environment variable `E2E_LOG` is set, its output is copied to the standard error of
    /// this process.
    pub fn start(program: &str, arguments: &[String], input: &str) -> anyhow::Result<Self> {
        Self::start_in(program, arguments, input, &[])
    }

    /// Like [`Process::start`], with additional environment variables.
    pub fn start_in(
        program: &str,
        arguments: &[String],
        input: &str,
        variables: &[(&str, &str)],
    ) -> anyhow::Result<Self> {
        let path = locate(program)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", path.display()))?;
        let output = Log::follow(child.stdout.take().context("standard output is piped")?);
        let errors = Log::follow(child.stderr.take().context("standard error is piped")?);
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(input.as_bytes())?;
        }
        Ok(Process {
            name: program.to_owned(),
            child: Some(child),
            output,
            errors,
        })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let child = self
            .child
            .as_ref()
            .context("the process has already been waited for")?;
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Peak resident memory of the process, in bytes.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn peak_memory(&self) -> anyhow::Result<u64> {
        let child = self
            .child
            .as_ref()
            .context("the process has already been waited for")?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes
            .context("no VmHWM in the status of the process")?
            .parse()?;
        Ok(kilobytes << 10)
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Standard output so far, followed by standard error so far.
    #[must_use]
    pub fn log(&self) -> String {
        self.output.text() + &self.errors.text()
    }

    /// Waits for the process to exit by itself. Fails if that takes longer than `limit`, in which
    /// case the process is killed.
    pub fn wait(mut self, limit: Duration) -> anyhow::Result<Ended> {
        let deadline = Instant::now() + limit;
        while self.is_running() {
            anyhow::ensure!(
                Instant::now() < deadline,
                "{} did not exit in time",
                self.name
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        let status = self
            .child
            .take()
            .context("the process has already been waited for")?
            .wait()?;
        self.output.join();
        self.errors.join();
        Ok(Ended {
            status: status.code().unwrap_or(-1),
            output: self.output.text(),
            log: self.log(),
        })
    }

    /// Sends SIGTERM to the process and waits for it to exit.
    pub fn end(self, limit: Duration) -> anyhow::Result<Ended> {
        self.signal(Signal::SIGTERM)?;
        self.wait(limit)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // This fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.output.join();
        self.errors.join();
    }
}

/// Finds a binary of this workspace in the directory of the running executable or its parent. The
/// parent is for tests, which cargo puts into `deps`.
///
/// # Errors
/// When the binary is not built.
pub fn locate(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .with_context(|| format!("{program} is not built: run `cargo build --workspace --bins`"))
}
