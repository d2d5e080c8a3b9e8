//! Membership of the balancers of one group, from direct heartbeats.
//!
//! [`Group`] decides; it has no socket and no clock. Time (since any fixed instant, on a clock that
//! goes on while the process is suspended: `CLOCK_BOOTTIME`) and heartbeats come in; heartbeats to
//! send, a [`View`] and [`Event`]s go out. The caller's loop is: [`Group::hint`] whenever the
//! platform's list was read, [`Group::receive`] for each heartbeat, [`Group::tick`] every
//! [`Settings::tick`], then [`Group::view`] for the threads that serve traffic. The thread that
//! ticks must not wait for the platform or anything else: a pause of [`Settings::suspension_threshold`]
//! counts as a suspension, and this balancer joins again.
//!
//! A member counts as fresh by the *sending* time of our own heartbeat that it echoes, not by the
//! arrival of its heartbeat: a heartbeat that waited in a queue, was replayed, or was answered
//! before this process was suspended proves nothing about now.

mod cost;
mod error;
mod group;
mod message;
mod receive;
mod record;
mod settings;
mod settle;
mod tick;
mod view;

pub use cost::{Cost, FRAME_BYTES, HEADER_BYTES, cost};
pub use error::Refusal;
pub use group::Group;
pub use message::{Contact, Echo, Heartbeat, Intro, Phase};
pub use record::Hint;
pub use settings::{MAX_GROUP, Settings};
pub use settle::Mark;
pub use tick::Outgoing;
pub use view::{Cause, Event, Member, State, View};
