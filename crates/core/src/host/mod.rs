//! The aggregate that joins coordination and policy for one host.

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
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::journal;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::membership;
use toucanwall_coordination::registry;
use toucanwall_coordination::replica;
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

/// What a host is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Who it is.
    pub info: identity::HostInfo,
    /// Hosts to start from.
    pub seeds: collections::BTreeSet<net::SocketAddr>,
    /// Shards of the ledger; the same on all hosts.
    pub ledger_shards: u32,
    /// Keys between hosts and for session tokens.
    pub keys: envelope::Keys,
    /// Whether there is a rating service.
    pub has_rating: bool,
    /// How long callers may keep an address answer, in milliseconds.
    pub address_ttl_ms: u64,
    /// How long a graceful shutdown may last, in milliseconds.
    pub shutdown_ms: u64,
    /// Seed of the host's choices; must be random in production.
    pub seed: u64,
}

/// The time, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time in milliseconds.
    pub mono_ms: u64,
    /// Wall-clock time in seconds since the epoch.
    pub wall_s: u64,
}

/// A request that is under way.
#[derive(Debug)]
enum Live {
    Claiming(request::Request<request::Claiming>),
    Running(request::Request<request::Dispatched>),
    Finishing(request::Request<request::Answered>),
}

/// Where the host is in its own life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Serving,
    Leaving { since_ms: u64 },
    Stopped,
}

/// One entry host.
#[derive(Debug)]
pub struct Host {
    config: Config,
    now: Now,
    life: Life,
    rng: rand_chacha::ChaCha8Rng,
    counters: counter::Counters,

    membership: membership::Membership,
    replica: replica::Replica,
    registry: registry::Registry,
    freshness: freshness::Freshness,
    confirmations: coordination::Confirmations,
    catalogue: catalogue::Catalogue,
    catalogue_revision: u64,

    owners: Vec<owner::Owner>,
    shard_owners: Vec<Option<identity::HostId>>,
    is_membership_changed: bool,
    journal: journal::Journal,
    notes: backup::Notes,
    vault: backup::Vault,
    next_flush_ms: u64,
    /// Answers that wait for the backup's word.
    finishing: usize,

    balancer: balance::Balancer,
    cascades: cascade::StageSelector,
    answer_ms: collections::BTreeMap<name::Name, u64>,
    limits: limit::RateLimiter,
    retries: retry::RetryBudget,
    poison: poison::PoisonTracker,

    requests: collections::BTreeMap<event::Ticket, Live>,
    claims: collections::BTreeMap<u64, event::Ticket>,
    next_request: u64,
    next_claim: u64,

    actions: Vec<action::Action>,
}

impl Host {
    /// A host that has just started.
    #[must_use]
    pub fn new(config: Config, now: Now) -> Self {
        let me = config.info.id;
        let seed = config.seed;
        let owners = (0..config.ledger_shards)
            .map(|shard| {
                owner::Owner::new(
                    me,
                    shard,
                    config.ledger_shards,
                    seed.rotate_left(shard % 64) ^ me.0,
                )
            })
            .collect();
        Self {
            now,
            life: Life::Serving,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            counters: counter::Counters::default(),
            membership: membership::Membership::new(
                config.info.clone(),
                config.seeds.clone(),
                seed.wrapping_add(1),
                now.mono_ms,
            ),
            replica: replica::Replica::new(now.mono_ms),
            registry: registry::Registry::new(now.mono_ms),
            freshness: freshness::Freshness::new(),
            confirmations: coordination::Confirmations::default(),
            catalogue: catalogue::Catalogue::default(),
            catalogue_revision: 0,
            owners,
            shard_owners: Vec::new(),
            is_membership_changed: true,
            journal: journal::Journal::new(),
            notes: backup::Notes::new(),
            vault: backup::Vault::new(),
            next_flush_ms: now.mono_ms,
            finishing: 0,
            balancer: balance::Balancer::new(),
            cascades: cascade::StageSelector::new(),
            answer_ms: collections::BTreeMap::new(),
            limits: limit::RateLimiter::new(),
            retries: retry::RetryBudget::new(),
            poison: poison::PoisonTracker::new(),
            requests: collections::BTreeMap::new(),
            claims: collections::BTreeMap::new(),
            next_request: 0,
            next_claim: 0,
            actions: Vec::new(),
            config,
        }
    }

    /// Takes an event; returns what is to be done about it.
    pub fn handle(&mut self, event: event::Event, now: Now) -> Vec<action::Action> {
        self.now = now;
        let effects = self.membership.notice_pause(now.mono_ms);
        self.apply_membership(effects);
        match event {
            event::Event::Request(head) => self.on_request(head),
            event::Event::AttemptEnded { ticket, attempt, end } => {
                self.on_attempt_ended(ticket, attempt, end);
            }
            event::Event::Rated { ticket, attempt, score_percent } => {
                self.on_rated(ticket, attempt, score_percent);
            }
            event::Event::CallerLeft { ticket } => self.on_caller_left(ticket),
            event::Event::LoadReported { server, running } => {
                self.balancer.record_load(server, running, now.mono_ms);
            }
            event::Event::Peer { from, sender, message } => self.on_peer(from, sender, message),
            event::Event::Platform { call, reply } => self.on_platform(call, reply),
            event::Event::Tick => self.on_tick(),
            event::Event::Stop => self.on_stop(),
        }
        self.flush_notes();
        std::mem::take(&mut self.actions)
    }

    /// Who this host is.
    #[must_use]
    pub fn id(&self) -> identity::HostId {
        self.config.info.id
    }

    /// Revision of the configuration in force here.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.replica.revision()
    }

    /// The document in force here.
    #[must_use]
    pub fn catalogue(&self) -> &catalogue::Catalogue {
        &self.catalogue
    }

    /// Counts of what the host did.
    #[must_use]
    pub fn counters(&self) -> &counter::Counters {
        &self.counters
    }

    /// The host's part in a shard of the ledger.
    #[must_use]
    pub fn shard(&self, shard: u32) -> Option<&owner::Owner> {
        self.owners.get(shard as usize)
    }

    /// The hosts that hold a copy of each request whose bill is not durable, lost ones too.
    pub fn keepers(&self) -> impl Iterator<Item = (u64, collections::BTreeSet<identity::HostId>)> {
        self.notes.keepers()
    }

    /// A picture of the host.
    #[must_use]
    pub fn view(&self) -> view::View {
        let refusal = self.unready_reason();
        view::View {
            is_ready: refusal.is_none(),
            readiness: refusal.map_or("ready", crate::refusal::Reason::code),
            revision: self.replica.revision(),
            digest: self.replica.digest(),
            addresses: self.caller_addresses(),
            members: self.member_views(),
            requests_in_flight: self.requests.len(),
            ledger_pending_bytes: self.journal.pending_bytes(),
            backups_kept: self.vault.len(),
            counters: self.counters.clone(),
        }
    }

    fn act(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    fn log(&mut self, level: action::Level, text: String) {
        self.act(action::Action::Log(action::LogLine { level, text }));
    }

    /// Counts a step that was refused because it would break an invariant.
    fn breach(&mut self, text: &str) {
        self.counters.add(counter::Counter::InvariantBreaches);
        self.log(action::Level::Error, format!("invariant: {text}"));
    }
}
