//! Regions that requests are confined to.

use std::collections;

use crate::name;

/// Regions that operators confine requests to; the default is no restriction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// Empty if there is no restriction.
    regions: collections::BTreeSet<name::Region>,
}

impl AllowedRegions {
    /// Whether there is a restriction.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether a region is allowed; an unknown one, `None`, only if there is no restriction.
    #[must_use]
    pub fn includes(&self, region: Option<&name::Region>) -> bool {
        !self.is_restricted() || region.is_some_and(|region| self.regions.contains(region))
    }

    /// Adds the regions of another restriction; one without regions adds nothing.
    #[must_use]
    pub fn joined(mut self, other: &Self) -> Self {
        self.regions.extend(other.regions.iter().cloned());
        self
    }
}

impl FromIterator<name::Region> for AllowedRegions {
    fn from_iter<I>(iter: I) -> Self
    where
        I: IntoIterator<Item = name::Region>,
    {
        Self { regions: iter.into_iter().collect() }
    }
}
