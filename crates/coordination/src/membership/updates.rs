//! Dissemination of changed member records, piggybacked on the protocol messages.

use std::collections;

use crate::identity;

/// Maximum number of updates carried by one message.
const UPDATES_MAX: usize = 8;

/// Members whose record changed recently, with the number of times that each was sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    transmissions: collections::BTreeMap<identity::HostId, u32>,
}

impl UpdateQueue {
    /// Queues a member's record for dissemination and resets its transmission count.
    pub fn enqueue(&mut self, host: identity::HostId) {
        self.transmissions.insert(host, 0);
    }

    /// Returns the members whose records were sent least often and counts one more transmission.
    ///
    /// The number of transmissions of a record is limited to about three times the binary
    /// logarithm of `members`, which reaches every host with high probability; the periodic
    /// exchange of full lists covers the remaining cases.
    pub fn take(&mut self, members: usize) -> Vec<identity::HostId> {
        let transmissions_max = 3 * ((members + 1).ilog2() + 1);
        let mut least_sent: Vec<(u32, identity::HostId)> =
            self.transmissions.iter().map(|(host, count)| (*count, *host)).collect();
        least_sent.sort_unstable();
        least_sent.truncate(UPDATES_MAX);
        for (count, host) in &least_sent {
            if count + 1 >= transmissions_max {
                self.transmissions.remove(host);
            } else {
                self.transmissions.insert(*host, count + 1);
            }
        }
        least_sent.into_iter().map(|(_, host)| host).collect()
    }
}
