//! From a request to a plan, and from a plan to a server.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_document::document;
use toucanwall_document::name;
use toucanwall_policy::balance;
use toucanwall_policy::cascade;
use toucanwall_policy::eligibility;
use toucanwall_policy::poison;
use toucanwall_policy::version_choice;

use crate::event;
use crate::refusal;
use crate::request;
use crate::session;

use super::Host;

/// Expected time of an answer before any was seen, in milliseconds.
const ANSWER_DEFAULT_MS: u64 = 500;

/// Where an attempt goes.
#[derive(Debug)]
pub(super) struct Route {
    pub server: net::SocketAddr,
    pub item: Arc<str>,
    pub progress_ms: u64,
    pub is_held: bool,
    pub session_token: Option<Arc<str>>,
}

/// What an attempt needs from a pool.
struct Need {
    pool: name::Name,
    item: Arc<str>,
    needs_loaded: bool,
}

impl Host {
    /// Resolves what a request asks for, for the organisation that sent it.
    pub(super) fn plan(&mut self, head: &event::Head) -> Result<request::Plan, refusal::Reason> {
        let found = self.catalogue.organisation(&head.key_sha256);
        let (organisation_name, organisation) = found.ok_or(refusal::Reason::Unauthorised)?;
        let organisation_name = organisation_name.clone();
        let mut work = resolve(self.catalogue.document(), &organisation_name, organisation, head)?;
        let pinned = self.session_of(head, &organisation_name)?;
        let deadline_ms = self.now.mono_ms.saturating_add(head.deadline_ms);
        self.choose_start(&mut work, head.deadline_ms);
        Ok(request::Plan {
            organisation: organisation_name,
            has_session: matches!(work, request::Work::Model { .. }),
            work,
            session_hash: pinned.session_hash,
            pins: pinned.pins,
            deadline_ms,
            excluded: collections::BTreeSet::new(),
            delivered_events: head.resume_from,
            attempts: 0,
        })
    }

    /// Chooses where the next attempt goes; judged by the revision in force now.
    pub(super) fn route(
        &mut self,
        head: &event::Head,
        plan: &mut request::Plan,
    ) -> Result<Route, refusal::Reason> {
        let need = self.need(plan)?;
        let pool =
            self.catalogue.document().pools.get(&need.pool).ok_or(refusal::Reason::NoServer)?;
        let (progress_ms, slots) = (pool.progress_ms, pool.server_slots);
        self.check_poison(head.content)?;
        let wanted = balance::Request {
            pool: need.pool.as_str(),
            item: need.needs_loaded.then_some(&*need.item),
            prefix_hash: head.prefix,
            slots,
            excluded: &plan.excluded,
        };
        let choice = self.balancer.choose(wanted, self.now.mono_ms, &mut self.rng);
        let server = match choice {
            balance::Choice::Server(server) => server,
            balance::Choice::Full => {
                self.poison.record_end(head.content);
                return Err(refusal::Reason::Full);
            }
            balance::Choice::NoServer => {
                self.poison.record_end(head.content);
                return Err(refusal::Reason::NoServer);
            }
        };
        let session_token = plan.has_session.then(|| self.token(plan));
        let is_held = is_held(&plan.work);
        Ok(Route { server, item: need.item, progress_ms, is_held, session_token })
    }

    /// Notes how long an answer of a model took.
    pub(super) fn learn_answer_time(&mut self, model: &name::Name, took_ms: u64) {
        let known = self.answer_ms.entry(model.clone()).or_insert(took_ms);
        *known = (*known * 7 + took_ms) / 8;
    }

    fn need(&self, plan: &mut request::Plan) -> Result<Need, refusal::Reason> {
        match &plan.work {
            request::Work::Model { stages, stage, .. } => {
                let model = stages.get(*stage).ok_or(refusal::Reason::NotAllowed)?.clone();
                self.need_of_model(plan, &model)
            }
            request::Work::Service { name, .. } => self.need_of_service(plan, name),
        }
    }

    fn need_of_model(
        &self,
        plan: &mut request::Plan,
        model: &name::Name,
    ) -> Result<Need, refusal::Reason> {
        let document = self.catalogue.document();
        let entry = document.models.get(model).ok_or(refusal::Reason::NotAllowed)?;
        let organisation =
            document.organisations.get(&plan.organisation).ok_or(refusal::Reason::Unauthorised)?;
        let pinned = plan.pins.get(model);
        let version = pinned
            .or_else(|| version_choice::select(model, entry, organisation, plan.session_hash))
            .ok_or(refusal::Reason::NotAllowed)?
            .clone();
        match eligibility::check(document, &plan.organisation, model, &version) {
            eligibility::Eligibility::Allowed => {}
            eligibility::Eligibility::Withdrawn | eligibility::Eligibility::UnknownVersion => {
                return Err(refusal::Reason::SessionWithdrawn);
            }
            eligibility::Eligibility::UnknownOrganisation => {
                return Err(refusal::Reason::Unauthorised);
            }
            eligibility::Eligibility::NotAllowed => return Err(refusal::Reason::NotAllowed),
        }
        let item = Arc::from(format!("{model}@{version}"));
        plan.pins.insert(model.clone(), version);
        Ok(Need { pool: entry.pool.clone(), item, needs_loaded: true })
    }

    fn need_of_service(
        &self,
        plan: &request::Plan,
        name: &name::Name,
    ) -> Result<Need, refusal::Reason> {
        let document = self.catalogue.document();
        let is_allowed = document
            .organisations
            .get(&plan.organisation)
            .is_some_and(|organisation| organisation.services.contains(name));
        let service = document.services.get(name).filter(|_| is_allowed);
        let service = service.ok_or(refusal::Reason::NotAllowed)?;
        let item = Arc::from(name.as_str());
        Ok(Need { pool: service.pool.clone(), item, needs_loaded: false })
    }

    fn check_poison(&mut self, content: u64) -> Result<(), refusal::Reason> {
        match self.poison.status(content, self.now.mono_ms) {
            poison::Status::Clear => Ok(()),
            poison::Status::Suspect if self.poison.try_start(content) => Ok(()),
            poison::Status::Suspect => Err(refusal::Reason::Suspect),
            poison::Status::Blocked => Err(refusal::Reason::Poison),
        }
    }

    fn token(&self, plan: &request::Plan) -> Arc<str> {
        let token = session::Token {
            organisation: plan.organisation.clone(),
            session_hash: plan.session_hash,
            pins: plan.pins.clone(),
        };
        token.seal(&self.config.keys)
    }

    /// What the request's session is held to; a request without one gets a new session.
    fn session_of(
        &mut self,
        head: &event::Head,
        organisation: &name::Name,
    ) -> Result<session::Token, refusal::Reason> {
        let session_hash = match &head.session {
            event::Session::Token(text) => {
                let token = session::Token::open(&self.config.keys, text)
                    .map_err(|_ignored| refusal::Reason::BadSession)?;
                if token.organisation != *organisation {
                    return Err(refusal::Reason::BadSession);
                }
                return Ok(token);
            }
            event::Session::Named(name) => named_session_hash(organisation, name),
            event::Session::None => self.rng.random(),
        };
        let pins = collections::BTreeMap::new();
        Ok(session::Token { organisation: organisation.clone(), session_hash, pins })
    }

    /// Chooses the stage to start at; without ratings only the strongest meets the target.
    fn choose_start(&mut self, work: &mut request::Work, left_ms: u64) {
        let request::Work::Model { stages, stage, kind: Some(kind), .. } = work else {
            return;
        };
        if !self.config.has_rating {
            *stage = stages.len().saturating_sub(1);
            return;
        }
        let document = self.catalogue.document();
        let infos: Vec<cascade::StageInfo> = stages
            .iter()
            .map(|model| cascade::StageInfo {
                cost_microcents_per_kilotoken: document
                    .models
                    .get(model)
                    .map_or(0, |entry| entry.cost_microcents_per_kilotoken),
                answer_ms: self.answer_ms.get(model).copied().unwrap_or(ANSWER_DEFAULT_MS),
            })
            .collect();
        *stage = self.cascades.select_start(kind, &infos, left_ms);
    }
}

/// Whether an answer is held to be rated: only the last stage streams.
fn is_held(work: &request::Work) -> bool {
    match work {
        request::Work::Model { stages, stage, kind, .. } => {
            kind.is_some() && stage + 1 < stages.len()
        }
        request::Work::Service { .. } => false,
    }
}

fn resolve(
    document: &document::Document,
    organisation_name: &name::Name,
    organisation: &document::Organisation,
    head: &event::Head,
) -> Result<request::Work, refusal::Reason> {
    match &head.target {
        event::Target::Model(name) => {
            resolve_model(document, organisation_name, organisation, name, &head.class)
        }
        event::Target::Service { name, call } => {
            resolve_service(document, organisation, name, call)
        }
    }
}

fn resolve_model(
    document: &document::Document,
    organisation_name: &name::Name,
    organisation: &document::Organisation,
    target: &str,
    class: &Arc<str>,
) -> Result<request::Work, refusal::Reason> {
    if let Some(model) = organisation.models.get(target) {
        return Ok(request::Work::Model {
            stages: vec![model.clone()],
            stage: 0,
            quality_target_percent: 0,
            kind: None,
        });
    }
    let name = organisation.cascades.get(target).ok_or(refusal::Reason::NotAllowed)?;
    let cascade = document.cascades.get(name).ok_or(refusal::Reason::NotAllowed)?;
    let stages = cascade::usable_stages(document, organisation, cascade);
    if stages.is_empty() {
        return Err(refusal::Reason::NotAllowed);
    }
    Ok(request::Work::Model {
        stages,
        stage: 0,
        quality_target_percent: cascade.quality_target_percent,
        kind: Some(cascade::RequestKind {
            organisation: organisation_name.clone(),
            cascade: name.clone(),
            class: Arc::clone(class),
        }),
    })
}

fn resolve_service(
    document: &document::Document,
    organisation: &document::Organisation,
    target: &str,
    call: &str,
) -> Result<request::Work, refusal::Reason> {
    let name = organisation.services.get(target).ok_or(refusal::Reason::NotAllowed)?;
    let service = document.services.get(name).ok_or(refusal::Reason::NotAllowed)?;
    let is_idempotent = !service.is_non_idempotent(call);
    Ok(request::Work::Service { name: name.clone(), is_idempotent })
}

fn named_session_hash(organisation: &name::Name, session: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(organisation.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(session.as_bytes(), seed)
}
