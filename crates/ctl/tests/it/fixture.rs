use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use acacia_api::{
    Status,
    status::{Evacuation, Peer},
};
use acacia_burn::{Count, Ledger, Mark, Source};
use acacia_config::{Config, Server, Service, document::Document, print};
use acacia_ctl::{Cli, Invocation, Report, run};
use acacia_platform::{Client, Options};
use acacia_stand::platform::Stand;
use clap::Parser as _;
use tempfile::TempDir;
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// The time of every command, in seconds of Unix time.
const NOW: u64 = 1_800_000_000;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// One service with the given share and two servers.
pub fn config(share: u8) -> Config {
    let mut config = Config::default();
    config.add_service(Service::new("live", [10, 77, 0, 1], 443, share));
    for host in [1, 2] {
        let address = SocketAddr::from(([10, 1, 0, host], 6080));
        config.add_server(Server::new(
            &format!("live-{host}"),
            "live",
            address,
            "lima-a",
        ));
    }
    config
}

/// The ledger of a balancer: 99 good flows and one broken.
fn ledger(id: u16) -> Ledger {
    let source = Source {
        balancer: id,
        incarnation: 1,
    };
    let count = Count {
        good: 99,
        broken: 1,
        ..Count::default()
    };
    let mut ledger = Ledger::new(source, NOW - 60);
    ledger.add(source, NOW, &"live".into(), Mark::Paying, count);
    ledger
}

/// The document that a balancer has in force.
type DocumentInForce = Arc<Mutex<Option<Document>>>;

/// A platform, balancers and a directory for files.
pub struct Environment {
    pub stand: Stand,
    pub balancers: Vec<(SocketAddr, DocumentInForce)>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    files: TempDir,
}

impl Environment {
    /// Starts the given number of balancers, of which the first knows all others.
    pub async fn new(balancers: u16) -> Self {
        let mut env = Environment {
            stand: Stand::start(any_port(), any_port())
                .await
                .expect("free ports"),
            balancers: Vec::new(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            files: TempDir::new().expect("a directory"),
        };
        for id in (0..balancers).rev() {
            env.start_balancer(id).await;
        }
        env.balancers.reverse();
        env
    }

    async fn start_balancer(&mut self, id: u16) {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let peers = self.balancers.iter().zip(0..).map(|((admin, _), id)| Peer {
            id,
            name: "peer".into(),
            admin: *admin,
            heard_ms: Some(1),
            revision: None,
        });
        let peers: Vec<_> = peers.collect();
        let in_force = DocumentInForce::default();
        self.balancers.push((address, Arc::clone(&in_force)));
        let (for_status, for_document) = (Arc::clone(&in_force), in_force);
        let status = move || Status {
            name: format!("entry-{id}").into(),
            id,
            revision: for_status
                .lock()
                .expect("a lock")
                .as_ref()
                .map(|d| d.revision),
            peers: peers.clone(),
            evacuations: vec![Evacuation {
                data_centre: "hervanta".into(),
                revision: 412,
                enforced_ms: 3_250,
            }],
            ..Status::default()
        };
        let document = move || {
            for_document
                .lock()
                .expect("a lock")
                .as_ref()
                .map(|d| d.encode().into())
        };
        let stop = self.stop.clone();
        let ledger = move || ledger(id);
        let limiter = acacia_api::limiter().into();
        self.tasks.spawn(acacia_api::serve(
            listener, stop, limiter, status, document, ledger,
        ));
    }

    /// The document in the store.
    pub async fn stored(&self) -> Document {
        let client = Client::new(self.stand.address(), Options::default());
        let key = acacia_config::document::KEY.into();
        let entry = client.get(&key).await.expect("an answer");
        Document::decode(&entry.value.expect("a value")).expect("a document")
    }

    /// Puts the store's document in force on the balancers with the given indices.
    pub async fn roll_out(&self, to: impl IntoIterator<Item = usize>) {
        let document = self.stored().await;
        for at in to {
            *self.balancers[at].1.lock().expect("a lock") = Some(document.clone());
        }
    }

    /// Writes a configuration to a file.
    pub fn file(&self, name: &str, config: &Config) -> PathBuf {
        let path = self.files.path().join(name);
        std::fs::write(&path, print(config)).expect("a file");
        path
    }

    /// An address on which no balancer listens.
    pub fn unused_address(&self) -> String {
        let listener = std::net::TcpListener::bind(any_port()).expect("a free port");
        listener.local_addr().expect("an address").to_string()
    }

    /// Runs a command line with the addresses of the platform and of the first balancer.
    pub async fn ctl(&self, line: &str) -> Report {
        let store = self.stand.address().to_string();
        let mut words = vec!["acaciactl", "--author", "aino", "--store", &store];
        let first = self
            .balancers
            .first()
            .map(|(address, _)| address.to_string());
        if let Some(first) = &first {
            words.extend(["--balancer", first]);
        }
        words.extend(line.split_whitespace());
        let cli = Cli::try_parse_from(words).expect("a command line");
        let random = rand::random();
        run(
            cli,
            Invocation {
                unix_time: NOW,
                random,
            },
        )
        .await
    }

    pub async fn shut_down(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.stand.stop().await;
    }
}
