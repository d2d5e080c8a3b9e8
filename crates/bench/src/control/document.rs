use acacia_platform::machine::{Machine, State};
use acacia_tables::next_document;

use super::{
    line::Line,
    size::{Size, change},
};

/// Numbers of services to measure, with 15 backend servers each.
const SERVICES: &[u32] = &[1, 9, 18, 36, 54];
/// Numbers of backend servers to measure, in a single service.
const SERVERS: &[u32] = &[15, 60, 240, 960];
/// Numbers of VMs to measure in the platform's list.
const MACHINES: &[u16] = &[8, 390, 3_900];
/// Services and backend servers per service of one group of 8 balancers, as its share of a
/// deployment with 3,900 balancers, 21,000 hosts and 3,900 addresses.
const GROUP: (u32, u32) = (8, 6);

/// Prints the sizes of the configuration and the tables by number of services and of backend
/// servers, and the size of the platform's list of VMs.
pub fn run() -> anyhow::Result<()> {
    machines()?;
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
        let figures = ["config_bytes", "tables_bytes"];
        for (at, figure) in figures.iter().enumerate().filter(|_| values.len() > 1) {
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
    })?;
    one("group", &[GROUP.1], &|servers| Size {
        services: GROUP.0,
        servers,
        ..Size::default()
    })
}

/// Size of the platform's VM list, which it always returns whole, as JSON.
fn machines() -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &count in MACHINES {
        let list: Vec<Machine> = (0..count)
            .map(|id| Machine {
                name: format!("balancer-{id}").into(),
                address: std::net::Ipv4Addr::from_bits(0x0a09_0000 + u32::from(id)).into(),
                data_centre: "hervanta".into(),
                state: State::Live,
            })
            .collect();
        let bytes = serde_json::to_vec(&list)?.len();
        println!("case=documents by=machines machines={count} list_bytes={bytes}");
        points.push((f64::from(count), bytes as f64));
    }
    println!(
        "case=documents by=machines fit=list_bytes {}",
        Line::fit(points)
    );
    Ok(())
}

/// Sizes in bytes of the configuration and of the tables, as encoded in the store.
fn measure(size: &Size) -> anyhow::Result<[usize; 2]> {
    let config = change(None, size.config(), 0)?;
    let situation = acacia_tables::Context {
        now: 0,
        is_known: &|_| false,
        weight: &|_, _| None,
    };
    let tables = next_document(None, &config, &situation)?;
    let tables = tables.map_or(Ok(String::new()), |tables| tables.encode())?;
    Ok([config.encode().len(), tables.len()])
}
