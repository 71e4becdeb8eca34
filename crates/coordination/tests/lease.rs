//! Tests of the lease when its holder is paused or a reply is lost.

use std::sync::Arc;

use rstest::rstest;
use toucanwall_coordination::identity;
use toucanwall_coordination::lease;
use toucanwall_coordination::platform;

const DURATION_MS: u64 = 3_000;

/// An object store with a single object.
#[derive(Debug, Default)]
struct SingleObjectStore(Option<(u64, Arc<[u8]>)>);

impl SingleObjectStore {
    fn execute(&mut self, call: &platform::Call) -> platform::Reply {
        match (call, &self.0) {
            (platform::Call::Create { value, .. }, None) => self.write(1, value),
            (platform::Call::Update { version, value, .. }, Some((known, _)))
                if version == known =>
            {
                let next = known + 1;
                self.write(next, value)
            }
            (platform::Call::Read { key }, Some((version, value))) => {
                platform::Reply::Found(platform::Object {
                    key: key.clone(),
                    version: *version,
                    value: Arc::clone(value),
                })
            }
            (platform::Call::Read { .. }, None) => platform::Reply::Absent,
            _ => platform::Reply::Conflict,
        }
    }

    fn write(&mut self, version: u64, value: &Arc<[u8]>) -> platform::Reply {
        self.0 = Some((version, Arc::clone(value)));
        platform::Reply::Written { version }
    }
}

fn run(lease: &mut lease::Lease, store: &mut SingleObjectStore, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(100) {
        if let lease::Step::Call(call) = lease.tick(now_ms) {
            let reply = store.execute(&call);
            lease.handle_reply(reply, now_ms);
        }
    }
}

#[rstest]
fn paused_holder_loses_lease_to_higher_fencing_token() {
    let mut store = SingleObjectStore::default();
    let mut first = lease::Lease::new(identity::HostId(1), "lease", DURATION_MS);
    let mut second = lease::Lease::new(identity::HostId(2), "lease", DURATION_MS);
    run(&mut first, &mut store, 0, 2_000);
    assert_eq!(first.fencing_token(2_000), Some(1));
    // The first holder is paused from here on.
    run(&mut second, &mut store, 2_000, 12_000);
    assert_eq!(second.fencing_token(12_000), Some(2));
    assert_eq!(first.fencing_token(12_000), None);
    run(&mut first, &mut store, 12_000, 13_000);
    assert_eq!(first.fencing_token(13_000), None);
    run(&mut second, &mut store, 12_000, 14_000);
    assert_eq!(second.fencing_token(14_000), Some(2));
}

#[rstest]
fn lease_is_not_held_until_lost_reply_is_resolved() {
    let mut store = SingleObjectStore::default();
    let mut first = lease::Lease::new(identity::HostId(1), "lease", DURATION_MS);
    let lease::Step::Call(call) = first.tick(0) else { panic!("no call") };
    store.execute(&call);
    first.handle_reply(platform::Reply::Unknown, 10);
    assert_eq!(first.fencing_token(10), None);
    run(&mut first, &mut store, 1_100, 14_000);
    assert!(first.fencing_token(14_000).is_some());
}
