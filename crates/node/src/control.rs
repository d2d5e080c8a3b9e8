//! The control thread: hears of configuration and publishes what traffic threads read.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_config::{
    Config,
    document::{Document, KEY},
};
use acacia_platform::{Client, Options};
use arc_swap::ArcSwap;

use crate::{settings::Settings, traffic::worker::Service};

/// What traffic threads read.
pub type Published = Arc<ArcSwap<Vec<Service>>>;

/// Between two tries to reach a platform that does not answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the configuration until `stop` is raised.
pub fn run(settings: &Settings, published: &Published, stop: &AtomicBool) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let options = Options {
            seed: u64::from(settings.id),
            ..Options::default()
        };
        let client = Client::new(SocketAddr::V4(settings.platform), options);
        let key: Arc<str> = KEY.into();
        let mut seen = 0;
        while !stop.load(Ordering::Relaxed) {
            match client.watch(&key, seen).await {
                Ok(entry) if entry.revision > seen => {
                    seen = entry.revision;
                    if let Some(value) = entry.value {
                        let document = Document::decode(&value)?;
                        published.store(Arc::new(services(&document.config()?)));
                        log::info!("event=config-in-force revision={}", document.revision);
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!("event=platform-unreachable error=\"{error}\"");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        Ok(())
    })
}

fn services(config: &Config) -> Vec<Service> {
    let v4 = |address: SocketAddr| match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    };
    config
        .services()
        .iter()
        .filter_map(|service| {
            let address = v4(SocketAddr::new(service.address, service.port))?;
            let servers: Vec<SocketAddrV4> = config
                .servers()
                .iter()
                .filter(|server| server.service == service.name)
                .filter_map(|server| v4(server.address))
                .collect();
            Some(Service { address, servers })
        })
        .collect()
}
