//! Whether an organisation may use a version now.

use toucanwall_document::document;
use toucanwall_document::name;

/// The answer to one eligibility question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// The request may run there.
    Allowed,
    /// The document has no such organisation.
    UnknownOrganisation,
    /// The document has no such model or version.
    UnknownVersion,
    /// The organisation may not use the model or version.
    NotAllowed,
    /// The version is withdrawn.
    Withdrawn,
}

/// Judges one version of one model for one organisation.
#[must_use]
pub fn check(
    document: &document::Document,
    organisation: &name::Name,
    model: &name::Name,
    version: &name::Name,
) -> Eligibility {
    let Some(organisation) = document.organisations.get(organisation) else {
        return Eligibility::UnknownOrganisation;
    };
    let known = document.models.get(model).and_then(|model| model.versions.get(version));
    let Some(entry) = known else {
        return Eligibility::UnknownVersion;
    };
    if !organisation.allows(model, version) {
        return Eligibility::NotAllowed;
    }
    if entry.withdrawn { Eligibility::Withdrawn } else { Eligibility::Allowed }
}
