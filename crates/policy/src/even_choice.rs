//! Choice among servers of close cost.
//!
//! Hosts that read the same load reports all compute the same cheapest server and overrun it until the
//! next reports. Servers whose costs differ by less than the hosts can know share the requests at
//! random, in proportion to their free capacity.

use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_routing::server;

/// Difference of cost up to which servers count as equally good, in prompt tokens of the smallest
/// model: the cost of two running requests.
const CLOSE_COST_UNITS: u64 = 300;

/// A server that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Arc<server::BackendServer>,
    /// Estimated time to the first byte, in prompt tokens that a server of usual speed reads in it.
    pub units: u64,
    /// Cost by which servers are compared, in the same unit.
    pub cost: u64,
    /// Free slots, each counted by the work that it does in the usual time, in percent.
    pub free_capacity: u64,
}

/// Chooses the cheapest candidate, at random among those of the same cost.
pub fn cheapest<'a, R>(candidates: &[Candidate<'a>], rng: &mut R) -> Option<Candidate<'a>>
where
    R: rand::Rng,
{
    let randomised = candidates.iter().map(|it| ((it.cost, rng.random::<u32>()), it));
    randomised.min_by_key(|(cost, _)| *cost).map(|(_, candidate)| *candidate)
}

/// Chooses among the candidates of close cost, at random in proportion to their free capacity.
pub fn proportional<'a, R>(candidates: &[Candidate<'a>], rng: &mut R) -> Option<Candidate<'a>>
where
    R: rand::Rng,
{
    let best = cheapest(candidates, rng)?;
    let highest = best.cost.saturating_add(CLOSE_COST_UNITS);
    let close: Vec<_> = candidates.iter().filter(|it| it.cost <= highest).copied().collect();
    let total = close.iter().fold(0_u64, |sum, it| sum.saturating_add(it.free_capacity));
    if total == 0 {
        return Some(best);
    }
    let mut drawn = rng.random_range(0..total);
    close.into_iter().find(|it| match drawn.checked_sub(it.free_capacity) {
        Some(rest) => {
            drawn = rest;
            false
        }
        None => true,
    })
}
