//! The platform's list of VMs. It is updated with a delay, so it is a hint and not authoritative.

use std::{net::IpAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub address: IpAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it is about to be stopped.
    pub state: State,
}

/// Whether a VM is about to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is running and is to keep running.
    Live,
    /// It is about to be stopped.
    Leaving,
}
