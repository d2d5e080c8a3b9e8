//! Membership of the balancers of one group, based on direct heartbeats between all members.
//!
//! [`Group`] is a state machine without sockets or a clock. Its inputs are received heartbeats and
//! the current time, measured from any fixed instant on a clock that also runs while the process
//! is suspended (`CLOCK_BOOTTIME`). Its outputs are heartbeats to send, a [`View`] and [`Event`]s.
//!
//! The caller runs this loop: [`Group::hint`] after each read of the platform's list of VMs,
//! [`Group::receive`] for each heartbeat, [`Group::tick`] every [`Settings::tick`], then
//! [`Group::view`] for the threads that serve traffic. The thread that ticks must not block on the
//! platform or anything else: a pause longer than [`Settings::suspension_threshold`] counts as a
//! suspension, after which this balancer joins again.
//!
//! Freshness is measured from the time at which we *sent* the heartbeat that a member echoes, not
//! from the arrival of the member's heartbeat. A heartbeat that waited in a queue, was replayed, or
//! was answered before this process was suspended says nothing about the member's present state.

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
