//! Billing: every dispatched request gets exactly one bill.

use std::sync::Arc;

use toucanwall_coordination::ledger::entry;

use crate::request;

use super::Host;

impl Host {
    pub(super) fn bill(
        &mut self,
        request: &request::Request<request::Dispatched>,
        tokens: u64,
        outcome: entry::RequestOutcome,
    ) {
        let bill = entry::Bill {
            id: entry::BillId { host: self.id(), number: request.state.bill_number },
            organisation: Arc::from(request.state.plan.organisation.as_str()),
            item: Arc::clone(&request.state.item),
            tokens,
            cost_microcents: match outcome {
                entry::RequestOutcome::Answered => self.cost_microcents(request, tokens),
                entry::RequestOutcome::Failed | entry::RequestOutcome::Interrupted => 0,
            },
            outcome,
        };
        self.backup_sender.bill(bill.clone());
        self.submit_bill(bill);
    }

    pub(super) fn cost_microcents(
        &self,
        request: &request::Request<request::Dispatched>,
        tokens: u64,
    ) -> u64 {
        let document = self.catalogue.document();
        match &request.state.plan.target {
            request::ResolvedTarget::Model { stages, stage, .. } => stages
                .get(*stage)
                .and_then(|model| document.models.get(model))
                .map_or(0, |model| (model.cost_microcents_per_kilotoken * tokens).div_ceil(1_000)),
            request::ResolvedTarget::Service { name, .. } => {
                document.services.get(name).map_or(0, |service| service.cost_microcents_per_call)
            }
        }
    }
}
