//! One child process: started, signalled, and ended with its parent.

use std::{
    io::Write as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
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
}

impl Process {
    /// Starts `program`, one of this workspace's, with `arguments`, and gives it `input`.
    ///
    /// Its log goes to this process's standard error if the environment variable `E2E_LOG` is set.
    pub fn start(program: &str, arguments: &[String], input: &str) -> anyhow::Result<Self> {
        let path = locate(program)?;
        let log = if std::env::var_os("E2E_LOG").is_some() {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {}", path.display()))?;
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(input.as_bytes())?;
        }
        Ok(Process {
            name: program.to_owned(),
            child: Some(child),
        })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let child = self.child.as_ref().context("the process was waited for")?;
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the process to end by itself; gives its exit status and standard output. Fails
    /// if it takes longer than `limit`.
    pub fn wait(mut self, limit: Duration) -> anyhow::Result<(i32, String)> {
        let deadline = Instant::now() + limit;
        while self.is_running() {
            anyhow::ensure!(
                Instant::now() < deadline,
                "{} did not end in time",
                self.name
            );
            std::thread::sleep(LOOK);
        }
        let output = self
            .child
            .take()
            .context("waited for once")?
            .wait_with_output()?;
        let status = output.status.code().unwrap_or(-1);
        Ok((status, String::from_utf8_lossy(&output.stdout).into_owned()))
    }

    /// Asks the process to end and waits for it.
    pub fn end(self, limit: Duration) -> anyhow::Result<(i32, String)> {
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
    }
}

/// The path of one of this workspace's programs: beside the running one, or a folder above it for
/// tests, which cargo puts in `deps`.
fn locate(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .with_context(|| format!("{program} is not built: run `cargo build --workspace --bins`"))
}
