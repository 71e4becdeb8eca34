//! Planning of requests and choice of the backend server for each attempt.

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

/// Expected time to answer for a model that has not answered yet, in milliseconds.
const DEFAULT_ANSWER_TIME_MS: u64 = 500;

/// The backend server of an attempt and how the server is used.
#[derive(Debug)]
pub(super) struct Route {
    pub server: net::SocketAddr,
    pub item: Arc<str>,
    pub progress_timeout_ms: u64,
    pub is_buffered: bool,
    pub session_token: Option<Arc<str>>,
}

/// What an attempt requires of a backend server.
struct Requirement {
    pool: name::Name,
    item: Arc<str>,
    must_be_loaded: bool,
}

impl Host {
    /// Resolves what a request asks for and checks that the caller's organisation may use it.
    pub(super) fn plan(
        &mut self,
        head: &event::RequestHead,
    ) -> Result<request::Plan, refusal::Reason> {
        let caller = self.catalogue.organisation(&head.key_sha256);
        let (organisation_name, organisation) = caller.ok_or(refusal::Reason::Unauthorised)?;
        let organisation_name = organisation_name.clone();
        let mut target =
            resolve(self.catalogue.document(), &organisation_name, organisation, head)?;
        let session = self.resolve_session(head, &organisation_name)?;
        let deadline_ms = self.now.mono_ms.saturating_add(head.timeout_ms);
        self.choose_first_stage(&mut target, head.timeout_ms);
        Ok(request::Plan {
            organisation: organisation_name,
            has_session: matches!(target, request::ResolvedTarget::Model { .. }),
            target,
            session_hash: session.session_hash,
            pins: session.pins,
            deadline_ms,
            excluded: collections::BTreeSet::new(),
            delivered_events: head.resume_from,
            attempts: 0,
        })
    }

    /// Chooses the backend server of the next attempt by the configuration now in force.
    pub(super) fn route(
        &mut self,
        head: &event::RequestHead,
        plan: &mut request::Plan,
    ) -> Result<Route, refusal::Reason> {
        let requirement = self.requirement(plan)?;
        let pool = self
            .catalogue
            .document()
            .pools
            .get(&requirement.pool)
            .ok_or(refusal::Reason::NoServer)?;
        let (progress_timeout_ms, slots) = (pool.progress_ms, pool.server_slots);
        self.check_poison(head.content_digest)?;
        let wanted = balance::Request {
            pool: requirement.pool.as_str(),
            item: requirement.must_be_loaded.then_some(&*requirement.item),
            prefix_hash: head.prefix_hash,
            slots,
            excluded: &plan.excluded,
        };
        let choice = self.balancer.choose(wanted, self.now.mono_ms, &mut self.rng);
        let server = match choice {
            balance::Choice::Server(server) => server,
            balance::Choice::Full => {
                self.poison.record_end(head.content_digest);
                return Err(refusal::Reason::AllServersFull);
            }
            balance::Choice::NoServer => {
                self.poison.record_end(head.content_digest);
                return Err(refusal::Reason::NoServer);
            }
        };
        let session_token = plan.has_session.then(|| self.session_token(plan));
        let is_buffered = is_buffered(&plan.target);
        Ok(Route {
            server,
            item: requirement.item,
            progress_timeout_ms,
            is_buffered,
            session_token,
        })
    }

    /// Updates the moving average of a model's time to answer.
    pub(super) fn record_answer_time(&mut self, model: &name::Name, elapsed_ms: u64) {
        let average_ms = self.answer_times_ms.entry(model.clone()).or_insert(elapsed_ms);
        *average_ms = (*average_ms * 7 + elapsed_ms) / 8;
    }

    fn requirement(&self, plan: &mut request::Plan) -> Result<Requirement, refusal::Reason> {
        match &plan.target {
            request::ResolvedTarget::Model { stages, stage, .. } => {
                let model = stages.get(*stage).ok_or(refusal::Reason::NotAllowed)?.clone();
                self.model_requirement(plan, &model)
            }
            request::ResolvedTarget::Service { name, .. } => self.service_requirement(plan, name),
        }
    }

    fn model_requirement(
        &self,
        plan: &mut request::Plan,
        model: &name::Name,
    ) -> Result<Requirement, refusal::Reason> {
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
        Ok(Requirement { pool: entry.pool.clone(), item, must_be_loaded: true })
    }

    fn service_requirement(
        &self,
        plan: &request::Plan,
        name: &name::Name,
    ) -> Result<Requirement, refusal::Reason> {
        let document = self.catalogue.document();
        let is_allowed = document
            .organisations
            .get(&plan.organisation)
            .is_some_and(|organisation| organisation.services.contains(name));
        let service = document.services.get(name).filter(|_| is_allowed);
        let service = service.ok_or(refusal::Reason::NotAllowed)?;
        let item = Arc::from(name.as_str());
        Ok(Requirement { pool: service.pool.clone(), item, must_be_loaded: false })
    }

    fn check_poison(&mut self, content_digest: u64) -> Result<(), refusal::Reason> {
        match self.poison.status(content_digest, self.now.mono_ms) {
            poison::Status::Clear => Ok(()),
            poison::Status::Suspect if self.poison.try_start(content_digest) => Ok(()),
            poison::Status::Suspect => Err(refusal::Reason::Suspect),
            poison::Status::Blocked => Err(refusal::Reason::Poison),
        }
    }

    fn session_token(&self, plan: &request::Plan) -> Arc<str> {
        let token = session::Token {
            organisation: plan.organisation.clone(),
            session_hash: plan.session_hash,
            pins: plan.pins.clone(),
        };
        token.sign(&self.config.keys)
    }

    /// Returns the state of the request's session; a request without one starts a new session.
    fn resolve_session(
        &mut self,
        head: &event::RequestHead,
        organisation: &name::Name,
    ) -> Result<session::Token, refusal::Reason> {
        let session_hash = match &head.session {
            event::SessionRef::Token(text) => {
                let token = session::Token::verify(&self.config.keys, text)
                    .map_err(|_ignored| refusal::Reason::BadSession)?;
                if token.organisation != *organisation {
                    return Err(refusal::Reason::BadSession);
                }
                return Ok(token);
            }
            event::SessionRef::Named(name) => named_session_hash(organisation, name),
            event::SessionRef::None => self.rng.random(),
        };
        let pins = collections::BTreeMap::new();
        Ok(session::Token { organisation: organisation.clone(), session_hash, pins })
    }

    /// Chooses the stage of a cascade to start with.
    ///
    /// Without a rating service no answer of an earlier stage can be shown to meet the quality
    /// target, so the last stage is chosen.
    fn choose_first_stage(&mut self, target: &mut request::ResolvedTarget, remaining_ms: u64) {
        let request::ResolvedTarget::Model { stages, stage, kind: Some(kind), .. } = target else {
            return;
        };
        if !self.config.has_rating {
            *stage = stages.len().saturating_sub(1);
            return;
        }
        let document = self.catalogue.document();
        let stage_infos: Vec<cascade::StageInfo> = stages
            .iter()
            .map(|model| cascade::StageInfo {
                cost_microcents_per_kilotoken: document
                    .models
                    .get(model)
                    .map_or(0, |entry| entry.cost_microcents_per_kilotoken),
                answer_ms: self
                    .answer_times_ms
                    .get(model)
                    .copied()
                    .unwrap_or(DEFAULT_ANSWER_TIME_MS),
            })
            .collect();
        *stage = self.cascades.select_start(kind, &stage_infos, remaining_ms);
    }
}

/// Returns whether an answer is buffered to be rated, as for all but the last stage of a cascade.
fn is_buffered(target: &request::ResolvedTarget) -> bool {
    match target {
        request::ResolvedTarget::Model { stages, stage, kind, .. } => {
            kind.is_some() && stage + 1 < stages.len()
        }
        request::ResolvedTarget::Service { .. } => false,
    }
}

fn resolve(
    document: &document::Document,
    organisation_name: &name::Name,
    organisation: &document::Organisation,
    head: &event::RequestHead,
) -> Result<request::ResolvedTarget, refusal::Reason> {
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
) -> Result<request::ResolvedTarget, refusal::Reason> {
    if let Some(model) = organisation.models.get(target) {
        return Ok(request::ResolvedTarget::Model {
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
    Ok(request::ResolvedTarget::Model {
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
) -> Result<request::ResolvedTarget, refusal::Reason> {
    let name = organisation.services.get(target).ok_or(refusal::Reason::NotAllowed)?;
    let service = document.services.get(name).ok_or(refusal::Reason::NotAllowed)?;
    let is_idempotent = !service.is_non_idempotent(call);
    Ok(request::ResolvedTarget::Service { name: name.clone(), is_idempotent })
}

fn named_session_hash(organisation: &name::Name, session: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(organisation.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(session.as_bytes(), seed)
}
