//! Fault injection into a deployment: network cuts, silent connections and platform faults.

use std::{collections::BTreeMap, net::SocketAddr};

use acacia_platform::{
    answer,
    machine::{Machine, State},
};
use acacia_stand::{
    admin::{self, Command},
    platform::{
        control::ControlClient,
        fault::{Counts, Faults},
    },
    relay,
};
use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::Transport,
    tokio_serde::formats::Json,
};
use tokio::net::TcpStream;

use crate::{
    deployment::{Deployment, Direction},
    layout::{PLATFORM_HOST, RELAY_HOST, advertised},
    net::ADMIN,
};

/// Identifies the platform in a [`Direction`].
pub const PLATFORM_ID: u16 = relay::PLATFORM;

impl Deployment {
    /// Drops all traffic between `a` and `b`, in addition to earlier cuts.
    pub fn cut(&mut self, a: u16, b: u16) -> anyhow::Result<()> {
        self.cut_directions(&[(a, b), (b, a)])
    }

    /// Drops all traffic in the given directions, in addition to earlier cuts.
    pub fn cut_directions(&mut self, directions: &[Direction]) -> anyhow::Result<()> {
        self.cut.extend(directions);
        self.send_cuts()
    }

    /// Cuts the data centre `name` from all others. Its balancers still reach each other, and all
    /// balancers still reach the platform.
    pub fn cut_data_centre(&mut self, name: &str) -> anyhow::Result<()> {
        let (inside, outside) = self.sides(name);
        let pairs = inside.iter().flat_map(|a| outside.iter().map(|b| (*a, *b)));
        let directions: Vec<Direction> = pairs.flat_map(|(a, b)| [(a, b), (b, a)]).collect();
        self.cut_directions(&directions)
    }

    /// Cuts the data centre `name` from the platform.
    pub fn cut_platform_from(&mut self, name: &str) -> anyhow::Result<()> {
        let (inside, _) = self.sides(name);
        inside
            .into_iter()
            .try_for_each(|id| self.cut(id, PLATFORM_ID))
    }

    /// Ends all cuts.
    pub fn heal(&mut self) -> anyhow::Result<()> {
        self.cut.clear();
        self.send_cuts()
    }

    /// Makes open connections drop all data in the given directions until they are closed; new
    /// connections work.
    pub fn silence(&self, directions: &[Direction]) -> anyhow::Result<()> {
        self.command(RELAY_HOST, &Command::Silence(directions.to_vec()))
    }

    /// Replaces the faults of the simulated platform.
    pub fn set_faults(&self, faults: Faults) -> anyhow::Result<()> {
        self.call_platform(async |control| control.faults(context::current(), faults).await)
    }

    /// Makes the platform's open connections silent until they are closed; new ones work.
    pub fn silence_platform(&self) -> anyhow::Result<()> {
        self.call_platform(async |control| control.silence_open(context::current()).await)
    }

    /// Makes the platform list exactly these balancers as live.
    pub fn list(&self, ids: &[u16]) -> anyhow::Result<()> {
        let machines = ids.iter().map(|id| Machine {
            name: format!("balancer-{id}").into(),
            address: self.network().host(advertised(*id)).into(),
            data_centre: self.data_centre(*id).into(),
            state: State::Live,
        });
        let machines: Vec<Machine> = machines.collect();
        self.call_platform(async |control| control.machines(context::current(), machines).await)
    }

    /// Counts of the calls that the platform has received.
    pub fn platform_calls(&self) -> anyhow::Result<Counts> {
        self.call_platform(async |control| control.counts(context::current()).await)
    }

    /// Bytes of control traffic that each balancer has sent to other balancers.
    pub fn control_bytes(&self) -> anyhow::Result<BTreeMap<u16, u64>> {
        let relay = SocketAddr::V4(self.network().port(RELAY_HOST, ADMIN));
        Ok(serde_json::from_str(&admin::ask(relay, &Command::Sent)?)?)
    }

    /// Splits the balancers into those in the data centre `name` and those outside of it.
    #[must_use]
    pub fn sides(&self, name: &str) -> (Vec<u16>, Vec<u16>) {
        let all = self.balancers().into_iter();
        all.partition(|id| self.data_centre(*id) == name)
    }

    fn send_cuts(&self) -> anyhow::Result<()> {
        let cut = self.cut.iter().copied().collect();
        self.command(RELAY_HOST, &Command::Cut(cut))
    }

    /// Calls the control interface of the simulated platform over a new connection.
    fn call_platform<T>(
        &self,
        ask: impl AsyncFnOnce(&ControlClient) -> Result<T, RpcError>,
    ) -> anyhow::Result<T> {
        let address = SocketAddr::V4(self.network().port(PLATFORM_HOST, ADMIN));
        self.runtime.block_on(async {
            let stream = TcpStream::connect(address).await?;
            let transport = Transport::from((stream, Json::default()));
            let new = ControlClient::new(client::Config::default(), transport);
            Ok(answer::wait_for(ask(&new.client), new.dispatch).await?)
        })
    }
}
