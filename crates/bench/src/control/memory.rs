use anyhow::Context as _;

/// Size in bytes of a memory page on the supported machines.
const PAGE: u64 = 4_096;

/// Returns the resident memory of this process in bytes (`/proc/self/statm`, second field).
///
/// ```
/// assert!(acacia_bench::control::memory::resident().unwrap() > 0);
/// ```
pub fn resident() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .context("statm has no second field")?
        .parse()?;
    Ok(pages * PAGE)
}
