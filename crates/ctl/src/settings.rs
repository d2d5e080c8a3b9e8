use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_platform::{Client, Options, limit::Rate};
use ini::Ini;

use crate::{Cli, Report};

/// Default port on which balancers answer operators.
const DEFAULT_ADMIN_PORT: u16 = 7071;
/// Time limit for a balancer's answer. A busy balancer answers within milliseconds.
const DEADLINE: Duration = Duration::from_secs(2);
/// Rate limit of calls to the platform. A command makes only a few calls.
const RATE: Rate = Rate {
    per_second: 10.0,
    burst: 20.0,
};

/// The time and random number of one run of the command, passed in by its caller.
#[derive(Debug, Clone, Copy)]
pub struct Invocation {
    /// The time, in seconds of Unix time.
    pub unix_time: u64,
    /// A random number: the id of the change, and the seed for the jitter of retries.
    pub random: u128,
}

/// The settings of a command: the addresses of store and balancers, and the operator's name.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address of the platform's store, if known.
    pub store: Option<SocketAddr>,
    /// The addresses of known balancers; the others are found through them.
    pub balancers: Vec<SocketAddr>,
    /// The prefix of the names of the balancers' VMs in the platform's list. The list is not read
    /// if `balancers` is not empty.
    pub machines: Arc<str>,
    /// Port on which balancers answer operators.
    pub admin_port: u16,
    /// The operator's name.
    pub author: Arc<str>,
    /// Time limit for a balancer's answer.
    pub deadline: Duration,
    /// The time and random number of this run.
    pub invocation: Invocation,
}

impl Settings {
    /// Resolves the settings from the flags and the settings file; flags override the file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid: a report with all of its problems.
    pub fn resolve(cli: &Cli, invocation: Invocation) -> Result<Self, Report> {
        let mut settings = Settings {
            store: None,
            balancers: Vec::new(),
            machines: "".into(),
            admin_port: DEFAULT_ADMIN_PORT,
            author: "unknown".into(),
            deadline: DEADLINE,
            invocation,
        };
        if let Some(path) = &cli.settings {
            settings.read(path)?;
        }
        settings.store = cli.store.or(settings.store);
        if !cli.balancer.is_empty() {
            settings.balancers.clone_from(&cli.balancer);
        }
        if let Some(author) = &cli.author {
            settings.author = author.as_str().into();
        }
        Ok(settings)
    }

    fn read(&mut self, path: &Path) -> Result<(), Report> {
        let ini = Ini::load_from_file(path)
            .map_err(|error| Report::failure(Code::SettingsUnreadable, error))?;
        let mut problems = Vec::new();
        for (section, keys) in &ini {
            for (key, value) in keys {
                if section.is_some() || !self.set(key, value) {
                    problems.push(format!("{key}={value:?}"));
                }
            }
        }
        if problems.is_empty() {
            return Ok(());
        }
        let expected = "store, balancer, admin_port, machines, author";
        let reason = format!("found {}, expected {expected}", problems.join(" "));
        Err(Report::failure(Code::SettingsInvalid, reason))
    }

    /// Sets the value of a key; returns false if the key is unknown or the value invalid.
    fn set(&mut self, key: &str, value: &str) -> bool {
        match key {
            "store" => value.parse().map(|a| self.store = Some(a)).is_ok(),
            "balancer" => value.parse().map(|a| self.balancers.push(a)).is_ok(),
            "admin_port" => value.parse().map(|p| self.admin_port = p).is_ok(),
            "machines" => {
                self.machines = value.into();
                true
            }
            "author" => {
                self.author = value.into();
                true
            }
            _ => false,
        }
    }

    /// Creates a client of the platform.
    pub(crate) fn client(&self) -> Result<Client, Report> {
        let Some(address) = self.store else {
            let reason = "no address of the store is given: use --store or the settings file";
            return Err(Report::failure(Code::Usage, reason));
        };
        let options = Options {
            rate: RATE,
            seed: self.seed(),
            ..Options::default()
        };
        Ok(Client::new(address, options))
    }

    /// The seed for the jitter of retries.
    pub(crate) fn seed(&self) -> u64 {
        self.invocation.random as u64
    }
}
