//! Messages and stored objects of an earlier build, which hosts of that build send while they are
//! replaced one by one: each is decoded to the same value and encoded again to the same bytes.

use std::collections;
use std::fmt;
use std::net;
use std::sync::Arc;

use rstest::rstest;
use serde::Serialize;
use serde::de;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::lease;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::message as ledger;
use toucanwall_coordination::ledger::state;
use toucanwall_coordination::membership;
use toucanwall_coordination::parts;
use toucanwall_coordination::platform;
use toucanwall_coordination::registry;
use toucanwall_coordination::replica;
use toucanwall_core::envelope;
use toucanwall_core::message;
use toucanwall_core::session;
use toucanwall_document::name;

/// One encoded value a line: its name, then its bytes in hexadecimal digits.
const RECORDED: &str = include_str!("recorded/values.txt");

const HOST: identity::HostId = identity::HostId(0x0123_4567_89ab_cdef);

/// How a value is encoded.
#[derive(Debug, Clone, Copy)]
enum Format {
    Postcard,
    Json,
}

fn check<T>(name: &str, format: Format, value: &T)
where
    T: Serialize + de::DeserializeOwned + PartialEq + fmt::Debug,
{
    let recorded = recorded(name);
    let (encoded, decoded) = match format {
        Format::Postcard => (
            postcard::to_stdvec(value).expect("the value is encoded"),
            postcard::from_bytes::<T>(&recorded).map_err(|error| error.to_string()),
        ),
        Format::Json => (
            serde_json::to_vec(value).expect("the value is encoded"),
            serde_json::from_slice::<T>(&recorded).map_err(|error| error.to_string()),
        ),
    };
    assert_eq!(hex::encode(encoded), hex::encode(recorded), "{name} is encoded in another way");
    assert_eq!(decoded.as_ref(), Ok(value), "{name} is decoded to another value");
}

fn recorded(name: &str) -> Vec<u8> {
    let line = RECORDED.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    hex::decode(line.unwrap_or_default()).expect("hexadecimal digits")
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::new(10, 1, 0, 7), port))
}

fn records() -> Vec<membership::Record> {
    use membership::Status;
    let states = [Status::Alive, Status::Leaving, Status::Suspect, Status::Dead];
    let record = |status| membership::Record {
        info: identity::HostInfo {
            id: HOST,
            started_ms: 1_700_000_000_000,
            peer_address: address(7_200),
            caller_address: address(7_100),
            data_centre: Arc::from("dc-1"),
            region: Arc::from("region"),
        },
        incarnation: 3,
        status,
        leaving: status == Status::Leaving,
    };
    states.map(record).into()
}

fn bill(ending: entry::Ending) -> entry::Bill {
    entry::Bill {
        id: entry::BillId { host: HOST, number: 9 },
        organisation: Arc::from("org"),
        item: Arc::from("small@1"),
        tokens: 120,
        cost_microcents: 4_500,
        ending,
    }
}

fn answer() -> entry::KeptAnswer {
    entry::KeptAnswer {
        status: 201,
        content_type: Arc::from("text/plain"),
        body: Some(Arc::from(*b"done")),
    }
}

fn claim() -> (entry::ClaimKey, entry::ClaimId) {
    (entry::ClaimKey(0x1122_3344), entry::ClaimId { host: HOST, number: 4 })
}

fn entries() -> Vec<entry::Entry> {
    let (key, claim) = claim();
    vec![
        entry::Entry::Claim { key, claim, content: 77 },
        entry::Entry::Settle { key, claim, answer: answer() },
        entry::Entry::Release { key: entry::ClaimKey(5), claim },
        entry::Entry::Bill(bill(entry::Ending::Answered)),
        entry::Entry::Bill(bill(entry::Ending::Failed)),
        entry::Entry::Bill(bill(entry::Ending::Interrupted)),
    ]
}

fn batch() -> entry::Batch {
    entry::Batch { owner: HOST, nonce: 42, at_s: 1_700_000_000, entries: entries() }
}

fn objects() -> Vec<platform::Object> {
    let value = Arc::from(*b"{}");
    vec![platform::Object { key: "status/servers/a".to_owned(), version: 12, value }]
}

fn change() -> replica::Change {
    let text = |text: &str| -> Arc<str> { Arc::from(text) };
    replica::Change {
        revision: 8,
        author: text("author"),
        reason: text("reason"),
        at_ms: 1_700_000_000_123,
        nonce: 99,
        difference: parts::Difference {
            set: [(text("models/small"), text("{}"))].into(),
            removed: [text("models/large")].into(),
        },
        digest: 1_234,
    }
}

fn snapshot() -> replica::Snapshot {
    let parts = [(Arc::from("models/small"), Arc::from("{}"))];
    replica::Snapshot { revision: 8, parts: parts::Parts(parts.into()) }
}

fn position() -> message::Position {
    message::Position {
        revision: 8,
        confirmation: Some(freshness::Confirmation { age_ms: 5, hosts: 6, hosts_age_ms: 7 }),
        status: registry::Position { version: 12, digest: 13 },
    }
}

#[rstest]
fn membership_messages_are_those_of_the_earlier_build() {
    use membership::Message;
    let messages = [
        Message::Ping { target: HOST, nonce: 1, updates: records() },
        Message::Ack { nonce: 1, updates: records() },
        Message::PingRequest { nonce: 2, target: HOST },
        Message::Sync { records: records(), wants_reply: true },
    ];
    for (index, message) in messages.into_iter().enumerate() {
        let message = message::Message::Gossip { message, position: position() };
        check(&format!("membership-{index}"), Format::Postcard, &message);
    }
}

#[rstest]
fn configuration_and_status_messages_are_those_of_the_earlier_build() {
    use message::Message;
    let messages = [
        Message::Replica(replica::Message::Fetch { have: 7 }),
        Message::Replica(replica::Message::Changes(vec![change()])),
        Message::Replica(replica::Message::Snapshot(snapshot())),
        Message::Registry(registry::Message::Fetch { after: 11 }),
        Message::Registry(registry::Message::Objects(objects())),
        Message::Implicated { content: 77, server: address(9_000) },
    ];
    for (index, message) in messages.iter().enumerate() {
        check(&format!("configuration-{index}"), Format::Postcard, message);
    }
}

#[rstest]
fn ledger_messages_are_those_of_the_earlier_build() {
    use entry::Verdict;
    let verdicts = [
        Verdict::Granted,
        Verdict::InProgress,
        Verdict::AlreadySettled(answer()),
        Verdict::ContentDiffers,
        Verdict::Released,
        Verdict::Settled,
        Verdict::Billed,
        Verdict::Full,
    ];
    let decided = (1..).zip(verdicts).map(|(number, verdict)| ledger::Decided { number, verdict });
    let submissions =
        (1..).zip(entries()).map(|(number, entry)| ledger::Submission { number, entry });
    let notes = vec![
        ledger::Note::Opened { number: 9, organisation: Arc::from("org") },
        ledger::Note::Billed(bill(entry::Ending::Answered)),
        ledger::Note::Closed { number: 9 },
    ];
    let messages = [
        ledger::Message::Submit { shard: 3, submissions: submissions.collect() },
        ledger::Message::Verdicts { to: HOST, decided: decided.collect() },
        ledger::Message::Notes { term: 2, sequence: 5, notes },
        ledger::Message::NotesKept { to: HOST, sequence: 5 },
        ledger::Message::Forget { term: 2 },
        ledger::Message::Forgotten { to: HOST, term: 2 },
    ];
    for (index, message) in messages.into_iter().enumerate() {
        check(&format!("ledger-{index}"), Format::Postcard, &message::Message::Ledger(message));
    }
}

#[rstest]
fn stored_objects_are_those_of_the_earlier_build() {
    check("batch", Format::Postcard, &batch());
    let mut shard = state::ShardState::default();
    let verdicts = shard.apply(&batch());
    assert_eq!(verdicts.len(), entries().len());
    check("checkpoint", Format::Postcard, &shard);
    let record = lease::LeaseRecord { holder: HOST, fencing: 3, renewals: 14 };
    check("lease", Format::Postcard, &record);
    check("change", Format::Json, &change());
    check("snapshot", Format::Json, &snapshot());
}

#[rstest]
fn signed_messages_and_session_tokens_are_those_of_the_earlier_build() {
    let keys = envelope::Keys::try_from("1:a-secret-of-the-hosts").expect("keys");
    let message = message::Message::Replica(replica::Message::Fetch { have: 7 });
    let opened = envelope::Opened { sender: HOST, from: address(7_200), message };
    let sealed = recorded("envelope");
    assert_eq!(hex::encode(envelope::seal(&keys, &opened)), hex::encode(&sealed));
    assert_eq!(envelope::open(&keys, &sealed).as_ref(), Ok(&opened));

    let named = |text: &str| name::Name::try_from(text).expect("a name");
    let token = session::Token {
        organisation: named("org"),
        session_hash: 31,
        pins: collections::BTreeMap::from([(named("small"), named("1"))]),
    };
    let text = String::from_utf8(recorded("token")).expect("text");
    assert_eq!(&*token.seal(&keys), text);
    assert_eq!(session::Token::open(&keys, &text).as_ref(), Ok(&token));
}
