//! Decisions under load: from counts to plans, and to what flow control has to be told.

use std::{sync::Arc, time::Duration};

use acacia_burn::{Count, Mark};
use acacia_code::Code;
use acacia_flow::snapshot::Address;
use acacia_tables::closing;

use super::Core;
use crate::{clock::millis, load::Counts};

impl Core {
    /// Takes in a traffic thread's counts; gives what they mean for the burn report.
    pub fn counts(&mut self, counts: &Counts) -> Vec<(Arc<str>, Mark, Count)> {
        self.pools.counts(counts)
    }

    /// Decisions under load, once a second and with each change of configuration or tables.
    pub(super) fn weigh(&mut self, now: Duration) {
        let (Some(held), Some(document)) = (self.agreement.held(), self.agreement.document())
        else {
            return;
        };
        let revision = held.document.revision;
        let renewed = self
            .pools
            .renew(&held.config, revision, document, self.settings.threads);
        if renewed {
            let closing = closing(document, &held.config);
            self.close(closing, millis(now));
        }
        let view = self.group.view(now);
        let heard = view
            .members
            .iter()
            .filter(|member| member.state.is_heard())
            .count();
        let writes = view.ready().next() == Some(self.settings.id);
        let outcome = self.pools.tick(now, heard + 1, writes);
        if renewed || outcome.is_some() {
            self.policies = Arc::new(self.pools.policies());
        }
        let Some(outcome) = outcome else { return };
        for (address, guarded) in outcome.guard {
            self.flow.guard(address, guarded);
        }
        for (address, loose) in outcome.off_base {
            self.flow.allow_off_base(address, loose, millis(now));
        }
        for (address, server, down) in outcome.down {
            let code = Code::ServerSilent;
            log::warn!(
                "event=server-left-alone address={address:?} server={server} down={down} code={code}"
            );
            let down = down || self.closing.contains(&(address, server));
            self.flow.set_down(address, server, down, millis(now));
        }
        if !outcome.weights.is_empty() {
            self.agreement.set_weights(outcome.weights);
        }
    }

    /// Keeps new flows away from servers that a configuration drains or removes before the tables
    /// follow it, which they can't while the store is down.
    fn close(&mut self, closing: Vec<(Address, u16)>, time: u64) {
        for (address, server) in std::mem::replace(&mut self.closing, closing) {
            if !self.closing.contains(&(address, server)) {
                self.flow.set_down(address, server, false, time);
            }
        }
        for (address, server) in &self.closing {
            self.flow.set_down(*address, *server, true, time);
        }
    }
}
