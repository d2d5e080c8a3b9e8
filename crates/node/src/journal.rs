//! Logs: one line of key=value pairs for each event, on standard error.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging from `level`. Lines of the RPC library, one or two a call, are left out.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("acacia")
        .build();
    WriteLogger::init(level, config, std::io::stderr())
}
