//! Entries in the store that another writer has left and that cannot be read.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;

/// Longest time until a change of the servers is in force, as in the `drain_ms` setting.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Lines that a host may log about one unreadable entry: it may see it in a list and in a change.
const LOG_LINES_MAX: usize = 3;
const LEVELS: usize = 100_000;
/// Name that sorts after those of the other servers.
const NAME: &str = "z-odd";
/// Hosts of a fleet in which some follow the store through others.
const RELAYED_HOSTS: usize = 5;

fn nested() -> String {
    "[".repeat(LEVELS) + &"]".repeat(LEVELS)
}

fn digits() -> String {
    "9".repeat(400)
}

/// The text of an object.
fn object(metadata: &str, spec: &str) -> Vec<u8> {
    format!("{{\"metadata\":{metadata},\"spec\":{spec},\"status\":null}}").into_bytes()
}

fn metadata(name: &str) -> String {
    serde_json::json!({ "name": name, "revision": 3, "created_at": 2, "finalizers": [] })
        .to_string()
}

/// An entry of a server in which some text is replaced.
fn entry(from: &str, to: &str) -> Vec<u8> {
    let spec = serde_json::json!({
        "service": "engines", "address": "127.0.0.1:9", "zone": "dc-1", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 5,
    });
    let spec = spec.to_string();
    let odd = spec.replace(from, to);
    assert_ne!(spec, odd, "{from} is replaced");
    object(&metadata(NAME), &odd)
}

/// Kinds of unreadable or unusable objects.
#[derive(Debug, Clone, Copy)]
enum Oddity {
    NestedSpec,
    NestedField,
    NestedUnknownField,
    NestedMetadata,
    NumberWithManyDigits,
    NumberTooLarge,
    StartTimeTooLarge,
    LargestStartTime,
    PortOutOfRange,
    PortZero,
    NoSlots,
    MostSlots,
    EmptyService,
    RevisionTooLarge,
    NegativeRevision,
    NameIsNumber,
    NameIsEmpty,
    NameIsLong,
    NameHasLineBreak,
    NoMetadata,
    Number,
    Null,
    InvalidText,
}

impl Oddity {
    const ALL: [Self; 23] = [
        Self::NestedSpec,
        Self::NestedField,
        Self::NestedUnknownField,
        Self::NestedMetadata,
        Self::NumberWithManyDigits,
        Self::NumberTooLarge,
        Self::StartTimeTooLarge,
        Self::LargestStartTime,
        Self::PortOutOfRange,
        Self::PortZero,
        Self::NoSlots,
        Self::MostSlots,
        Self::EmptyService,
        Self::RevisionTooLarge,
        Self::NegativeRevision,
        Self::NameIsNumber,
        Self::NameIsEmpty,
        Self::NameIsLong,
        Self::NameHasLineBreak,
        Self::NoMetadata,
        Self::Number,
        Self::Null,
        Self::InvalidText,
    ];

    /// Those of which the name can be read.
    const NAMED: [Self; 15] = {
        let mut named = [Self::NestedSpec; 15];
        let mut number = 0;
        while number < named.len() {
            named[number] = Self::ALL[number];
            number += 1;
        }
        named
    };

    fn name(self) -> String {
        match self {
            Self::NameIsEmpty => String::new(),
            Self::NameIsLong => "z".repeat(9_000),
            Self::NameHasLineBreak => "z odd\r\n&x=%00".to_owned(),
            _ => NAME.to_owned(),
        }
    }

    fn text(self) -> Vec<u8> {
        match self {
            Self::NestedSpec => object(&metadata(NAME), &nested()),
            Self::NestedField => entry("8", &nested()),
            Self::NestedUnknownField => {
                entry("\"slots\"", &format!("\"other\":{},\"slots\"", nested()))
            }
            Self::NestedMetadata => {
                object(&format!("{{\"name\":\"{NAME}\",\"finalizers\":{}}}", nested()), "{}")
            }
            Self::NumberWithManyDigits => entry("8", &digits()),
            Self::NumberTooLarge => entry("8", "1e999"),
            Self::StartTimeTooLarge => entry("\"born\":5", &format!("\"born\":{}", digits())),
            Self::LargestStartTime => entry("\"born\":5", &format!("\"born\":{}", u64::MAX)),
            Self::PortOutOfRange => entry("127.0.0.1:9", "127.0.0.1:65536"),
            Self::PortZero => entry("127.0.0.1:9", "127.0.0.1:0"),
            Self::NoSlots => entry("8", "0"),
            Self::MostSlots => entry("8", &u32::MAX.to_string()),
            Self::EmptyService => entry("engines", ""),
            Self::RevisionTooLarge => {
                object(&format!("{{\"name\":\"{NAME}\",\"revision\":{}}}", digits()), "{}")
            }
            Self::NegativeRevision => {
                object(&format!("{{\"name\":\"{NAME}\",\"revision\":-1}}"), "{}")
            }
            Self::NameIsNumber => object("{\"name\":7}", "{}"),
            Self::NameIsEmpty | Self::NameIsLong | Self::NameHasLineBreak => {
                object(&metadata(&self.name()), "{}")
            }
            Self::NoMetadata => b"{\"spec\":{}}".to_vec(),
            Self::Number => b"1e999".to_vec(),
            Self::Null => b"null".to_vec(),
            Self::InvalidText => {
                let mut bytes = entry("engines", "eng?nes");
                let at = bytes.iter().position(|byte| *byte == b'?').expect("a byte to replace");
                bytes[at] = 0xff;
                bytes
            }
        }
    }
}

/// Registers a server and waits until the hosts use it.
async fn check_that_hosts_follow_the_store(fleet: &mut GatewayFleet, hosts: usize) {
    let late = backend::Backend::start("s-late", Behaviour::Respond).await;
    fleet.register("desk", &late, "ready");
    let registered = time::Instant::now();
    for host in 0..hosts {
        let before = late.arrivals().len();
        let is_used = async || {
            let response = fleet.send(host, "GET", "/read/x", &[]).await;
            assert_eq!(response.map(|it| it.status), Some(200), "{}", fleet.log(host));
            late.arrivals().len() > before
        };
        fleet.wait_for("a server that registers later to be used", is_used).await;
    }
    assert!(registered.elapsed() < APPLY_LIMIT, "{:?}\n{}", registered.elapsed(), fleet.log(0));
    for host in 0..hosts {
        assert!(!fleet.has_exited(host), "{}", fleet.log(host));
    }
}

fn lines_with<'a>(log: &'a str, text: &'a str) -> impl Iterator<Item = &'a str> {
    log.lines().filter(move |line| line.contains(text))
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entry_does_not_keep_a_host_from_following_the_store(
    #[values("servers", "rollouts", "toucanwall-hosts", "toucanwall-crashes")] kind: &str,
    #[values(true, false)] is_listed: bool,
) {
    let sound = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &sound, "ready");
    if !is_listed {
        fleet.add_ready_host().await;
    }
    for (number, oddity) in Oddity::ALL.into_iter().enumerate() {
        let name = format!("{}{number}", oddity.name());
        fleet.store.put_raw(kind, &name, &oddity.text());
    }
    if is_listed {
        fleet.add_ready_host().await;
    }
    check_that_hosts_follow_the_store(&mut fleet, 1).await;
    let is_logged = async || lines_with(&fleet.log(0), "malformed").count() > 0;
    fleet.wait_for("the unreadable entries to be logged", is_logged).await;
    let log = fleet.log(0);
    let relisted = lines_with(&log, "listing the objects again").count();
    assert_eq!(relisted, 0, "{log}");
    let unreadable = lines_with(&log, "malformed").count();
    assert!(unreadable <= Oddity::ALL.len() * LOG_LINES_MAX, "{unreadable} lines\n{log}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entry_does_not_keep_hosts_from_following_the_store_through_relays(
    #[values(true, false)] is_listed: bool,
) {
    let sound = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &sound, "ready");
    let put_all = |fleet: &GatewayFleet| {
        for (number, oddity) in Oddity::ALL.into_iter().enumerate() {
            let name = format!("{}{number}", oddity.name());
            fleet.store.put_raw("servers", &name, &oddity.text());
        }
    };
    if is_listed {
        put_all(&fleet);
    }
    for _ in 0..RELAYED_HOSTS {
        fleet.add_ready_host().await;
    }
    let is_relayed = async || {
        (0..RELAYED_HOSTS).any(|it| fleet.log(it).contains("receiving changes from another host"))
    };
    fleet.wait_for("a host to follow another one", is_relayed).await;
    if !is_listed {
        put_all(&fleet);
        tokio::time::sleep(APPLY_LIMIT).await;
    }
    check_that_hosts_follow_the_store(&mut fleet, RELAYED_HOSTS).await;
    for host in 0..RELAYED_HOSTS {
        assert_eq!(lines_with(&fleet.log(host), "relay left").count(), 0, "{}", fleet.log(host));
    }
}

/// The next page begins after the last entry of the one before.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entry_does_not_keep_a_host_from_listing_the_next_page(
    #[values(1, 2, 3)] page_max: usize,
) {
    let sound = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.set_page_max(page_max);
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    for (number, oddity) in Oddity::NAMED.into_iter().enumerate() {
        let name = format!("a{number:02} odd\r\n&x=%00");
        let escaped = serde_json::Value::from(name.as_str()).to_string();
        let text = String::from_utf8_lossy(&oddity.text()).into_owned();
        let text = text.replace(&format!("\"{NAME}\""), &escaped).into_bytes();
        fleet.store.put_raw("servers", &name, &text);
    }
    fleet.register("desk", &sound, "ready");
    fleet.add_ready_host().await;
    let status = fleet.send(0, "GET", "/read/x", &[]).await.map(|it| it.status);
    assert_eq!(status, Some(200), "{}", fleet.log(0));
    check_that_hosts_follow_the_store(&mut fleet, 1).await;
}

/// A sound server whose entry turns unreadable is not used: the entry names no server.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_whose_entry_turns_unreadable_receives_no_requests() {
    let turned = backend::Backend::start("s-1", Behaviour::Respond).await;
    let sound = backend::Backend::start("s-2", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &turned), ("desk", &sound)]).await;
    fleet.store.put_raw("servers", "s-1", &object(&metadata("s-1"), &nested()));
    tokio::time::sleep(APPLY_LIMIT).await;
    let before = turned.arrivals().len();
    for _ in 0..20 {
        fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    }
    assert_eq!(turned.arrivals().len(), before, "{}", fleet.log(0));
}
