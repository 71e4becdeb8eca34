//! The schedule of a roll-out: which part of the requests the new version gets, and when.

use toucanwall_routing::number;

/// Part of the exposure allowed for a bad version that is used between the first half and the
/// cutover; with [`EARLY_FRACTION`] and the cutover itself it stays below the whole.
const EXPOSURE_BEFORE_CUTOVER: f64 = 0.2;
/// Maximum fraction of the traffic that the new version gets before the cutover.
const MAX_FRACTION_BEFORE_CUTOVER: f64 = 0.3;
/// Fraction of the requests without a session that the new version gets from the start, relative to
/// the exposure allowed for a bad version.
const EARLY_FRACTION: f64 = 0.2;
/// Time after the first half in which sessions still keep their version, in milliseconds: hosts
/// learn of a roll-out at slightly different times.
const SESSION_PHASE_MARGIN_MS: u64 = 400;
/// Time between the cutover and the end, in milliseconds: streams of the old version need some
/// seconds to end.
const CUTOVER_BEFORE_END_MS: u64 = 6_000;
/// Part of the exposure allowed for a bad version that is used from the cutover to the end.
const EXPOSURE_AFTER_CUTOVER: f64 = 0.5;
/// Time before the end at which the roll-out is marked as completed, in milliseconds: leaves room
/// for a store that is slow to answer.
const COMPLETE_BEFORE_END_MS: u64 = 1_500;
/// Divisor of the duration: the time from the completion to the end is at most this part of it,
/// except in short roll-outs, so that requests to the old version may end after the cutover.
const COMPLETE_DIVISOR: u64 = 20;
/// Time from the completion to the end that is kept unless the cutover leaves less, in milliseconds:
/// several times what another host waits before it takes the step in place of the first one.
const MIN_COMPLETE_BEFORE_END_MS: u64 = 600;
/// Part of the time from the cutover to the end that may be left at the completion, in percent.
const COMPLETE_AFTER_CUTOVER_PERCENT: u64 = 90;

/// Time before the end at which a version of which too little is known is given up, in milliseconds.
/// Until then, hosts that know more may complete the roll-out.
const GIVE_UP_BEFORE_END_MS: u64 = 300;

/// The schedule of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// Duration that the operator set, in milliseconds.
    pub duration_ms: u64,
    /// Fraction of the service's requests that a bad version may get.
    pub exposure_fraction: f64,
}

impl Schedule {
    /// Fraction of the requests that the new version gets; never decreases.
    pub fn target_fraction(&self, has_session: bool, elapsed_ms: u64) -> f64 {
        let session_phase_end_ms = self.duration_ms / 2 + SESSION_PHASE_MARGIN_MS;
        if elapsed_ms >= self.cutover_ms() {
            return 1.0;
        }
        let early_fraction = self.exposure_fraction * EARLY_FRACTION;
        if elapsed_ms >= session_phase_end_ms {
            // Sessions use in this phase what requests without one have used before it.
            let exposure = EXPOSURE_BEFORE_CUTOVER + if has_session { EARLY_FRACTION } else { 0.0 };
            let exposed_ms =
                exposure * self.exposure_fraction * number::saturating_f64(self.duration_ms);
            let length_ms = number::saturating_f64(
                self.cutover_ms().saturating_sub(session_phase_end_ms).max(1),
            );
            return (exposed_ms / length_ms)
                .clamp(early_fraction, MAX_FRACTION_BEFORE_CUTOVER.max(early_fraction));
        }
        if has_session { 0.0 } else { early_fraction }
    }

    /// Time from the start of the roll-out to the cutover, in milliseconds.
    pub fn cutover_ms(&self) -> u64 {
        let exposed_ms = EXPOSURE_AFTER_CUTOVER
            * self.exposure_fraction
            * number::saturating_f64(self.duration_ms);
        let lead_ms = CUTOVER_BEFORE_END_MS.min(number::saturating_u64(exposed_ms));
        self.duration_ms.saturating_sub(lead_ms)
    }

    /// Time from the start of the roll-out at which it is reverted if too little is known of the new
    /// version, in milliseconds.
    pub fn give_up_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(GIVE_UP_BEFORE_END_MS).max(self.complete_ms())
    }

    /// Time from the start of the roll-out to its completion, in milliseconds.
    pub fn complete_ms(&self) -> u64 {
        let after_cutover_ms = self.duration_ms - self.cutover_ms();
        let lead_ms = COMPLETE_BEFORE_END_MS
            .min(self.duration_ms / COMPLETE_DIVISOR)
            .max(MIN_COMPLETE_BEFORE_END_MS)
            .min(after_cutover_ms * COMPLETE_AFTER_CUTOVER_PERCENT / 100);
        self.duration_ms - lead_ms
    }
}
