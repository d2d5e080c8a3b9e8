//! Status of a cookie balancer, for operators.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use acacia_api::{Status, status};

use super::{
    control::{Control, lock},
    core::{Evacuation, Summary},
    rotation::Phase,
};

/// Builds the balancer's status. `admin` is the address of its admin API; peers use the same port.
pub fn status(control: &Control, admin: SocketAddrV4) -> Status {
    let (summary, own, list) = control.core(|core, now| {
        let list: Vec<SocketAddrV4> = core.peers().iter().map(|member| member.address).collect();
        (core.summary(now), core.own().clone(), list)
    });
    let phase = *lock(&control.phase);
    let peer = |address: &SocketAddrV4| status::Peer {
        id: 0,
        name: address.to_string().into(),
        admin: SocketAddr::from((*address.ip(), admin.port())),
        heard_ms: None,
        revision: None,
    };
    Status {
        name: lock(&control.settings).name.clone(),
        data_centre: own.data_centre,
        phase: api_phase(phase),
        revision: (summary.version > 0).then_some(summary.version),
        enforced_ms: enforced_ms(&summary),
        evacuations: summary.evacuations.iter().map(evacuation).collect(),
        store_ms: summary.age.map(|age| age.as_millis() as u64),
        peers: list.iter().map(peer).collect(),
        ..Status::default()
    }
}

fn evacuation(evacuation: &Evacuation) -> status::Evacuation {
    status::Evacuation {
        data_centre: Arc::clone(&evacuation.data_centre),
        revision: evacuation.revision,
        enforced_ms: evacuation.enforced.as_millis() as u64,
    }
}

fn enforced_ms(summary: &Summary) -> u64 {
    summary.enforced.map_or(0, |age| age.as_millis() as u64)
}

const fn api_phase(phase: Phase) -> status::Phase {
    match phase {
        Phase::Starting => status::Phase::Starting,
        Phase::Serving => status::Phase::Serving,
        Phase::Leaving { .. } => status::Phase::Leaving,
    }
}
