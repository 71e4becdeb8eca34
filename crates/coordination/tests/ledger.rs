//! Tests of the ledger, including a comparison with a naive model.

use std::collections;
use std::sync::Arc;

use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::test_runner;
use rstest::rstest;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::message;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::ledger::state;
use toucanwall_coordination::platform;

/// A reference model with one conditionally created object for each claim and each bill.
#[derive(Debug, Default)]
struct NaiveLedger {
    claims: collections::BTreeMap<entry::ClaimKey, entry::ClaimId>,
    released: collections::BTreeSet<entry::ClaimId>,
    settled: collections::BTreeSet<entry::ClaimKey>,
    bills: collections::BTreeMap<entry::BillId, u64>,
}

impl NaiveLedger {
    /// Applies an entry; returns whether its claim is granted or its bill is new.
    fn apply(&mut self, entry: &entry::Entry) -> bool {
        match entry {
            entry::Entry::Claim { key, claim, .. } => {
                if self.released.contains(claim) {
                    return false;
                }
                *self.claims.entry(*key).or_insert(*claim) == *claim && !self.settled.contains(key)
            }
            entry::Entry::Release { key, claim } => {
                self.released.insert(*claim);
                if self.claims.get(key) == Some(claim) && !self.settled.contains(key) {
                    self.claims.remove(key);
                }
                false
            }
            entry::Entry::Settle { key, claim, .. } => {
                if self.claims.get(key) == Some(claim) {
                    self.settled.insert(*key);
                }
                false
            }
            entry::Entry::Bill(bill) => {
                let is_new = !self.bills.contains_key(&bill.id);
                self.bills.entry(bill.id).or_insert(bill.cost_microcents);
                is_new
            }
        }
    }
}

fn entries() -> impl Strategy<Value = Vec<entry::Entry>> {
    let entry = (0..4_u8, 0..3_u64, 0..2_u64, 0..4_u64, 1..100_u64).prop_map(
        |(kind, key, host, number, cost)| {
            let host = identity::HostId(host);
            // A claim id is only ever used for one key.
            let claim = entry::ClaimId { host, number: number * 10 + key };
            let key = entry::ClaimKey(u128::from(key));
            match kind {
                0 => entry::Entry::Claim { key, claim, content_digest: 1 },
                1 => entry::Entry::Release { key, claim },
                2 => entry::Entry::Settle { key, claim, response: response() },
                _ => entry::Entry::Bill(bill(host, number, cost)),
            }
        },
    );
    proptest::collection::vec(entry, 1..60)
}

fn response() -> entry::StoredResponse {
    entry::StoredResponse { status: 200, content_type: Arc::from("text/plain"), body: None }
}

fn bill(host: identity::HostId, number: u64, cost_microcents: u64) -> entry::Bill {
    entry::Bill {
        id: entry::BillId { host, number },
        organisation: Arc::from("org"),
        item: Arc::from("model@1"),
        tokens: 1,
        cost_microcents,
        outcome: entry::RequestOutcome::Answered,
    }
}

#[rstest]
fn shard_state_matches_naive_model() {
    let config = test_runner::Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(7),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let outcome = runner.run(&(entries(), 1..8_usize), |(entries, batch)| {
        let mut naive = NaiveLedger::default();
        let mut state = state::ShardState::default();
        for chunk in entries.chunks(batch) {
            let batch = entry::Batch {
                owner: identity::HostId(1),
                nonce: 0,
                at_s: 1,
                entries: chunk.to_vec(),
            };
            let naive_results: Vec<bool> = chunk.iter().map(|entry| naive.apply(entry)).collect();
            for ((entry, outcome), naive_is_granted) in
                chunk.iter().zip(state.apply(&batch)).zip(naive_results)
            {
                if let entry::Entry::Claim { .. } = entry {
                    prop_assert_eq!(outcome == entry::EntryOutcome::Granted, naive_is_granted);
                }
            }
        }
        let naive_cost: u64 = naive.bills.values().sum();
        let cost: u64 = state.totals().values().map(|total| total.cost_microcents).sum();
        prop_assert_eq!(cost, naive_cost);
        prop_assert_eq!(state.claim_count(), naive.claims.len());
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

/// The platform's objects of one shard; a test can drop the replies.
#[derive(Debug, Default)]
struct ObjectStore(collections::BTreeMap<String, Arc<[u8]>>);

impl ObjectStore {
    fn execute(&mut self, call: &platform::Call) -> platform::Reply {
        match call {
            platform::Call::Create { key, value } => {
                if self.0.contains_key(key) {
                    return platform::Reply::Conflict;
                }
                self.0.insert(key.clone(), Arc::clone(value));
                platform::Reply::Written { version: 1 }
            }
            platform::Call::Read { key } => match self.0.get(key) {
                Some(value) => platform::Reply::Found(platform::Object {
                    key: key.clone(),
                    version: 1,
                    value: Arc::clone(value),
                }),
                None => platform::Reply::Absent,
            },
            platform::Call::List { after, .. } => {
                let objects = self
                    .0
                    .iter()
                    .filter(|(key, _)| *key > after)
                    .map(|(key, value)| platform::Object {
                        key: key.clone(),
                        version: 1,
                        value: Arc::clone(value),
                    })
                    .collect();
                platform::Reply::Listing { objects, version: 1 }
            }
            _ => platform::Reply::Unknown,
        }
    }
}

/// Runs an owner for two seconds; returns the outcomes that it sent.
fn run(
    owner: &mut owner::Owner,
    objects: &mut ObjectStore,
    from_ms: u64,
) -> Vec<message::SubmissionOutcome> {
    let mut outcomes = Vec::new();
    let mut effects = Vec::new();
    for now_ms in (from_ms..from_ms + 2_000).step_by(10) {
        effects.extend(owner.tick(now_ms, 1));
        for effect in std::mem::take(&mut effects) {
            match effect {
                owner::Effect::Call(call) => {
                    let reply = objects.execute(&call);
                    effects.extend(owner.handle_reply(&reply, now_ms));
                }
                owner::Effect::Outcomes { outcomes: more, .. } => outcomes.extend(more),
                _ => {}
            }
        }
    }
    outcomes
}

fn claim(key: u128, number: u64) -> entry::Entry {
    let claim = entry::ClaimId { host: identity::HostId(number), number };
    entry::Entry::Claim { key: entry::ClaimKey(key), claim, content_digest: 1 }
}

fn submission(number: u64, entry: entry::Entry) -> Vec<message::Submission> {
    vec![message::Submission { number, entry }]
}

#[rstest]
fn paused_owner_loses_claim_to_new_owner() {
    let mut objects = ObjectStore::default();
    let host = identity::HostId(9);
    let mut old_owner = owner::Owner::new(identity::HostId(1), 0, 1, 100);
    let mut new_owner = owner::Owner::new(identity::HostId(2), 0, 1, 200);
    old_owner.set_assigned(true);
    assert!(run(&mut old_owner, &mut objects, 0).is_empty());
    old_owner.submit(host, submission(1, claim(5, 1)));
    // The old owner is paused here; the new owner takes over and grants the key to another claim.
    new_owner.set_assigned(true);
    new_owner.submit(host, submission(2, claim(5, 2)));
    let outcomes = run(&mut new_owner, &mut objects, 2_000);
    assert_eq!(
        outcomes,
        [message::SubmissionOutcome { number: 2, outcome: entry::EntryOutcome::Granted }]
    );
    let outcomes = run(&mut old_owner, &mut objects, 4_000);
    assert_eq!(
        outcomes,
        [message::SubmissionOutcome { number: 1, outcome: entry::EntryOutcome::InProgress }]
    );
}

#[rstest]
fn lost_reply_neither_fails_nor_repeats_write() {
    let mut objects = ObjectStore::default();
    let mut owner = owner::Owner::new(identity::HostId(1), 0, 1, 100);
    owner.set_assigned(true);
    run(&mut owner, &mut objects, 0);
    owner.submit(identity::HostId(9), submission(1, claim(5, 1)));
    let effects = owner.tick(2_000, 1);
    let [owner::Effect::Call(call)] = effects.as_slice() else { panic!("{effects:?}") };
    objects.execute(call);
    assert!(owner.handle_reply(&platform::Reply::Unknown, 2_001).is_empty());
    let outcomes = run(&mut owner, &mut objects, 2_500);
    assert_eq!(
        outcomes,
        [message::SubmissionOutcome { number: 1, outcome: entry::EntryOutcome::Granted }]
    );
    assert_eq!(objects.0.len(), 1);
}

#[rstest]
fn claim_after_its_release_is_never_granted() {
    let mut state = state::ShardState::default();
    let claim_id = entry::ClaimId { host: identity::HostId(1), number: 1 };
    let key = entry::ClaimKey(5);
    let batch = entry::Batch {
        owner: identity::HostId(1),
        nonce: 0,
        at_s: 1,
        entries: vec![
            entry::Entry::Release { key, claim: claim_id },
            entry::Entry::Claim { key, claim: claim_id, content_digest: 1 },
        ],
    };
    assert_eq!(state.apply(&batch), [entry::EntryOutcome::Released, entry::EntryOutcome::Released]);
    assert_eq!(state.claim_count(), 0);
}

#[rstest]
fn outdated_owner_does_not_report_released_key_as_in_progress() {
    let mut objects = ObjectStore::default();
    let host = identity::HostId(9);
    let mut old_owner = owner::Owner::new(identity::HostId(1), 0, 1, 100);
    let mut new_owner = owner::Owner::new(identity::HostId(2), 0, 1, 200);
    old_owner.set_assigned(true);
    old_owner.submit(host, submission(1, claim(5, 1)));
    assert_eq!(run(&mut old_owner, &mut objects, 0).len(), 1);
    new_owner.set_assigned(true);
    let id = entry::ClaimId { host: identity::HostId(1), number: 1 };
    let release = entry::Entry::Release { key: entry::ClaimKey(5), claim: id };
    new_owner.submit(host, submission(2, release));
    assert_eq!(run(&mut new_owner, &mut objects, 2_000).len(), 1);
    old_owner.submit(host, submission(3, claim(5, 2)));
    let outcomes = run(&mut old_owner, &mut objects, 4_000);
    assert_eq!(
        outcomes,
        [message::SubmissionOutcome { number: 3, outcome: entry::EntryOutcome::Granted }]
    );
}
