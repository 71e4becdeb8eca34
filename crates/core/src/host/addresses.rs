//! Which hosts callers are told to use, and the graceful shutdown.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::membership;

use crate::action;
use crate::view;

use super::Host;
use super::Life;

/// Most addresses in one answer.
const ADDRESSES_MAX: usize = 8;

impl Host {
    /// Hosts that callers may use: this data centre first, then this region, then the rest.
    pub(super) fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        let me = &self.config.info;
        let mut ranked: Vec<_> = self
            .membership
            .eligible()
            .filter(|record| record.status == membership::Status::Alive)
            .map(|record| {
                let info = &record.info;
                let distance = if info.data_centre == me.data_centre {
                    0
                } else if info.region == me.region {
                    1
                } else {
                    2
                };
                // Each host starts its list elsewhere, so that callers spread.
                (distance, info.id.0 ^ me.id.0, info.caller_address)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, address)| address).take(ADDRESSES_MAX).collect()
    }

    pub(super) fn member_views(&self) -> Vec<view::MemberView> {
        self.membership
            .members()
            .values()
            .map(|member| view::MemberView {
                id: member.record.info.id.to_string(),
                peer_address: member.record.info.peer_address,
                caller_address: member.record.info.caller_address,
                data_centre: Arc::clone(&member.record.info.data_centre),
                status: view::status_name(member.record.status),
            })
            .collect()
    }

    /// Starts a graceful shutdown: callers stop being sent here, requests are finished.
    pub(super) fn on_stop(&mut self) {
        if self.life != Life::Serving {
            return;
        }
        self.life = Life::Leaving { since_ms: self.now.mono_ms };
        let effects = self.membership.leave();
        self.apply_membership(effects);
        self.is_membership_changed = true;
        self.log(action::Level::Info, "graceful shutdown has begun".to_owned());
    }

    /// Whether new requests are refused: only once no caller holds this address any more.
    pub(super) fn refuses_as_stopping(&self) -> bool {
        match self.life {
            Life::Serving => false,
            Life::Leaving { since_ms } => self.now.mono_ms >= since_ms + self.config.address_ttl_ms,
            Life::Stopped => true,
        }
    }

    pub(super) fn check_stopped(&mut self) {
        let Life::Leaving { since_ms } = self.life else {
            return;
        };
        let age_ms = self.now.mono_ms - since_ms;
        let has_work = !self.requests.is_empty()
            || !self.journal.is_empty()
            || !self.vault.is_empty()
            || self.owners.iter().any(|owner| !owner.is_idle());
        let promise_is_over = age_ms >= self.config.address_ttl_ms;
        if (promise_is_over && !has_work) || age_ms >= self.config.shutdown_ms {
            self.life = Life::Stopped;
            let text = format!(
                "stopped with {} requests and {} ledger entries open",
                self.requests.len(),
                self.journal.len()
            );
            self.log(action::Level::Info, text);
            self.act(action::Action::Stopped);
        }
    }
}
