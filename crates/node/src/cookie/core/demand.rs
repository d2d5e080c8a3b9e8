//! Demand for services: reports of this balancer's rates and of data centres, and the view of the
//! traffic threads.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_load::demand::{self, Centre, Rate, Report, View};
use serde::Serialize;

use super::{Core, Demand, Outcome};
use crate::cookie::message::{self, MAX_REPORT_BYTES, Message, Outgoing, encoded_size};

/// Maximum size of the rates, and of the reports of data centres, in one message, in bytes: a third of a frame
/// each, as the counts of servers take the rest. A row takes some 30 bytes.
const MAX_ROWS_BYTES: usize = 450;
/// Minimum interval between two views of the traffic threads.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Which rates come first in a message, in case not all of them fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    /// Those of the busiest services.
    Busiest,
    /// Those after the last of the message before.
    InTurn,
}

impl Core {
    /// Records the requests per second that the traffic threads see. If one has `changed` by much since
    /// the last report, peers are told at once and not with the next round.
    pub fn record_rates(&mut self, rates: Vec<Rate>, changed: bool, now: Duration) -> Outcome {
        self.demand.record_own(rates);
        let mut outcome = Outcome::default();
        if changed {
            let to = self.report_receivers();
            let mut message = self.empty_message(now);
            self.add_rates(&mut message, Order::Busiest, now);
            outcome.outgoing.push(Outgoing { to, message });
        }
        outcome
    }

    /// Adds the reports in a peer's message.
    pub(super) fn receive_demand(&mut self, message: &Message, now: Duration) {
        if let Some(rates) = &message.rates
            && message.from.data_centre == self.own().data_centre
        {
            let peer = message.from.address;
            let rows = rates.rows.iter().map(Rate::from);
            if rates.is_whole {
                self.demand.hear_rates(peer, rows, now);
            } else {
                self.demand.hear_some_rates(peer, rows, now);
            }
        }
        let reports = message.demands.iter();
        for report in reports.filter_map(|demand| demand.report(now)) {
            self.demand.hear_report(report);
        }
    }

    /// Adds this balancer's rates, and the reports about other data centres that it has not passed on yet, to a
    /// message to its own data centre.
    pub(super) fn add_rates(&mut self, message: &mut Message, order: Order, now: Duration) {
        let mut rates: Vec<Rate> = self.demand.own().collect();
        let requests = |rate: &Rate| rate.load.requests;
        match order {
            Order::Busiest => {
                rates.sort_by(|one, other| requests(other).total_cmp(&requests(one)));
            }
            Order::InTurn => {
                rates.sort_by(|one, other| one.service.cmp(&other.service));
                let first = self.next_rate % rates.len().max(1);
                rates.rotate_left(first);
            }
        }
        let mut room = MAX_ROWS_BYTES;
        let rows = rates.iter().map(message::Rate::from);
        let rows: Vec<message::Rate> = rows.take_while(|row| takes(&mut room, row)).collect();
        if order == Order::InTurn {
            self.next_rate = self.next_rate.wrapping_add(rows.len());
        }
        message.rates = Some(message::Rates {
            is_whole: rows.len() == rates.len(),
            rows,
        });
        let mut room = room_in(message);
        let fits = |report: &Report| takes(&mut room, &message::Demand::new(report.clone(), now));
        let reports = self.demand.take_reports(now, fits).into_iter();
        let demands = reports.map(|report| message::Demand::new(report, now));
        message.demands = demands.collect();
    }

    /// Adds the demand of this balancer's data centre to messages to other ones. If not all services fit, those
    /// of a message follow the last one that was sent to the same data centre.
    pub(super) fn add_demands(&mut self, outgoing: &mut [Outgoing], now: Duration) {
        if !self.demand.has_demand(now) {
            return;
        }
        let reports = self.demand.own_reports(self.near_balancers(), now);
        let rows: Vec<message::Demand> = reports
            .into_iter()
            .map(|report| message::Demand::new(report, now))
            .collect();
        for Outgoing { to, message } in outgoing {
            let receiver = to.first().and_then(|to| self.peers().get(*to));
            let centre = receiver.map(|peer| peer.data_centre.clone());
            let Some(centre) = centre.filter(|centre| *centre != self.own().data_centre) else {
                continue;
            };
            let next = self.next_demands.entry(centre).or_default();
            let (before, after) = rows.split_at(*next % rows.len().max(1));
            let mut room = room_in(message);
            let in_turn = after.iter().chain(before);
            let fitting = in_turn.take_while(|row| takes(&mut room, *row));
            message.demands = fitting.cloned().collect();
            *next = next.wrapping_add(message.demands.len());
        }
    }

    /// The demand for the traffic threads, at most once per [`VIEW_INTERVAL`]; `None` in between.
    pub fn demand_view(&mut self, now: Duration) -> Option<View> {
        if now < self.demand_viewed + VIEW_INTERVAL {
            return None;
        }
        self.demand_viewed = now;
        Some(self.demand.view(&self.demand_centres(), now))
    }

    /// The demand for services with servers, for the metrics.
    pub(super) fn known_demand(&self, now: Duration) -> Vec<Demand> {
        let view = self.demand.view(&self.demand_centres(), now);
        let services = view.iter();
        let services = services.filter(|(service, _)| self.roster.has_service(service));
        let of_service = |(service, demands): (&Arc<str>, &[demand::Demand])| {
            let of_centre = |demand: &demand::Demand| Demand {
                service: Arc::clone(service),
                data_centre: Arc::clone(&demand.data_centre),
                per_second: demand.load.asked().round() as u64,
                age: demand.age,
            };
            demands.iter().map(of_centre).collect::<Vec<_>>()
        };
        services.flat_map(of_service).collect()
    }

    /// Discards reports that no longer count, and those of services without servers.
    pub(super) fn forget_old_demand(&mut self, now: Duration) {
        let roster = &self.roster;
        self.demand
            .expire(|service| roster.has_service(service), now);
    }

    /// Whether this balancer reports its rates in this round.
    pub(super) fn has_demand(&self, now: Duration) -> bool {
        self.demand.has_demand(now)
    }

    /// The data centres whose callers may reach the servers that this balancer reaches: those with known
    /// balancers, except those that can't be reached from here.
    fn demand_centres(&self) -> Vec<Centre> {
        let lost = self.paths.lost();
        let own = Centre {
            name: self.own().data_centre.clone(),
            balancers: self.near_balancers(),
        };
        let distant = self.group.distant_populations();
        let distant = distant.filter(|(name, _)| !lost.contains(*name));
        let distant = distant.map(|(name, balancers)| Centre {
            name: name.clone(),
            balancers,
        });
        std::iter::once(own).chain(distant).collect()
    }

    /// The number of balancers of the own data centre.
    fn near_balancers(&self) -> u32 {
        self.peers().of(&self.own().data_centre).count() as u32 + 1
    }

    /// Some random peers that get this balancer's reports.
    fn report_receivers(&mut self) -> Vec<SocketAddrV4> {
        let others = self.count_peers();
        self.sample_peers(&others)
    }
}

/// The number of bytes that reports of data centres may take in a message.
fn room_in(message: &Message) -> usize {
    MAX_REPORT_BYTES
        .saturating_sub(encoded_size(message))
        .min(MAX_ROWS_BYTES)
}

/// Whether a row fits into the `room` that is left, which is lowered by it.
fn takes(room: &mut usize, row: &impl Serialize) -> bool {
    let bytes = encoded_size(row);
    let fits = bytes <= *room;
    *room = room.saturating_sub(bytes);
    fits
}
