//! The lease: a holder that was paused wakes and no longer holds it.

use std::sync::Arc;

use rstest::rstest;
use toucanwall_coordination::identity;
use toucanwall_coordination::lease;
use toucanwall_coordination::platform;

const DURATION_MS: u64 = 3_000;

/// One object with conditional writes.
#[derive(Debug, Default)]
struct Object(Option<(u64, Arc<[u8]>)>);

impl Object {
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

fn run(lease: &mut lease::Lease, object: &mut Object, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(100) {
        if let lease::Step::Call(call) = lease.tick(now_ms) {
            let reply = object.execute(&call);
            lease.handle_reply(reply, now_ms);
        }
    }
}

#[rstest]
fn a_paused_holder_wakes_without_its_lease_and_with_an_older_number() {
    let mut object = Object::default();
    let mut first = lease::Lease::new(identity::HostId(1), "lease", DURATION_MS);
    let mut second = lease::Lease::new(identity::HostId(2), "lease", DURATION_MS);
    run(&mut first, &mut object, 0, 2_000);
    assert_eq!(first.fencing_token(2_000), Some(1));
    // The first holder is paused from here on.
    run(&mut second, &mut object, 2_000, 12_000);
    assert_eq!(second.fencing_token(12_000), Some(2));
    assert_eq!(first.fencing_token(12_000), None);
    run(&mut first, &mut object, 12_000, 13_000);
    assert_eq!(first.fencing_token(13_000), None);
    run(&mut second, &mut object, 12_000, 14_000);
    assert_eq!(second.fencing_token(14_000), Some(2));
}

#[rstest]
fn a_lost_reply_leaves_at_most_one_holder() {
    let mut object = Object::default();
    let mut first = lease::Lease::new(identity::HostId(1), "lease", DURATION_MS);
    let lease::Step::Call(call) = first.tick(0) else { panic!("no call") };
    object.execute(&call);
    first.handle_reply(platform::Reply::Unknown, 10);
    assert_eq!(first.fencing_token(10), None);
    run(&mut first, &mut object, 1_100, 14_000);
    assert!(first.fencing_token(14_000).is_some());
}
