//! Client of the platform: its key-value service and its list of VMs.
