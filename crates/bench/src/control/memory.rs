use anyhow::Context as _;

/// Bytes of a page on the machines that the product runs on.
const PAGE: u64 = 4_096;

/// Bytes of this process that are in memory (`/proc/self/statm`, second field).
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
