//! Whether an organisation may use a version of a model.

use toucanwall_document::document;
use toucanwall_document::name;

/// The result of an eligibility check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// The organisation may use the version.
    Allowed,
    /// The document has no such organisation.
    UnknownOrganisation,
    /// The document has no such model or version.
    UnknownVersion,
    /// The organisation is not entitled to the model or version.
    NotAllowed,
    /// The version has been withdrawn.
    Withdrawn,
}

/// Checks whether an organisation may use a version of a model.
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
    if !organisation.may_use(model, version) {
        return Eligibility::NotAllowed;
    }
    if entry.withdrawn { Eligibility::Withdrawn } else { Eligibility::Allowed }
}
