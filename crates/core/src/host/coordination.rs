//! Coordination with peers and the platform, and periodic work.

use std::collections;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::membership;
use toucanwall_coordination::platform;
use toucanwall_coordination::rendezvous;
use toucanwall_coordination::status_replica;
use toucanwall_document::parts;
use toucanwall_policy::balance;
use toucanwall_policy::poison;

use crate::action;
use crate::catalogue;
use crate::counter;
use crate::message;
use crate::refusal;

use super::Host;
use super::Lifecycle;

/// Number of hosts in each data centre that watch the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Rendezvous key that ranks the hosts of a data centre as watchers; spells "watch" in ASCII.
const WATCHER_RANKING_KEY: u64 = 0x77_61_74_63_68;
/// Prefix of the keys of status objects that describe backend servers.
pub const SERVERS_PREFIX: &str = "status/servers/";

/// A backend server, as its status object stores it.
#[derive(Debug, Deserialize)]
struct ServerObject {
    address: net::SocketAddr,
    pool: Arc<str>,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    loaded: collections::BTreeSet<Arc<str>>,
}

/// The latest confirmations, by the platform and by a peer, that the local state is current.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    /// Time of the call that last confirmed the configuration, in milliseconds.
    configuration_sent_ms: Option<u64>,
    /// Time of the call that last confirmed the status objects, in milliseconds.
    status_sent_ms: Option<u64>,
    /// Confirmation by a peer that may be ahead of this host.
    from_peer: Option<PeerConfirmation>,
}

/// The position that a peer sent with its answer to a ping.
#[derive(Debug, Clone, Copy)]
struct PeerConfirmation {
    position: message::Position,
    /// Time at which the ping was sent, in milliseconds.
    sent_ms: u64,
}

impl Host {
    pub(super) fn on_tick(&mut self) {
        let effects = self.membership.tick(self.now.mono_ms);
        self.apply_membership(effects);
        self.update_ownership();
        let reachable = self.reachable_hosts();
        self.freshness.tick(self.now.mono_ms, reachable);
        let replica_role = self.replica_role();
        let age_ms = self.freshness.age_ms(self.now.mono_ms);
        let effects = self.config_replica.tick(replica_role, age_ms, self.now.mono_ms);
        self.apply_config_replica(effects);
        let effects = self.status_replica.tick(replica_role, age_ms, self.now.mono_ms);
        self.apply_status_replica(effects);
        self.tick_ledger();
        self.expire_requests();
        self.poll_shutdown();
    }

    pub(super) fn on_peer(
        &mut self,
        from: net::SocketAddr,
        sender: identity::HostId,
        message: message::Message,
    ) {
        match message {
            message::Message::Gossip { message, position } => {
                self.on_membership_message(from, message, position);
            }
            message::Message::Configuration(message) => {
                self.on_config_message(from, message);
                self.apply_peer_confirmation();
            }
            message::Message::Status(message) => {
                let effects = self.status_replica.receive(from, message);
                self.apply_status_replica(effects);
                self.apply_peer_confirmation();
            }
            message::Message::Ledger(message) => self.on_ledger(from, sender, message),
            message::Message::CrashReport { content_digest, server } => {
                self.record_crash(content_digest, server);
            }
        }
    }

    pub(super) fn on_platform_reply(&mut self, call: action::CallId, reply: platform::Reply) {
        match call {
            action::CallId::Configuration => {
                let effects = self.config_replica.handle_reply(reply, self.now.mono_ms);
                self.apply_config_replica(effects);
            }
            action::CallId::Status => {
                let effects = self.status_replica.handle_reply(reply, self.now.mono_ms);
                self.apply_status_replica(effects);
            }
            action::CallId::Shard(shard) => self.on_shard_reply(shard, &reply),
        }
    }

    /// Returns why the host accepts no requests, if it does not.
    pub(super) fn unready_reason(&self) -> Option<refusal::Reason> {
        if self.refuses_new_requests() {
            return Some(refusal::Reason::Stopping);
        }
        if !self.config_replica.is_ready() || self.catalogue_revision == 0 {
            return Some(refusal::Reason::NotReady);
        }
        match self.freshness_state() {
            freshness::State::Isolated => Some(refusal::Reason::CutOff),
            freshness::State::Fresh | freshness::State::Unconfirmed => None,
        }
    }

    /// Records that a server crashed while it executed a request, and tells other hosts.
    ///
    /// A crash that is already known is not sent again.
    pub(super) fn record_crash(&mut self, content_digest: u64, server: net::SocketAddr) {
        if self.poison.crashed_servers(content_digest).contains(&server) {
            return;
        }
        let status = self.poison.record_crash(content_digest, server, self.now.mono_ms);
        if status == poison::Status::Blocked {
            self.counters.add(counter::Counter::PoisonConvicted);
            let text = format!(
                "refusing requests with content {content_digest:016x}, which crashed too many servers"
            );
            self.log(action::Level::Warn, text);
        }
        self.send_to_sample(&message::Message::CrashReport { content_digest, server });
    }

    /// Sends a message to a random sample of hosts.
    pub(super) fn send_to_sample(&mut self, message: &message::Message) {
        for to in self.membership.sample_addresses(config_replica::FANOUT) {
            self.push_action(action::Action::SendPeer { to, message: message.clone() });
        }
    }

    /// Returns the number of live hosts, including this one.
    pub(super) fn reachable_hosts(&self) -> usize {
        self.membership
            .members()
            .values()
            .filter(|member| {
                matches!(
                    member.record.status,
                    membership::Status::Alive | membership::Status::Leaving
                )
            })
            .count()
    }

    pub(super) fn apply_membership(&mut self, effects: Vec<membership::Effect>) {
        for effect in effects {
            match effect {
                membership::Effect::Send { to, message } => self.send_gossip(to, message),
                membership::Effect::Reconnect { address } => {
                    self.push_action(action::Action::Reconnect { address });
                }
                membership::Effect::Changed { host, status } => self.on_member_change(host, status),
                // Handled in `on_membership_message`, where the sender's position is known.
                membership::Effect::Acked { .. } => {}
                membership::Effect::Paused { gap_ms } => self.on_pause(gap_ms),
            }
        }
    }

    fn freshness_state(&self) -> freshness::State {
        self.freshness.state(self.now.mono_ms, self.reachable_hosts())
    }

    fn on_membership_message(
        &mut self,
        from: net::SocketAddr,
        message: membership::Message,
        position: message::Position,
    ) {
        let effects = self.membership.receive(from, message, self.now.mono_ms);
        let ping_sent_ms = effects.iter().find_map(|effect| match effect {
            membership::Effect::Acked { sent_ms } => Some(*sent_ms),
            _ => None,
        });
        self.apply_membership(effects);
        if let Some(sent_ms) = ping_sent_ms {
            self.confirmations.from_peer = Some(PeerConfirmation { position, sent_ms });
            self.freshness.record_contact(sent_ms);
            self.apply_peer_confirmation();
        }
        let effects = self.config_replica.handle_peer_revision(from, position.revision);
        self.apply_config_replica(effects);
        let effects =
            self.status_replica.handle_peer_position(from, position.status, self.now.mono_ms);
        self.apply_status_replica(effects);
    }

    /// Confirms the local state as of the older of the platform's replies about the
    /// configuration and the status objects.
    fn confirm(&mut self) {
        let Confirmations { configuration_sent_ms, status_sent_ms, .. } = self.confirmations;
        if let (Some(configuration_sent_ms), Some(status_sent_ms)) =
            (configuration_sent_ms, status_sent_ms)
        {
            let reachable = self.reachable_hosts();
            let sent_ms = configuration_sent_ms.min(status_sent_ms);
            self.freshness.record_confirmation(sent_ms, reachable);
        }
    }

    /// Takes over a peer's confirmation once this host has all that the peer had.
    fn apply_peer_confirmation(&mut self) {
        let Some(from_peer) = self.confirmations.from_peer else {
            return;
        };
        let has_revision = self.config_replica.revision() >= from_peer.position.revision;
        let has_status =
            self.status_replica.position().version >= from_peer.position.status.version;
        if has_revision && has_status {
            self.confirmations.from_peer = None;
            if let Some(confirmation) = from_peer.position.confirmation {
                self.freshness.record_peer_confirmation(confirmation, from_peer.sent_ms);
            }
        }
    }

    fn on_config_message(&mut self, from: net::SocketAddr, message: config_replica::Message) {
        let other_hosts = self.reachable_hosts().saturating_sub(1);
        let effects = self.config_replica.receive(from, message, other_hosts);
        self.apply_config_replica(effects);
    }

    fn send_gossip(&mut self, to: net::SocketAddr, message: membership::Message) {
        let reachable = self.reachable_hosts();
        let position = message::Position {
            revision: self.config_replica.revision(),
            confirmation: self.freshness.confirmation(self.now.mono_ms, reachable),
            status: self.status_replica.position(),
        };
        let message = message::Message::Gossip { message, position };
        self.push_action(action::Action::SendPeer { to, message });
    }

    fn on_member_change(&mut self, host: identity::HostId, status: membership::Status) {
        self.has_membership_changed = true;
        let is_lost = status == membership::Status::Dead;
        if is_lost {
            self.backup_sender.remove_lost_backup(host);
        }
        let text = format!("host {host} is {}", crate::view::status_name(status));
        self.log(action::Level::Info, text);
    }

    /// Invalidates what depends on elapsed time, since a pause of the process may have hidden
    /// changes; it is valid again once confirmed.
    fn on_pause(&mut self, gap_ms: u64) {
        self.counters.add(counter::Counter::Paused);
        self.confirmations = Confirmations::default();
        self.freshness.invalidate(self.now.mono_ms);
        self.backup_store.restart_delays(self.now.mono_ms);
        self.log(action::Level::Warn, format!("this host's process was paused for {gap_ms} ms"));
    }

    /// Returns how this host follows the platform.
    ///
    /// The hosts that rank first in each data centre watch it, unless they are leaving.
    fn replica_role(&self) -> config_replica::Role {
        let own_info = &self.config.info;
        let local_hosts = self
            .membership
            .eligible()
            .filter(|record| record.info.data_centre == own_info.data_centre)
            .map(|record| record.info.id);
        let watchers = rendezvous::top(WATCHER_RANKING_KEY, local_hosts, WATCHERS_PER_DATA_CENTRE);
        if self.lifecycle == Lifecycle::Serving && watchers.contains(&own_info.id) {
            config_replica::Role::Watcher
        } else {
            config_replica::Role::Follower
        }
    }

    fn apply_config_replica(&mut self, effects: Vec<config_replica::Effect>) {
        for effect in effects {
            match effect {
                config_replica::Effect::Send { to, message } => {
                    let message = message::Message::Configuration(message);
                    self.push_action(action::Action::SendPeer { to, message });
                }
                config_replica::Effect::Gossip(message) => {
                    self.send_to_sample(&message::Message::Configuration(message));
                }
                config_replica::Effect::Call(call) => {
                    let id = action::CallId::Configuration;
                    self.push_action(action::Action::CallPlatform { id, call });
                }
                config_replica::Effect::Confirmed { sent_ms } => {
                    self.confirmations.configuration_sent_ms = Some(sent_ms);
                    self.confirm();
                }
                config_replica::Effect::Advanced { revision } => self.on_new_revision(revision),
                config_replica::Effect::Mismatch { revision } => {
                    self.counters.add(counter::Counter::ConfigurationMismatches);
                    let text = format!(
                        "configuration change {revision} does not apply; fetching a full snapshot"
                    );
                    self.log(action::Level::Warn, text);
                }
            }
        }
    }

    fn on_new_revision(&mut self, revision: u64) {
        if revision <= self.catalogue_revision {
            self.report_breach("configuration revision would not increase");
            return;
        }
        match parts::join(self.config_replica.parts()) {
            Ok(document) => {
                self.catalogue = catalogue::Catalogue::new(document);
                self.catalogue_revision = revision;
                self.log(
                    action::Level::Info,
                    format!("configuration revision {revision} is in force"),
                );
            }
            Err(findings) => {
                self.report_breach(&format!(
                    "configuration revision {revision} is invalid: {findings}"
                ));
            }
        }
    }

    fn apply_status_replica(&mut self, effects: Vec<status_replica::Effect>) {
        for effect in effects {
            match effect {
                status_replica::Effect::Send { to, message } => {
                    let message = message::Message::Status(message);
                    self.push_action(action::Action::SendPeer { to, message });
                }
                status_replica::Effect::Gossip(message) => {
                    self.send_to_sample(&message::Message::Status(message));
                }
                status_replica::Effect::Call(call) => {
                    self.push_action(action::Action::CallPlatform {
                        id: action::CallId::Status,
                        call,
                    });
                }
                status_replica::Effect::Changed(objects) => self.on_status_change(&objects),
                status_replica::Effect::Confirmed { sent_ms } => {
                    self.confirmations.status_sent_ms = Some(sent_ms);
                    self.confirm();
                }
            }
        }
    }

    fn on_status_change(&mut self, objects: &[platform::Object]) {
        for object in objects {
            if !object.key.starts_with(SERVERS_PREFIX) {
                continue;
            }
            match serde_json::from_slice::<ServerObject>(&object.value) {
                Ok(server) => self.balancer.put(balance::Server {
                    address: server.address,
                    pool: server.pool,
                    is_draining: server.leaving,
                    loaded: server.loaded,
                }),
                Err(_) => self.remove_server(&object.key),
            }
        }
    }

    /// Removes the server of a deleted status object.
    ///
    /// The value of a deleted object is empty, but its key ends with the server's address.
    fn remove_server(&mut self, key: &str) {
        let address = key.rsplit('/').next().and_then(|text| text.parse().ok());
        if let Some(address) = address {
            self.balancer.remove(address);
        }
    }
}
