//! Tests of flow resolution by cookies, without sockets, some of them with several resolvers that have
//! different views of the servers.

mod cold;
mod demand;
mod evacuation;
mod failing;
mod fixture;
mod flood;
mod flow;
mod foreign;
mod half_open;
mod lapse;
mod load;
mod model;
mod overload;
mod path;
mod place;
mod probe;
mod resolver;
mod ring;
mod roster;
mod shared;
mod silence;
mod speed;
mod spill;
