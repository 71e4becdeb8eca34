//! Data centres whose servers get no requests until operators take that back.

use std::collections;

use crate::name;

/// The evacuations that a host knows of.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: collections::BTreeSet<name::DataCentre>,
    /// Evacuations that a restored store does not show.
    missing: collections::BTreeSet<name::DataCentre>,
}

impl Evacuations {
    /// Whether a data centre is evacuated.
    #[must_use]
    pub fn includes(&self, data_centre: &name::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Number of evacuated data centres.
    #[must_use]
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Adds a data centre; returns whether it is new.
    pub fn put(&mut self, data_centre: name::DataCentre) -> bool {
        self.missing.remove(&data_centre);
        self.evacuated.insert(data_centre)
    }

    /// Removes a data centre; returns whether it was known.
    pub fn remove(&mut self, data_centre: &name::DataCentre) -> bool {
        self.missing.remove(data_centre);
        self.evacuated.remove(data_centre)
    }

    /// Replaces the evacuations; the former ones are kept for now if `retains_missing`, since the
    /// store may have lost them.
    pub fn replace(
        &mut self,
        evacuated: collections::BTreeSet<name::DataCentre>,
        retains_missing: bool,
    ) {
        let former = std::mem::replace(&mut self.evacuated, evacuated);
        self.missing.clear();
        if retains_missing {
            let missing = former.difference(&self.evacuated).cloned();
            self.missing = missing.collect();
            self.evacuated.extend(self.missing.iter().cloned());
        }
    }

    /// Drops the evacuations that were kept although the store does not show them; returns them.
    pub fn remove_missing(&mut self) -> Vec<name::DataCentre> {
        let missing = std::mem::take(&mut self.missing);
        self.evacuated.retain(|data_centre| !missing.contains(data_centre));
        missing.into_iter().collect()
    }
}
