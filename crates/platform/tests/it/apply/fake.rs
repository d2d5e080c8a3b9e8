//! A simulated store for the state machine, with a fault chosen for each call.

use acacia_config::document::{Document, Id, KEY};
use acacia_platform::{
    Error,
    apply::{Action, Apply, Event, Request, Verdict},
    store::{Outcome, Swap},
};
use acacia_stand::platform::store::Store;
use proptest::prelude::*;

/// A fault of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The call does not reach the store.
    RequestLost,
    /// A write takes effect and its answer is lost. A read fails.
    AnswerLost,
    /// A write takes effect later and its answer is lost. A read fails.
    Delayed,
}

pub fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::AnswerLost),
        2 => Just(Fault::Delayed),
    ]
}

/// An operator and the state of its attempt.
pub struct Operator {
    pub change: Id,
    pub writes: u32,
    pub verdict: Option<Verdict>,
    apply: Apply,
    next: Action,
}

impl Operator {
    pub fn new(request: Request) -> Self {
        let change = request.draft.change;
        let (apply, next) = Apply::start(request, 1);
        Operator {
            change,
            writes: 0,
            verdict: None,
            apply,
            next,
        }
    }
}

/// The store, the delayed writes, and all changes that took effect, in order.
#[derive(Default)]
pub struct Simulation {
    store: Store,
    delayed: Vec<Swap>,
    pub applied: Vec<Document>,
}

impl Simulation {
    /// Executes the next action of an operator.
    pub fn step(&mut self, operator: &mut Operator, fault: Fault) {
        let event = match operator.next.clone() {
            Action::Done(verdict) => {
                operator.verdict = Some(verdict);
                return;
            }
            Action::Read { .. } if fault == Fault::None => Event::Read(Ok(self.store.get(KEY))),
            Action::Read { .. } => Event::Read(Err(Error::Timeout)),
            Action::Write { expected, value } => {
                operator.writes += 1;
                let value = Some(value.into());
                let (key, lease) = (KEY.into(), None);
                Event::Written(self.write(
                    Swap {
                        key,
                        expected,
                        value,
                        lease,
                    },
                    fault,
                ))
            }
        };
        operator.next = operator.apply.step(event);
    }

    fn write(&mut self, swap: Swap, fault: Fault) -> Result<Outcome, Error> {
        match fault {
            Fault::None => return Ok(self.execute(swap)),
            Fault::RequestLost => {}
            Fault::AnswerLost => {
                self.execute(swap);
            }
            Fault::Delayed => self.delayed.push(swap),
        }
        Err(Error::Unknown)
    }

    fn execute(&mut self, swap: Swap) -> Outcome {
        let value = swap.value.clone().expect("a document");
        let outcome = self.store.swap(swap).expect("no lease, not too large");
        if let Outcome::Written { .. } = outcome {
            let document = Document::decode(&value).expect("a document");
            self.applied.push(document);
        }
        outcome
    }

    /// Executes the most recently delayed write; returns whether there was one.
    pub fn deliver_delayed(&mut self) -> bool {
        let swap = self.delayed.pop();
        swap.map(|swap| self.execute(swap)).is_some()
    }
}
