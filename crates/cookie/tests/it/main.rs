//! Tests of flow resolution by cookies: several resolvers whose views differ, without sockets.

mod cold;
mod evacuation;
mod failing;
mod fixture;
mod flow;
mod load;
mod overload;
mod place;
mod resolver;
mod roster;
mod silence;
mod speed;
mod trial;
mod unopened;
