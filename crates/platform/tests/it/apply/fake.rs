//! A store at the interface of the decisions, with faults chosen per call.

use acacia_config::document::{Document, Id, KEY};
use acacia_platform::{
    Error,
    apply::{Action, Apply, Event, Request, Verdict},
    store::{Outcome, Swap},
};
use acacia_stand::platform::store::Store;
use proptest::prelude::*;

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It never arrives.
    Vanishes,
    /// It takes effect and the answer is lost. A read just fails.
    AnswerLost,
    /// The answer is lost and the call takes effect later.
    Delayed,
}

pub fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Vanishes),
        2 => Just(Fault::AnswerLost),
        2 => Just(Fault::Delayed),
    ]
}

/// An operator in the middle of an attempt.
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

/// The store, the writes still on their way, and every change that took effect, in order.
#[derive(Default)]
pub struct World {
    store: Store,
    delayed: Vec<Swap>,
    pub applied: Vec<Document>,
}

impl World {
    /// Lets an operator make its next call.
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
            Fault::None => return Ok(self.take(swap)),
            Fault::Vanishes => {}
            Fault::AnswerLost => {
                self.take(swap);
            }
            Fault::Delayed => self.delayed.push(swap),
        }
        Err(Error::Unknown)
    }

    fn take(&mut self, swap: Swap) -> Outcome {
        let value = swap.value.clone().expect("a document");
        let outcome = self.store.swap(swap).expect("no lease, not too large");
        if let Outcome::Written { .. } = outcome {
            let document = Document::decode(&value).expect("a document");
            self.applied.push(document);
        }
        outcome
    }

    /// A delayed write arrives, if there is one.
    pub fn arrive(&mut self) -> bool {
        let swap = self.delayed.pop();
        swap.map(|swap| self.take(swap)).is_some()
    }
}
