use acacia_tables::{Situation, follow};

use super::{
    line::Line,
    size::{Size, change},
};

/// Services at 15 servers each.
const SERVICES: &[u32] = &[1, 9, 18, 36, 54];
/// Servers of one service.
const SERVERS: &[u32] = &[15, 60, 240, 960];

/// Prints the sizes of both documents against services and servers.
pub fn run() -> anyhow::Result<()> {
    let one = |name: &'static str, values: &[u32], size: &dyn Fn(u32) -> Size| {
        let mut points = Vec::new();
        for &value in values {
            let size = size(value);
            let bytes = measure(&size)?;
            println!(
                "case=documents by={name} services={} servers={} config_bytes={} tables_bytes={}",
                size.services, size.servers, bytes[0], bytes[1]
            );
            points.push((f64::from(value), bytes));
        }
        for (at, figure) in ["config_bytes", "tables_bytes"].iter().enumerate() {
            let line = Line::fit(points.iter().map(|(x, bytes)| (*x, bytes[at] as f64)));
            println!("case=documents by={name} fit={figure} {line}");
        }
        anyhow::Ok(())
    };
    one("services", SERVICES, &|services| Size {
        services,
        ..Size::default()
    })?;
    one("servers", SERVERS, &|servers| Size {
        services: 1,
        servers,
        ..Size::default()
    })
}

/// Bytes of the configuration and of the tables, as the store holds them.
fn measure(size: &Size) -> anyhow::Result<[usize; 2]> {
    let config = change(None, size.config(), 0)?;
    let situation = Situation {
        now: 0,
        is_known: &|_| false,
        weight: &|_, _| None,
    };
    let tables = follow(None, &config, &situation)?;
    let tables = tables.map_or(Ok(String::new()), |tables| tables.encode())?;
    Ok([config.encode().len(), tables.len()])
}
