//! Faults of a deployment: cuts, silence, and what its platform does wrong.

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

/// Stands for the platform in a [`Direction`].
pub const PLATFORM_ID: u16 = relay::PLATFORM;

impl Deployment {
    /// Nothing passes between `a` and `b` any more.
    pub fn cut(&mut self, a: u16, b: u16) -> anyhow::Result<()> {
        self.cut_directions(&[(a, b), (b, a)])
    }

    /// Nothing passes in these directions any more.
    pub fn cut_directions(&mut self, directions: &[Direction]) -> anyhow::Result<()> {
        self.cut.extend(directions);
        self.tell_cut()
    }

    /// The data centre `name` is cut from all others; its own balancers reach each other, and
    /// everybody the platform.
    pub fn cut_data_centre(&mut self, name: &str) -> anyhow::Result<()> {
        let (inside, outside) = self.sides(name);
        let pairs = inside.iter().flat_map(|a| outside.iter().map(|b| (*a, *b)));
        let directions: Vec<Direction> = pairs.flat_map(|(a, b)| [(a, b), (b, a)]).collect();
        self.cut_directions(&directions)
    }

    /// The data centre `name` no longer reaches the platform.
    pub fn cut_platform_from(&mut self, name: &str) -> anyhow::Result<()> {
        let (inside, _) = self.sides(name);
        inside
            .into_iter()
            .try_for_each(|id| self.cut(id, PLATFORM_ID))
    }

    /// Everything passes again.
    pub fn heal(&mut self) -> anyhow::Result<()> {
        self.cut.clear();
        self.tell_cut()
    }

    /// Connections that are open now go silent for good in these directions; new ones work.
    pub fn silence(&self, directions: &[Direction]) -> anyhow::Result<()> {
        self.command(RELAY_HOST, &Command::Silence(directions.to_vec()))
    }

    /// The platform does this wrong from now on, and nothing else.
    pub fn set_faults(&self, faults: Faults) -> anyhow::Result<()> {
        self.steer(async |control| control.faults(context::current(), faults).await)
    }

    /// The platform's open connections go silent for good; new ones work.
    pub fn silence_platform(&self) -> anyhow::Result<()> {
        self.steer(async |control| control.silence_open(context::current()).await)
    }

    /// The platform lists these balancers as live, and no others.
    pub fn list(&self, ids: &[u16]) -> anyhow::Result<()> {
        let machines = ids.iter().map(|id| Machine {
            name: format!("balancer-{id}").into(),
            address: self.network().host(advertised(*id)).into(),
            data_centre: self.data_centre(*id).into(),
            state: State::Live,
        });
        let machines: Vec<Machine> = machines.collect();
        self.steer(async |control| control.machines(context::current(), machines).await)
    }

    /// Calls that the platform has taken.
    pub fn platform_calls(&self) -> anyhow::Result<Counts> {
        self.steer(async |control| control.counts(context::current()).await)
    }

    /// Bytes of control traffic that each balancer has sent to others.
    pub fn control_bytes(&self) -> anyhow::Result<BTreeMap<u16, u64>> {
        let relay = SocketAddr::V4(self.network().port(RELAY_HOST, ADMIN));
        Ok(serde_json::from_str(&admin::ask(relay, &Command::Sent)?)?)
    }

    /// Balancers in the data centre `name`, and those elsewhere.
    #[must_use]
    pub fn sides(&self, name: &str) -> (Vec<u16>, Vec<u16>) {
        let all = self.balancers().into_iter();
        all.partition(|id| self.data_centre(*id) == name)
    }

    fn tell_cut(&self) -> anyhow::Result<()> {
        let cut = self.cut.iter().copied().collect();
        self.command(RELAY_HOST, &Command::Cut(cut))
    }

    /// Asks the platform's stand-in over a connection of its own.
    fn steer<T>(
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
