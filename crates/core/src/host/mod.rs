//! The state of one host, which combines coordination between hosts with routing policy.

mod addresses;
mod billing;
mod claims;
mod coordination;
mod failures;
mod ledger;
mod routing;
mod traffic;

use std::collections;
use std::net;

use rand::SeedableRng as _;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::outbox;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::membership;
use toucanwall_coordination::status_replica;
use toucanwall_document::name;
use toucanwall_policy::balance;
use toucanwall_policy::cascade;
use toucanwall_policy::limit;
use toucanwall_policy::poison;
use toucanwall_policy::retry;

use crate::action;
use crate::catalogue;
use crate::counter;
use crate::envelope;
use crate::event;
use crate::request;
use crate::view;

/// The configuration of a host's process.
#[derive(Debug, Clone)]
pub struct Config {
    /// The host's identity, location and addresses.
    pub info: identity::HostInfo,
    /// Peer addresses of the hosts through which this host joins the others.
    pub seed_hosts: collections::BTreeSet<net::SocketAddr>,
    /// Number of shards of the ledger; must be the same on all hosts.
    pub ledger_shards: u32,
    /// Keys that sign messages between hosts and session tokens.
    pub keys: envelope::Keys,
    /// Whether a rating service is configured.
    pub has_rating: bool,
    /// Time for which callers may cache the list of addresses, in milliseconds.
    pub address_ttl_ms: u64,
    /// Longest duration of a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
    /// Seed of the random number generators; must itself be random in production.
    pub seed: u64,
}

/// The current time, by the monotonic and the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time in milliseconds.
    pub mono_ms: u64,
    /// Wall-clock time in seconds since the epoch.
    pub wall_s: u64,
}

/// A request in progress.
#[derive(Debug)]
enum InFlight {
    /// It waits for its claim to become durable.
    Claiming(request::Request<request::Claiming>),
    /// It was sent to a backend server, or its buffered answer is being rated.
    Running(request::Request<request::Dispatched>),
    /// Its complete answer waits for the backup's acknowledgement.
    Finishing(request::Request<request::Answered>),
}

/// The phase of the host's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lifecycle {
    Serving,
    /// The host is shutting down.
    Leaving {
        since_ms: u64,
    },
    Stopped,
}

/// An entry host, which receives requests from callers and routes them to backend servers.
#[derive(Debug)]
pub struct Host {
    config: Config,
    now: Now,
    lifecycle: Lifecycle,
    rng: rand_chacha::ChaCha8Rng,
    counters: counter::Counters,

    membership: membership::Membership,
    config_replica: config_replica::ConfigReplica,
    status_replica: status_replica::StatusReplica,
    freshness: freshness::Freshness,
    confirmations: coordination::Confirmations,
    catalogue: catalogue::Catalogue,
    catalogue_revision: u64,

    /// This host's role in each shard of the ledger, as its owner or a candidate.
    shards: Vec<owner::Owner>,
    /// The present owner of each shard, if there is one.
    shard_owners: Vec<Option<identity::HostId>>,
    has_membership_changed: bool,
    outbox: outbox::Outbox,
    /// Sends copies of this host's open requests and bills to its backup.
    backup_sender: backup::BackupSender,
    /// Stores the copies that other hosts send to this one.
    backup_store: backup::BackupStore,
    /// Time from which updates may be sent to the backup again, in milliseconds.
    next_flush_ms: u64,
    /// Number of complete answers that wait for the backup's acknowledgement.
    finishing_count: usize,

    balancer: balance::Balancer,
    cascades: cascade::StageSelector,
    /// Moving average of the time to answer, by model.
    answer_times_ms: collections::BTreeMap<name::Name, u64>,
    limits: limit::RateLimiter,
    retry_budget: retry::RetryBudget,
    poison: poison::PoisonTracker,

    requests: collections::BTreeMap<event::RequestId, InFlight>,
    /// Requests that wait for their claim, by claim number.
    requests_by_claim: collections::BTreeMap<u64, event::RequestId>,
    next_bill_number: u64,
    next_claim_number: u64,

    actions: Vec<action::Action>,
}

impl Host {
    /// Creates a host that has just started.
    #[must_use]
    pub fn new(config: Config, now: Now) -> Self {
        let own_id = config.info.id;
        let seed = config.seed;
        let shards = (0..config.ledger_shards)
            .map(|shard| {
                owner::Owner::new(
                    own_id,
                    shard,
                    config.ledger_shards,
                    seed.rotate_left(shard % 64) ^ own_id.0,
                )
            })
            .collect();
        Self {
            now,
            lifecycle: Lifecycle::Serving,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            counters: counter::Counters::default(),
            membership: membership::Membership::new(
                config.info.clone(),
                config.seed_hosts.clone(),
                seed.wrapping_add(1),
                now.mono_ms,
            ),
            config_replica: config_replica::ConfigReplica::new(now.mono_ms),
            status_replica: status_replica::StatusReplica::new(now.mono_ms),
            freshness: freshness::Freshness::new(),
            confirmations: coordination::Confirmations::default(),
            catalogue: catalogue::Catalogue::default(),
            catalogue_revision: 0,
            shards,
            shard_owners: Vec::new(),
            has_membership_changed: true,
            outbox: outbox::Outbox::new(),
            backup_sender: backup::BackupSender::new(),
            backup_store: backup::BackupStore::new(),
            next_flush_ms: now.mono_ms,
            finishing_count: 0,
            balancer: balance::Balancer::new(),
            cascades: cascade::StageSelector::new(),
            answer_times_ms: collections::BTreeMap::new(),
            limits: limit::RateLimiter::new(),
            retry_budget: retry::RetryBudget::new(),
            poison: poison::PoisonTracker::new(),
            requests: collections::BTreeMap::new(),
            requests_by_claim: collections::BTreeMap::new(),
            next_bill_number: 0,
            next_claim_number: 0,
            actions: Vec::new(),
            config,
        }
    }

    /// Handles an event and returns the actions that it leads to.
    pub fn handle(&mut self, event: event::Event, now: Now) -> Vec<action::Action> {
        self.now = now;
        let effects = self.membership.detect_pause(now.mono_ms);
        self.apply_membership(effects);
        match event {
            event::Event::Request(head) => self.on_request(head),
            event::Event::AttemptEnded { request_id, attempt, end } => {
                self.on_attempt_ended(request_id, attempt, end);
            }
            event::Event::AnswerRated { request_id, attempt, score_percent } => {
                self.on_answer_rated(request_id, attempt, score_percent);
            }
            event::Event::CallerDisconnected { request_id } => self.on_disconnect(request_id),
            event::Event::LoadReported { server, running } => {
                self.balancer.record_load(server, running, now.mono_ms);
            }
            event::Event::Peer { from, sender, message } => self.on_peer(from, sender, message),
            event::Event::PlatformReply { call, reply } => self.on_platform_reply(call, reply),
            event::Event::Tick => self.on_tick(),
            event::Event::Stop => self.on_stop(),
        }
        self.flush_backup_updates();
        std::mem::take(&mut self.actions)
    }

    /// Returns the id of this host.
    #[must_use]
    pub fn id(&self) -> identity::HostId {
        self.config.info.id
    }

    /// Returns the latest revision of the configuration that this host has.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.config_replica.revision()
    }

    /// Returns the configuration document in force on this host.
    #[must_use]
    pub fn catalogue(&self) -> &catalogue::Catalogue {
        &self.catalogue
    }

    /// Returns the counters of this host.
    #[must_use]
    pub fn counters(&self) -> &counter::Counters {
        &self.counters
    }

    /// Returns this host's role in a shard of the ledger.
    #[must_use]
    pub fn shard(&self, shard: u32) -> Option<&owner::Owner> {
        self.shards.get(shard as usize)
    }

    /// Iterates over the requests whose bill is not durable, with the hosts that hold a backup.
    ///
    /// The hosts include those that were lost.
    pub fn backup_holders(
        &self,
    ) -> impl Iterator<Item = (u64, collections::BTreeSet<identity::HostId>)> {
        self.backup_sender.holders()
    }

    /// Returns the state that callers, operators and metrics can see.
    #[must_use]
    pub fn view(&self) -> view::View {
        let refusal = self.unready_reason();
        view::View {
            is_ready: refusal.is_none(),
            readiness: refusal.map_or("ready", crate::refusal::Reason::code),
            revision: self.config_replica.revision(),
            digest: self.config_replica.digest(),
            addresses: self.caller_addresses(),
            members: self.member_views(),
            requests_in_flight: self.requests.len(),
            ledger_pending_bytes: self.outbox.pending_bytes(),
            backups_kept: self.backup_store.len(),
            counters: self.counters.clone(),
        }
    }

    fn push_action(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    fn log(&mut self, level: action::Level, text: String) {
        self.push_action(action::Action::Log(action::LogLine { level, text }));
    }

    /// Counts and logs the violation of an invariant.
    fn report_breach(&mut self, text: &str) {
        self.counters.add(counter::Counter::InvariantBreaches);
        self.log(action::Level::Error, format!("invariant violated: {text}"));
    }
}
