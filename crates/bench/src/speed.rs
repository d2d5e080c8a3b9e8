//! Subcommand `speed`.

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seeds, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
}

/// Runs the cases and prints their lines.
pub fn run(_options: &Options) -> anyhow::Result<()> {
    anyhow::bail!("not built yet: see STATUS.md")
}
