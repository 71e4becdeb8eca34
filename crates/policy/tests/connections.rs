//! How many connections hosts have to one server.

use rstest::rstest;
use toucanwall_policy::connections;

#[rstest]
#[case::a_small_service(96, 6)]
#[case::many_hosts(590, 89)]
#[case::one_host(8, 1)]
#[case::more_connections_than_are_used(u32::MAX, 2)]
fn all_hosts_together_stay_below_the_limit(#[case] connections_max: u32, #[case] hosts: u64) {
    let share = connections::limits_per_host(connections_max, hosts);
    let used = u64::from(share.in_flight_max) + u64::from(share.idle_max);
    assert!(used * hosts <= u64::from(connections_max), "{share:?}");
    assert!(share.in_flight_max > share.idle_max);
}

#[rstest]
fn a_host_can_always_send_one_request() {
    assert_eq!(
        connections::limits_per_host(10, 89),
        connections::ConnectionLimits { in_flight_max: 1, idle_max: 0 }
    );
}
