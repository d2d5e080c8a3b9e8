//! The platform's list of VMs. It lags, so it is a hint and never the truth.

use std::{net::IpAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub address: IpAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it is to stay.
    pub state: State,
}

/// Whether a VM is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
}
