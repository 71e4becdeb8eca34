//! The configuration document and the operators' changes to it.

use std::sync::Arc;

use rand::RngExt as _;
use sha2::Digest as _;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;
use toucanwall_coordination::platform;
use toucanwall_document::check;
use toucanwall_document::parts as document_parts;

use super::Simulation;
use super::Task;
use super::platform::FakePlatform;

/// API key of the organisation.
pub const API_KEY: &str = "a-key-of-the-test";
/// Versions of the model whose shares and withdrawals the operators change.
pub const VERSIONS: [&str; 3] = ["1", "2", "3"];

/// Returns the SHA-256 digest of the API key, as the document stores it.
pub fn key_sha256() -> Arc<str> {
    let digest = sha2::Sha256::digest(API_KEY.as_bytes());
    hex::encode(digest).into()
}

/// Stores the first revision of the configuration at the platform.
pub fn store_first_revision(platform: &mut FakePlatform) {
    let next = parts_with_versions([34, 33, 33], [false; 3]);
    let change = change_between(&config_replica::Snapshot::default(), &next, 0, 0);
    platform.put(
        &config_replica::log_key(1),
        serde_json::to_vec(&change).expect("the change can be serialised").into(),
    );
}

impl Simulation {
    /// Two operators write a change on the same base revision; at most one write succeeds.
    pub(super) fn change_configuration(&mut self) {
        if self.is_recovering {
            return;
        }
        let base = self.configuration_in_force();
        for _ in 0..2 {
            let (shares, withdrawn) = self.random_versions();
            let next = parts_with_versions(shares, withdrawn);
            let nonce = self.rng.random();
            let change = change_between(&base, &next, nonce, self.now_ms);
            self.write_change(&change, withdrawn);
        }
        let at_ms = self.now_ms + self.rng.random_range(2_000..12_000);
        self.schedule(at_ms, Task::ChangeConfiguration);
    }

    fn write_change(&mut self, change: &config_replica::Change, withdrawn: [bool; 3]) {
        if self.now_ms < self.platform.outage_until_ms || change.difference.is_empty() {
            return;
        }
        let key = config_replica::log_key(change.revision);
        let value = serde_json::to_vec(change).expect("the change can be serialised").into();
        let reply = self.platform.execute(&platform::Call::Create { key, value });
        if !matches!(reply, platform::Reply::Written { .. }) {
            return;
        }
        for (version, is_withdrawn) in VERSIONS.iter().zip(withdrawn) {
            let item: Arc<str> = Arc::from(format!("model@{version}"));
            if !is_withdrawn {
                self.withdrawn_since.remove(&item);
            } else if !self.withdrawn_since.contains_key(&item) {
                self.withdrawn_since.insert(item, self.now_ms);
            }
        }
    }

    /// Returns random shares and withdrawals; at least one version is not withdrawn.
    fn random_versions(&mut self) -> ([u64; 3], [bool; 3]) {
        let active = self.rng.random_range(0..3);
        let mut withdrawn = [false; 3];
        for (index, is_withdrawn) in withdrawn.iter_mut().enumerate() {
            *is_withdrawn = index != active && self.rng.random_range(0..3) == 0;
        }
        let mut shares = [0; 3];
        shares[active] = 100;
        let other = (active + 1) % 3;
        if !withdrawn[other] {
            shares[other] = self.rng.random_range(0..=100);
            shares[active] -= shares[other];
        }
        (shares, withdrawn)
    }

    /// Returns the configuration that results from all changes in the platform's log.
    pub(super) fn configuration_in_force(&self) -> config_replica::Snapshot {
        let mut snapshot = config_replica::Snapshot::default();
        for object in self.platform.objects_with_prefix(config_replica::LOG_PREFIX) {
            let change: config_replica::Change =
                serde_json::from_slice(&object.value).expect("the log object is a change");
            snapshot.parts.apply(&change.difference);
            snapshot.revision = change.revision;
        }
        snapshot
    }
}

fn change_between(
    base: &config_replica::Snapshot,
    next: &parts::Parts,
    nonce: u64,
    at_ms: u64,
) -> config_replica::Change {
    config_replica::Change {
        revision: base.revision + 1,
        author: Arc::from("operator"),
        reason: Arc::from("test"),
        at_ms,
        nonce,
        difference: base.parts.difference_to(next),
        digest: next.digest(),
    }
}

fn parts_with_versions(shares: [u64; 3], withdrawn: [bool; 3]) -> parts::Parts {
    let versions: Vec<String> = VERSIONS
        .iter()
        .zip(shares.iter().zip(withdrawn))
        .map(|(version, (share, withdrawn))| {
            format!("      \"{version}\": {{ share_percent: {share}, withdrawn: {withdrawn} }}\n")
        })
        .collect();
    let versions = versions.concat();
    let text = format!(
        "pools:\n  engines: {{ progress_ms: 5000 }}\n  desk: {{ progress_ms: 5000 }}\n\
         models:\n  model:\n    pool: engines\n    cost_microcents_per_kilotoken: 1000\n    versions:\n{versions}\
         \x20 strong:\n    pool: engines\n    cost_microcents_per_kilotoken: 9000\n    versions:\n      \"1\": {{ share_percent: 100 }}\n\
         cascades:\n  cascade: {{ stages: [model, strong], quality_target_percent: 80 }}\n\
         services:\n  desk: {{ pool: desk, non_idempotent: [\"POST /bookings\"] }}\n\
         organisations:\n  org:\n    key_sha256: {}\n    models: [model, strong]\n    cascades: [cascade]\n    services: [desk]\n    requests_per_s: 100000\n",
        key_sha256()
    );
    let document = check::check("test", &text).unwrap_or_else(|findings| panic!("{findings}"));
    document_parts::split(&document)
}
