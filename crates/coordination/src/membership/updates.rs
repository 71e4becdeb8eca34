//! News about members on its way through the hosts.

use std::collections;

use crate::identity;

/// Most updates carried by one message.
const UPDATES_MAX: usize = 8;

/// Members whose record changed lately, and how often each was told.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    transmissions: collections::BTreeMap<identity::HostId, u32>,
}

impl UpdateQueue {
    /// Starts to tell of a member, from the beginning if it is told of already.
    pub fn enqueue(&mut self, host: identity::HostId) {
        self.transmissions.insert(host, 0);
    }

    /// Takes the least-told members and counts them as told once more.
    ///
    /// A member is told of about three times the logarithm of `members`, which reaches every
    /// host with high probability; exchanges of the whole list mend the rest.
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
