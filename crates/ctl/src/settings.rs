use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_platform::{Client, Options, limit::Rate};
use ini::Ini;

use crate::{Cli, Report};

/// Port on which balancers answer operators, unless the settings say otherwise.
const ADMIN_PORT: u16 = 7071;
/// How long a balancer may take to answer. A busy one answers in milliseconds.
const DEADLINE: Duration = Duration::from_secs(2);
/// A command makes a handful of calls and then ends.
const RATE: Rate = Rate {
    per_second: 10.0,
    burst: 20.0,
};

/// What the outside contributes to a command.
#[derive(Debug, Clone, Copy)]
pub struct Invocation {
    /// Seconds of Unix time.
    pub unix_time: u64,
    /// Drawn at random: the id of a change, and the spread of retries.
    pub random: u128,
}

/// Whom to ask and in whose name.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform, if it is known.
    pub store: Option<SocketAddr>,
    /// Balancers that are known; the others are found through them.
    pub balancers: Vec<SocketAddr>,
    /// How the names of the balancers' VMs begin in the platform's list. With balancers given,
    /// the list is not asked.
    pub machines: Arc<str>,
    /// Port on which balancers answer operators.
    pub admin_port: u16,
    /// The operator's name.
    pub author: Arc<str>,
    /// How long a balancer may take to answer.
    pub deadline: Duration,
    /// Time and chance.
    pub invocation: Invocation,
}

impl Settings {
    /// The settings of a command: its flags, then the file.
    ///
    /// # Errors
    /// A report with every problem of the file.
    pub fn resolve(cli: &Cli, invocation: Invocation) -> Result<Self, Report> {
        let mut settings = Settings {
            store: None,
            balancers: Vec::new(),
            machines: "".into(),
            admin_port: ADMIN_PORT,
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
                if section.is_some() || !self.take(key, value) {
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

    /// Takes a key; false if it is unknown or its value is wrong.
    fn take(&mut self, key: &str, value: &str) -> bool {
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

    /// A client of the platform.
    pub(crate) fn client(&self) -> Result<Client, Report> {
        let Some(address) = self.store else {
            let reason = "no store is named: use --store or the settings";
            return Err(Report::failure(Code::Usage, reason));
        };
        let options = Options {
            rate: RATE,
            seed: self.seed(),
            ..Options::default()
        };
        Ok(Client::new(address, options))
    }

    /// Seeds the spread of retries.
    pub(crate) fn seed(&self) -> u64 {
        self.invocation.random as u64
    }
}
