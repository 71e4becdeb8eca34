//! The list of addresses for callers, and the graceful shutdown.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::membership;

use crate::action;
use crate::view;

use super::Host;
use super::Lifecycle;

/// Longest list of addresses for callers.
const ADDRESSES_MAX: usize = 8;

impl Host {
    /// Returns the caller addresses of live hosts, ordered by distance: first those in the same
    /// data centre, then those in the same region, then all others.
    pub(super) fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        let own_info = &self.config.info;
        let mut ranked: Vec<_> = self
            .membership
            .eligible()
            .filter(|record| record.status == membership::Status::Alive)
            .map(|record| {
                let info = &record.info;
                let distance = if info.data_centre == own_info.data_centre {
                    0
                } else if info.region == own_info.region {
                    1
                } else {
                    2
                };
                // Each host orders equally distant hosts differently, which spreads the load.
                (distance, info.id.0 ^ own_info.id.0, info.caller_address)
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

    /// Starts a graceful shutdown.
    ///
    /// The host leaves the list of addresses and finishes its requests.
    pub(super) fn on_stop(&mut self) {
        if self.lifecycle != Lifecycle::Serving {
            return;
        }
        self.lifecycle = Lifecycle::Leaving { since_ms: self.now.mono_ms };
        let effects = self.membership.leave();
        self.apply_membership(effects);
        self.has_membership_changed = true;
        self.log(action::Level::Info, "graceful shutdown started".to_owned());
    }

    /// Returns whether new requests are refused because the host is shutting down.
    ///
    /// A host that is shutting down accepts requests until every cached list of addresses that
    /// names it has expired.
    pub(super) fn refuses_new_requests(&self) -> bool {
        match self.lifecycle {
            Lifecycle::Serving => false,
            Lifecycle::Leaving { since_ms } => {
                self.now.mono_ms >= since_ms + self.config.address_ttl_ms
            }
            Lifecycle::Stopped => true,
        }
    }

    /// Stops the host once cached lists of addresses have expired and no work is left, or the
    /// shutdown has taken too long.
    pub(super) fn poll_shutdown(&mut self) {
        let Lifecycle::Leaving { since_ms } = self.lifecycle else {
            return;
        };
        let shutdown_age_ms = self.now.mono_ms - since_ms;
        let has_pending_work = !self.requests.is_empty()
            || !self.outbox.is_empty()
            || !self.backup_store.is_empty()
            || self.shards.iter().any(|shard| !shard.is_idle());
        let has_ttl_passed = shutdown_age_ms >= self.config.address_ttl_ms;
        if (has_ttl_passed && !has_pending_work) || shutdown_age_ms >= self.config.shutdown_ms {
            self.lifecycle = Lifecycle::Stopped;
            let text = format!(
                "stopped with {} open requests and {} pending ledger entries",
                self.requests.len(),
                self.outbox.len()
            );
            self.log(action::Level::Info, text);
            self.push_action(action::Action::Stopped);
        }
    }
}
