//! Peers, the platform and time.

use std::collections;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::membership;
use toucanwall_coordination::platform;
use toucanwall_coordination::registry;
use toucanwall_coordination::rendezvous;
use toucanwall_coordination::replica;
use toucanwall_document::parts;
use toucanwall_policy::balance;
use toucanwall_policy::poison;

use crate::action;
use crate::catalogue;
use crate::counter;
use crate::message;
use crate::refusal;

use super::Host;
use super::Life;

/// Hosts in each data centre that watch the platform.
const WATCHERS: usize = 2;
/// Key that ranks the watchers.
const WATCH_KEY: u64 = 0x77_61_74_63_68;
/// Prefix of the status objects that list backend servers.
pub const SERVERS_PREFIX: &str = "status/servers/";

/// A backend server as the host list stores it.
#[derive(Debug, Deserialize)]
struct ServerObject {
    address: net::SocketAddr,
    pool: Arc<str>,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    loaded: collections::BTreeSet<Arc<str>>,
}

/// What the platform and peers confirmed lately.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    configuration_ms: Option<u64>,
    status_ms: Option<u64>,
    told: Option<Told>,
}

/// What a peer answered to a ping.
#[derive(Debug, Clone, Copy)]
struct Told {
    position: message::Position,
    sent_ms: u64,
}

impl Host {
    pub(super) fn on_tick(&mut self) {
        let effects = self.membership.tick(self.now.mono_ms);
        self.apply_membership(effects);
        self.update_ownership();
        let heard = self.hosts_heard();
        self.freshness.tick(self.now.mono_ms, heard);
        let duty = self.duty();
        let age_ms = self.freshness.age_ms(self.now.mono_ms);
        let effects = self.replica.tick(duty, age_ms, self.now.mono_ms);
        self.apply_replica(effects);
        let effects = self.registry.tick(duty, age_ms, self.now.mono_ms);
        self.apply_registry(effects);
        self.tick_ledger();
        self.expire_requests();
        self.check_stopped();
    }

    pub(super) fn on_peer(
        &mut self,
        from: net::SocketAddr,
        sender: identity::HostId,
        message: message::Message,
    ) {
        match message {
            message::Message::Gossip { message, position } => {
                self.on_gossip(from, message, position);
            }
            message::Message::Replica(message) => {
                self.on_replica(from, message);
                self.take_told();
            }
            message::Message::Registry(message) => {
                let effects = self.registry.receive(from, message);
                self.apply_registry(effects);
                self.take_told();
            }
            message::Message::Ledger(message) => self.on_ledger(from, sender, message),
            message::Message::Implicated { content, server } => {
                self.implicate(content, server);
            }
        }
    }

    pub(super) fn on_platform(&mut self, call: action::CallId, reply: platform::Reply) {
        match call {
            action::CallId::Configuration => {
                let effects = self.replica.reply(reply, self.now.mono_ms);
                self.apply_replica(effects);
            }
            action::CallId::Status => {
                let effects = self.registry.reply(reply, self.now.mono_ms);
                self.apply_registry(effects);
            }
            action::CallId::Shard(shard) => self.on_shard_reply(shard, &reply),
        }
    }

    /// Why the host takes no requests, if it does not.
    pub(super) fn unready_reason(&self) -> Option<refusal::Reason> {
        if self.refuses_as_stopping() {
            return Some(refusal::Reason::Stopping);
        }
        if !self.replica.is_ready() || self.catalogue_revision == 0 {
            return Some(refusal::Reason::NotReady);
        }
        match self.standing() {
            freshness::Standing::CutOff => Some(refusal::Reason::CutOff),
            freshness::Standing::Fresh | freshness::Standing::Unconfirmed => None,
        }
    }

    /// Records that a content was in flight on a lost server and tells others, once.
    pub(super) fn implicate(&mut self, content: u64, server: net::SocketAddr) {
        if self.poison.crashed_servers(content).contains(&server) {
            return;
        }
        let standing = self.poison.record_crash(content, server, self.now.mono_ms);
        if standing == poison::Status::Blocked {
            self.counters.add(counter::Counter::PoisonConvicted);
            let text = format!("content {content:016x} is refused: it took servers down");
            self.log(action::Level::Warn, text);
        }
        self.spread(&message::Message::Implicated { content, server });
    }

    pub(super) fn spread(&mut self, message: &message::Message) {
        for to in self.membership.sample(replica::FANOUT) {
            self.act(action::Action::SendPeer { to, message: message.clone() });
        }
    }

    pub(super) fn hosts_heard(&self) -> usize {
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
                    self.act(action::Action::Reconnect { address });
                }
                membership::Effect::Changed { host, status } => self.on_member(host, status),
                // Taken where the message comes in, together with the sender's position.
                membership::Effect::Acked { .. } => {}
                membership::Effect::Paused { gap_ms } => self.on_paused(gap_ms),
            }
        }
    }

    fn standing(&self) -> freshness::Standing {
        self.freshness.standing(self.now.mono_ms, self.hosts_heard())
    }

    fn on_gossip(
        &mut self,
        from: net::SocketAddr,
        message: membership::Message,
        position: message::Position,
    ) {
        let effects = self.membership.receive(from, message, self.now.mono_ms);
        let acked_ms = effects.iter().find_map(|effect| match effect {
            membership::Effect::Acked { sent_ms } => Some(*sent_ms),
            _ => None,
        });
        self.apply_membership(effects);
        if let Some(sent_ms) = acked_ms {
            self.confirmations.told = Some(Told { position, sent_ms });
            self.freshness.contact(sent_ms);
            self.take_told();
        }
        let effects = self.replica.hear_revision(from, position.revision);
        self.apply_replica(effects);
        let effects = self.registry.hear_position(from, position.status, self.now.mono_ms);
        self.apply_registry(effects);
    }

    /// The platform's own word counts from the older of its two replies on.
    fn confirm(&mut self) {
        let Confirmations { configuration_ms, status_ms, .. } = self.confirmations;
        if let (Some(configuration_ms), Some(status_ms)) = (configuration_ms, status_ms) {
            let heard = self.hosts_heard();
            let asked_ms = configuration_ms.min(status_ms);
            self.freshness.confirm(asked_ms, heard);
        }
    }

    /// A peer's confirmation counts once this host has what the peer had.
    fn take_told(&mut self) {
        let Some(told) = self.confirmations.told else {
            return;
        };
        let has_revision = self.replica.revision() >= told.position.revision;
        let has_status = self.registry.position().version >= told.position.status.version;
        if has_revision && has_status {
            self.confirmations.told = None;
            if let Some(confirmation) = told.position.confirmation {
                self.freshness.catch_up(confirmation, told.sent_ms);
            }
        }
    }

    fn on_replica(&mut self, from: net::SocketAddr, message: replica::Message) {
        let others = self.hosts_heard().saturating_sub(1);
        let effects = self.replica.receive(from, message, others);
        self.apply_replica(effects);
    }

    fn send_gossip(&mut self, to: net::SocketAddr, message: membership::Message) {
        let heard = self.hosts_heard();
        let position = message::Position {
            revision: self.replica.revision(),
            confirmation: self.freshness.confirmation(self.now.mono_ms, heard),
            status: self.registry.position(),
        };
        let message = message::Message::Gossip { message, position };
        self.act(action::Action::SendPeer { to, message });
    }

    fn on_member(&mut self, host: identity::HostId, status: membership::Status) {
        self.is_membership_changed = true;
        let is_lost = status == membership::Status::Dead;
        if is_lost {
            self.notes.lose(host);
        }
        let text = format!("host {host} is {}", crate::view::status_name(status));
        self.log(action::Level::Info, text);
    }

    /// After a pause nothing that rested on time holds until it is confirmed again.
    fn on_paused(&mut self, gap_ms: u64) {
        self.counters.add(counter::Counter::Paused);
        self.confirmations = Confirmations::default();
        self.freshness.lapse(self.now.mono_ms);
        self.vault.restart_delays(self.now.mono_ms);
        self.log(action::Level::Warn, format!("this host was paused for {gap_ms} ms"));
    }

    /// The hosts that rank first in each data centre watch; a leaving host no longer does.
    fn duty(&self) -> replica::Duty {
        let me = &self.config.info;
        let here = self
            .membership
            .eligible()
            .filter(|record| record.info.data_centre == me.data_centre)
            .map(|record| record.info.id);
        let watchers = rendezvous::top(WATCH_KEY, here, WATCHERS);
        if self.life == Life::Serving && watchers.contains(&me.id) {
            replica::Duty::Watch
        } else {
            replica::Duty::Listen
        }
    }

    fn apply_replica(&mut self, effects: Vec<replica::Effect>) {
        for effect in effects {
            match effect {
                replica::Effect::Send { to, message } => {
                    let message = message::Message::Replica(message);
                    self.act(action::Action::SendPeer { to, message });
                }
                replica::Effect::Spread(message) => {
                    self.spread(&message::Message::Replica(message));
                }
                replica::Effect::Call(call) => {
                    let id = action::CallId::Configuration;
                    self.act(action::Action::CallPlatform { id, call });
                }
                replica::Effect::Confirmed { asked_ms } => {
                    self.confirmations.configuration_ms = Some(asked_ms);
                    self.confirm();
                }
                replica::Effect::Advanced { revision } => self.on_revision(revision),
                replica::Effect::Mismatch { revision } => {
                    self.counters.add(counter::Counter::ConfigurationMismatches);
                    let text = format!("change {revision} does not fit; fetching the whole value");
                    self.log(action::Level::Warn, text);
                }
            }
        }
    }

    fn on_revision(&mut self, revision: u64) {
        if revision <= self.catalogue_revision {
            self.breach("the configuration would revert");
            return;
        }
        match parts::join(self.replica.parts()) {
            Ok(document) => {
                self.catalogue = catalogue::Catalogue::new(document);
                self.catalogue_revision = revision;
                self.log(action::Level::Info, format!("revision {revision} is in force"));
            }
            Err(findings) => {
                self.breach(&format!("revision {revision} has findings: {findings}"));
            }
        }
    }

    fn apply_registry(&mut self, effects: Vec<registry::Effect>) {
        for effect in effects {
            match effect {
                registry::Effect::Send { to, message } => {
                    let message = message::Message::Registry(message);
                    self.act(action::Action::SendPeer { to, message });
                }
                registry::Effect::Spread(message) => {
                    self.spread(&message::Message::Registry(message));
                }
                registry::Effect::Call(call) => {
                    self.act(action::Action::CallPlatform { id: action::CallId::Status, call });
                }
                registry::Effect::Changed(objects) => self.on_status(&objects),
                registry::Effect::Confirmed { asked_ms } => {
                    self.confirmations.status_ms = Some(asked_ms);
                    self.confirm();
                }
            }
        }
    }

    fn on_status(&mut self, objects: &[platform::Object]) {
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
                Err(_) => self.forget_server(&object.key),
            }
        }
    }

    /// A deleted server's object is empty; its key ends with its address.
    fn forget_server(&mut self, key: &str) {
        let address = key.rsplit('/').next().and_then(|text| text.parse().ok());
        if let Some(address) = address {
            self.balancer.remove(address);
        }
    }
}
