use std::{net::SocketAddrV4, sync::Arc};

use acacia_catalog::{
    Change,
    member::Member,
    route::Config,
    server::{Server, State},
};

/// A ready server named `id`.
pub fn server(id: &str) -> Arc<Server> {
    Arc::new(Server {
        id: id.into(),
        tag: 7,
        service: "live".into(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 8080),
        data_centre: "a".into(),
        slots: 2,
        state: State::Ready,
        warmup_ms: 0,
        started_ms: 0,
        created: 0,
    })
}

pub fn added(id: &str, revision: u64) -> Change {
    Change::Server {
        id: id.into(),
        revision,
        server: Some(server(id)),
    }
}

pub fn removed(id: &str, revision: u64) -> Change {
    Change::Server {
        id: id.into(),
        revision,
        server: None,
    }
}

/// A change that sets or removes the operators' evacuation mark of a data centre.
pub fn evacuation(data_centre: &str, revision: u64, stands: bool) -> Change {
    Change::Evacuation {
        data_centre: data_centre.into(),
        revision,
        stands,
    }
}

pub fn config(version: u64, revision: u64) -> Change {
    let config = Config {
        version,
        ..Config::default()
    };
    Change::Config {
        revision,
        config: Arc::new(config),
    }
}

/// Balancer `number` of the data centre `centre`.
pub fn member(number: u8, centre: &str) -> Member {
    Member {
        address: SocketAddrV4::new([10, 1, centre.as_bytes()[0], number].into(), 7000),
        data_centre: centre.into(),
        incarnation: 1,
        version: 1,
        sighted: true,
        leaving: false,
    }
}
