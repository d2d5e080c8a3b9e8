use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Operate acaciatrack: review, apply and watch its configuration.
#[derive(Debug, Clone, Parser)]
#[command(name = "acaciactl", version)]
pub struct Cli {
    /// INI file with store, balancer, author, admin_port and machines; flags override it
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address of the platform's store
    #[arg(long, global = true, value_name = "ADDRESS:PORT")]
    pub store: Option<SocketAddr>,
    /// Address on which a balancer answers operators; the others are found through it (may be
    /// repeated)
    #[arg(long, global = true, value_name = "ADDRESS:PORT")]
    pub balancer: Vec<SocketAddr>,
    /// Your name in the history
    #[arg(long, global = true)]
    pub author: Option<String>,
    /// Print JSON, for programs
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub verb: Command,
}

/// A subcommand with its arguments.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Print a file, or the configuration in force, in canonical form
    Print {
        /// The configuration file; if omitted, the configuration in force
        file: Option<PathBuf>,
    },
    /// List every problem of a file
    Check {
        /// The configuration file
        file: PathBuf,
    },
    /// Show what applying a file would change
    Plan {
        /// The configuration file
        file: PathBuf,
    },
    /// Put a file in force
    Apply {
        /// The configuration file
        file: PathBuf,
        /// Apply only if this revision is in force, the one that was reviewed
        #[arg(long, value_name = "REVISION")]
        over: Option<u64>,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: Wait,
    },
    /// Give backend servers no new flows
    Drain {
        /// The backend servers
        #[arg(required = true)]
        servers: Vec<String>,
        /// End their remaining flows after this number of seconds
        #[arg(long, value_name = "SECONDS")]
        deadline: Option<u64>,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: Wait,
    },
    /// Give backend servers new flows again
    Undrain {
        /// The backend servers
        #[arg(required = true)]
        servers: Vec<String>,
        /// Whether to wait until the change is in force.
        #[command(flatten)]
        wait: Wait,
    },
    /// Show every balancer: revision, tables, peers, flows, lag
    Status,
    /// Show how fast each service uses up the failures that its objective allows
    Burn {
        /// Write the report as a self-contained page
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// List the last changes
    History,
    /// Generate completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Whether to wait until a change is in force.
#[derive(Debug, Clone, Copy, Args)]
pub struct Wait {
    /// Wait until every live balancer has the change in force, at most this number of seconds
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
    wait: Option<u64>,
}

impl Wait {
    /// The maximum time to wait; `None` to return at once.
    #[must_use]
    pub fn timeout(self) -> Option<Duration> {
        self.wait.map(Duration::from_secs)
    }
}
