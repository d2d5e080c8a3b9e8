//! Load control: passes counts to the pools, and the resulting plans and states of servers to the
//! traffic threads and flow control.

use std::{sync::Arc, time::Duration};

use acacia_burn::{Count, Mark};
use acacia_code::Code;
use acacia_flow::snapshot::Address;
use acacia_tables::withdrawn_servers;

use super::Core;
use crate::{clock::millis, load::Counts};

impl Core {
    /// Handles a traffic thread's counts, and returns the flow counts for the burn report.
    pub fn counts(&mut self, counts: &Counts) -> Vec<(Arc<str>, Mark, Count)> {
        self.pools.counts(counts)
    }

    /// Updates the pools once a second, and after each change of the configuration or the tables.
    pub(super) fn update_load(&mut self, now: Duration) {
        let (Some(held), Some(document)) = (self.agreement.held(), self.agreement.document())
        else {
            return;
        };
        let revision = held.document.revision;
        let renewed = self
            .pools
            .renew(&held.config, revision, document, self.settings.threads);
        if renewed {
            let closing = withdrawn_servers(document, &held.config);
            self.set_closing(closing, millis(now));
        }
        let view = self.group.view(now);
        let heard = view
            .members
            .iter()
            .filter(|member| member.state.is_heard())
            .count();
        let is_writer = view.ready().next() == Some(self.settings.id);
        let outcome = self.pools.tick(now, heard + 1, is_writer);
        if renewed || outcome.is_some() {
            self.policies = Arc::new(self.pools.policies());
        }
        let Some(outcome) = outcome else { return };
        for (address, guarded) in outcome.guard {
            self.flow.guard(address, guarded);
        }
        for (address, allowed) in outcome.off_base {
            self.flow.allow_off_base(address, allowed, millis(now));
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

    /// Keeps new flows away from servers that the configuration drains or removes, before the
    /// tables follow it. While the store is down, they can't.
    fn set_closing(&mut self, closing: Vec<(Address, u16)>, time: u64) {
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
