//! Issues permits for requests to one server at a part of its limit.

use std::cmp;
use std::collections;

use toucanwall_routing::name;

use super::message;
use super::rate;

/// One permit, in the unit in which permits accrue.
const PERMIT_MICRO: u64 = 1_000_000;
/// Time for which permits accrue beyond one, in milliseconds: as late as the issuer may be woken.
const WAKE_UP_MS: u64 = 50;
/// Time for which a request for permits is kept, in milliseconds: what the host wants them for has gone
/// elsewhere soon after.
const REQUEST_TTL_MS: u64 = 120;
/// Issues permits one after the other to the hosts that request them: the most urgent request first, and
/// of those the latest, which is the least likely to have been given up.
#[derive(Debug)]
pub struct Issuer {
    /// Permits that have accrued and not been issued, in millionths.
    accrued_micro: u64,
    updated_ms: u64,
    requests: collections::BTreeMap<name::HostName, Pending>,
}

#[derive(Debug)]
struct Pending {
    request: message::PermitRequest,
    issued: u32,
    received_ms: u64,
}

impl Issuer {
    /// Creates an issuer. The first permit has to accrue, since another host may have issued until now.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { accrued_micro: 0, updated_ms: now_ms, requests: collections::BTreeMap::new() }
    }

    /// Lets permits accrue at a rate until now.
    pub fn accrue(&mut self, rate: rate::Rate, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        let max_micro = rate.micro_per_ms().saturating_mul(WAKE_UP_MS).saturating_add(PERMIT_MICRO);
        let accrued_micro = rate.micro_per_ms().saturating_mul(elapsed_ms);
        self.accrued_micro = self.accrued_micro.saturating_add(accrued_micro).min(max_micro);
    }

    /// Records a request of a host; an older one is ignored.
    pub fn request(&mut self, host: &name::HostName, request: message::PermitRequest, now_ms: u64) {
        let pending = self.requests.entry(host.clone()).or_insert_with(|| Pending {
            request: message::PermitRequest { wanted: 0, ..request },
            issued: 0,
            received_ms: now_ms,
        });
        if request.number > pending.request.number || pending.request.wanted == 0 {
            pending.request = request;
            pending.issued = 0;
            pending.received_ms = now_ms;
        }
    }

    /// Issues the permits that have accrued; returns what each host has been issued in total on its
    /// latest request, for the hosts for which that has changed.
    pub fn issue(&mut self, now_ms: u64) -> Vec<(name::HostName, message::Permits)> {
        self.requests.retain(|_, pending| now_ms < pending.received_ms + REQUEST_TTL_MS);
        let mut changed = collections::BTreeSet::new();
        while self.accrued_micro >= PERMIT_MICRO {
            let waiting = self.requests.iter_mut().filter(|(_, it)| it.is_open(now_ms));
            let next =
                waiting.min_by_key(|(_, it)| (it.request.priority, cmp::Reverse(it.received_ms)));
            let Some((host, pending)) = next else { break };
            pending.issued += 1;
            changed.insert(host.clone());
            self.accrued_micro -= PERMIT_MICRO;
        }
        let issued = |host: name::HostName| {
            let pending = self.requests.get(&host)?;
            let (number, issued) = (pending.request.number, pending.issued);
            Some((host, message::Permits { number, issued }))
        };
        changed.into_iter().filter_map(issued).collect()
    }

    /// When the next permit accrues for a host that waits, in milliseconds.
    #[must_use]
    pub fn next_due_ms(&self, rate: rate::Rate, now_ms: u64) -> Option<u64> {
        if !self.requests.values().any(|pending| pending.is_open(now_ms)) {
            return None;
        }
        let missing_micro = PERMIT_MICRO.saturating_sub(self.accrued_micro);
        let wait_ms = missing_micro.checked_div(rate.micro_per_ms())?;
        Some(self.updated_ms.saturating_add(wait_ms + 1))
    }
}

impl Pending {
    fn is_open(&self, now_ms: u64) -> bool {
        self.issued < self.request.wanted && now_ms < self.received_ms + REQUEST_TTL_MS
    }
}
