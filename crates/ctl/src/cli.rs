use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Operate acaciatrack: review, apply and watch its configuration.
#[derive(Debug, Clone, Parser)]
#[command(name = "acaciactl", version)]
pub struct Cli {
    /// INI file with store, balancer, author, admin_port and machines; flags go before it
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address of the platform's store
    #[arg(long, global = true, value_name = "ADDRESS:PORT")]
    pub store: Option<SocketAddr>,
    /// Where a balancer answers operators; the others are found through it (may be repeated)
    #[arg(long, global = true, value_name = "ADDRESS:PORT")]
    pub balancer: Vec<SocketAddr>,
    /// Your name in the history
    #[arg(long, global = true)]
    pub author: Option<String>,
    /// Write JSON, for programs
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Print a file in canonical form, or what is in force
    Print {
        /// The configuration; what is in force if left out
        file: Option<PathBuf>,
    },
    /// List every problem of a file
    Check {
        /// The configuration
        file: PathBuf,
    },
    /// Show what applying a file would change
    Plan {
        /// The configuration
        file: PathBuf,
    },
    /// Put a file in force
    Apply {
        /// The configuration
        file: PathBuf,
        /// Only over this revision, the one that the plan was made against
        #[arg(long, value_name = "REVISION")]
        over: Option<u64>,
        /// Whether to wait.
        #[command(flatten)]
        wait: Wait,
    },
    /// Give backend servers no new flows
    Drain {
        /// The backend servers
        #[arg(required = true)]
        servers: Vec<String>,
        /// End what remains of their flows after so many seconds
        #[arg(long, value_name = "SECONDS")]
        deadline: Option<u64>,
        /// Whether to wait.
        #[command(flatten)]
        wait: Wait,
    },
    /// Give backend servers new flows again
    Undrain {
        /// The backend servers
        #[arg(required = true)]
        servers: Vec<String>,
        /// Whether to wait.
        #[command(flatten)]
        wait: Wait,
    },
    /// Show every balancer: revision, tables, peers, flows, lag
    Status,
    /// Show how fast each service spends the failures that its objective allows
    Burn {
        /// Write the report as a self-contained page
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// List the last changes
    History,
    /// Write the completions of a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Whether to wait until a change is in force.
#[derive(Debug, Clone, Copy, Args)]
pub struct Wait {
    /// Wait until every live balancer has the change in force, at most so many seconds
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
    wait: Option<u64>,
}

impl Wait {
    /// How long to wait; none not to wait at all.
    #[must_use]
    pub fn timeout(self) -> Option<Duration> {
        self.wait.map(Duration::from_secs)
    }
}
