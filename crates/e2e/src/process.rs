//! One child process: started, signalled, and ended with its parent.

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

/// Between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);

/// A running program. Dropping it kills the process and waits for it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Option<Child>,
    output: Log,
    errors: Log,
}

/// How a process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Its exit status; -1 after a signal.
    pub status: i32,
    /// Its standard output.
    pub output: String,
    /// Its log: standard output and standard error.
    pub log: String,
}

/// What a process has written so far to one of its outputs, and the thread that reads it.
#[derive(Debug)]
struct Log {
    text: Arc<Mutex<String>>,
    reader: Option<JoinHandle<()>>,
}

impl Log {
    fn follow(from: impl Read + Send + 'static) -> Self {
        let text = Arc::new(Mutex::new(String::new()));
        let (shown, sink) = (std::env::var_os("E2E_LOG").is_some(), Arc::clone(&text));
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                if shown {
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

    /// Waits for the end of the log, which comes with the end of the process.
    fn join(&mut self) {
        if let Some(reader) = self.reader.take() {
            // It can't panic but for a closed standard error of ours; the text stays valid.
            let _ = reader.join();
        }
    }
}

impl Process {
    /// Starts `program`, one of this workspace's, with `arguments`, and gives it `input`.
    ///
    /// Its outputs also go to this process's standard error if the environment variable `E2E_LOG` is
    /// set.
    pub fn start(program: &str, arguments: &[String], input: &str) -> anyhow::Result<Self> {
        Self::start_in(program, arguments, input, &[])
    }

    /// The same with variables added to its environment.
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

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let child = self.child.as_ref().context("the process was waited for")?;
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// The most memory that the process has had resident at a time, in bytes.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn peak_memory(&self) -> anyhow::Result<u64> {
        let child = self.child.as_ref().context("the process was waited for")?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes.context("no VmHWM")?.parse()?;
        Ok(kilobytes << 10)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// What the process has logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        self.output.text() + &self.errors.text()
    }

    /// Waits for the process to end by itself. Fails if it takes longer than `limit`.
    pub fn wait(mut self, limit: Duration) -> anyhow::Result<Ended> {
        let deadline = Instant::now() + limit;
        while self.is_running() {
            anyhow::ensure!(
                Instant::now() < deadline,
                "{} did not end in time",
                self.name
            );
            std::thread::sleep(LOOK);
        }
        let status = self.child.take().context("waited for once")?.wait()?;
        self.output.join();
        self.errors.join();
        Ok(Ended {
            status: status.code().unwrap_or(-1),
            output: self.output.text(),
            log: self.log(),
        })
    }

    /// Asks the process to end and waits for it.
    pub fn end(self, limit: Duration) -> anyhow::Result<Ended> {
        self.signal(Signal::SIGTERM)?;
        self.wait(limit)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already; then there is nothing to kill.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.output.join();
        self.errors.join();
    }
}

/// The path of one of this workspace's programs: beside the running one, or a folder above it for
/// tests, which cargo puts in `deps`.
///
/// # Errors
/// When it is not built.
pub fn locate(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .with_context(|| format!("{program} is not built: run `cargo build --workspace --bins`"))
}
