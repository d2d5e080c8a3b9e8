//! Addresses and arguments of the processes of a deployment.

use std::net::SocketAddrV4;

use acacia_wire::control::Secret;

use crate::{
    deployment::{Deployment, Plan},
    net::{ADMIN, ANSWERS, CONTROL, Network, PLATFORM, TRAFFIC},
};

/// Host number of the platform.
pub(crate) const PLATFORM_HOST: u8 = 2;
/// Host number of the fabric.
pub(crate) const FABRIC_HOST: u8 = 3;
/// Host number of a balancer with id 0; ids start at 1.
pub(crate) const BALANCERS: u8 = 10;
/// Advertised host number of a balancer with id 0; the relay listens at the advertised addresses.
pub(crate) const ADVERTISED: u8 = 40;
/// Host number of the relay's administrative interface.
pub(crate) const RELAY_HOST: u8 = 4;
/// Host number of the first backend server.
pub(crate) const SERVERS: u8 = 100;
/// Value of each byte of the key for control traffic.
const KEY_BYTE: u8 = 0x4d;
/// Length of the key, in bytes.
const KEY_LENGTH: usize = 32;
/// Number of balancers that may be started in addition to those of the plan.
pub(crate) const SPARE: u16 = 3;

impl Deployment {
    /// The keys for traffic between balancers.
    #[must_use]
    pub fn secret(&self) -> Secret {
        Secret::new(&[KEY_BYTE; KEY_LENGTH], None)
    }

    /// Address at which balancer `id` receives encapsulated packets.
    #[must_use]
    pub fn traffic(&self, id: u16) -> SocketAddrV4 {
        self.network.port(host(id), TRAFFIC)
    }

    /// Control address of balancer `id`, without the relay.
    #[must_use]
    pub fn control(&self, id: u16) -> SocketAddrV4 {
        self.network.port(host(id), CONTROL)
    }

    /// Address of the operator interface of balancer `id`.
    #[must_use]
    pub fn admin(&self, id: u16) -> SocketAddrV4 {
        self.network.port(host(id), ADMIN)
    }

    /// The settings of balancer `id`.
    pub(crate) fn settings(&self, id: u16) -> String {
        let at = |port| self.network.port(host(id), port);
        let mut text = format!(
            "[balancer]\nid = {id}\ndata_centre = {}\nadvertise = {}\n\
             [traffic]\nlisten = {}\nthreads = 1\ngateway = {}\n\
             [control]\nlisten = {}\nkey = {}\n\
             [admin]\nlisten = {}\n[platform]\naddress = {}\n",
            self.data_centre(id),
            self.network.host(advertised(id)),
            at(TRAFFIC),
            self.network.port(FABRIC_HOST, ANSWERS),
            at(CONTROL),
            format!("{KEY_BYTE:02x}").repeat(KEY_LENGTH),
            at(ADMIN),
            self.network.port(advertised(id), PLATFORM),
        );
        for peer in (1..=self.plan.balancers).filter(|peer| *peer != id) {
            text += &format!(
                "[peer.{peer}]\ncontrol = {}\ndata_centre = {}\n",
                self.network.port(advertised(peer), CONTROL),
                self.data_centre(peer)
            );
        }
        text
    }
}

/// Host number of balancer `id`.
pub(crate) fn host(id: u16) -> u8 {
    BALANCERS + id as u8
}

/// Host number that balancer `id` advertises, and at which the relay listens for it.
pub(crate) fn advertised(id: u16) -> u8 {
    ADVERTISED + id as u8
}

pub(crate) fn relay_arguments(network: Network, plan: &Plan) -> Vec<String> {
    let mut arguments = vec![
        "relay".to_owned(),
        format!("--traffic={TRAFFIC}"),
        format!("--control={CONTROL}"),
        format!("--platform={}", network.port(PLATFORM_HOST, PLATFORM)),
        format!("--admin={}", network.port(RELAY_HOST, ADMIN)),
    ];
    arguments.extend((1..=plan.balancers + SPARE).map(|id| {
        let (advertised, real) = (network.host(advertised(id)), network.host(host(id)));
        format!("--balancer={id},{advertised},{real}")
    }));
    arguments
}

pub(crate) fn platform_arguments(network: Network) -> [String; 3] {
    [
        "platform".to_owned(),
        format!("--listen={}", network.port(PLATFORM_HOST, PLATFORM)),
        format!("--control={}", network.port(PLATFORM_HOST, ADMIN)),
    ]
}

pub(crate) fn fabric_arguments(network: Network) -> [String; 4] {
    [
        "fabric".to_owned(),
        format!("--callers={}", network.port(FABRIC_HOST, TRAFFIC)),
        format!("--answers={}", network.port(FABRIC_HOST, ANSWERS)),
        format!("--admin={}", network.port(FABRIC_HOST, ADMIN)),
    ]
}
