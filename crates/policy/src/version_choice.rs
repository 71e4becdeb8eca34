//! Which version of a model a new session gets.

use toucanwall_document::document;
use toucanwall_document::name;

/// Selects one of the serving versions that the organisation may use, in proportion to their
/// shares.
///
/// Uses weighted rendezvous hashing: if a version's share grows, sessions only move to that
/// version, and all hosts with the same document select the same version for a session.
#[must_use]
pub fn select<'a>(
    model_name: &name::Name,
    model: &'a document::Model,
    organisation: &document::Organisation,
    session_hash: u64,
) -> Option<&'a name::Name> {
    model
        .active_versions()
        .filter(|(version, _)| organisation.may_use(model_name, version))
        .map(|(version, entry)| (score(version, entry.share_percent, session_hash), version))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, version)| version)
}

/// Score of a version; the highest wins, with a probability proportional to the version's share.
fn score(version: &name::Name, share_percent: u64, session_hash: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(version.as_str().as_bytes(), session_hash);
    let fraction = unit_interval(hash);
    if share_percent == 0 {
        // Below every other score: wins only if all allowed versions have a share of zero.
        return -1.0e9 - fraction;
    }
    fraction.ln() / f64::from(u32::try_from(share_percent).unwrap_or(100))
}

/// Maps a hash to a number above 0 and below 1.
fn unit_interval(hash: u64) -> f64 {
    let bits = u32::try_from(hash >> 32).unwrap_or(0);
    (f64::from(bits) + 0.5) / (f64::from(u32::MAX) + 1.0)
}
