//! Compatibility of messages and stored objects with an earlier build.
//!
//! Hosts are replaced one by one, so hosts of both builds exchange messages and share the stored
//! objects meanwhile. Each recorded value must be decoded to the same value as before and encoded
//! to the same bytes.

use std::collections;
use std::fmt;
use std::net;
use std::sync::Arc;

use rstest::rstest;
use serde::Serialize;
use serde::de;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::lease;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::message as ledger;
use toucanwall_coordination::ledger::state;
use toucanwall_coordination::membership;
use toucanwall_coordination::parts;
use toucanwall_coordination::platform;
use toucanwall_coordination::status_replica;
use toucanwall_core::envelope;
use toucanwall_core::message;
use toucanwall_core::session;
use toucanwall_document::name;

/// Values encoded by the earlier build: one per line, its name and then its bytes in hexadecimal.
const RECORDED_VALUES: &str = include_str!("recorded/values.txt");

const HOST: identity::HostId = identity::HostId(0x0123_4567_89ab_cdef);

/// The encoding of a value.
#[derive(Debug, Clone, Copy)]
enum Format {
    Postcard,
    Json,
}

/// Asserts that a value is encoded to the recorded bytes and that they are decoded to the value.
fn assert_matches_recorded<T>(name: &str, format: Format, value: &T)
where
    T: Serialize + de::DeserializeOwned + PartialEq + fmt::Debug,
{
    let recorded = recorded_bytes(name);
    let (encoded, decoded) = match format {
        Format::Postcard => (
            postcard::to_stdvec(value).expect("the value can be encoded"),
            postcard::from_bytes::<T>(&recorded).map_err(|error| error.to_string()),
        ),
        Format::Json => (
            serde_json::to_vec(value).expect("the value can be encoded"),
            serde_json::from_slice::<T>(&recorded).map_err(|error| error.to_string()),
        ),
    };
    assert_eq!(hex::encode(encoded), hex::encode(recorded), "{name} is encoded differently");
    assert_eq!(decoded.as_ref(), Ok(value), "{name} is decoded to a different value");
}

/// Returns the recorded bytes with the given name; they are empty if there is no such name.
fn recorded_bytes(name: &str) -> Vec<u8> {
    let line = RECORDED_VALUES.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    hex::decode(line.unwrap_or_default()).expect("the recorded value is hexadecimal")
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::new(10, 1, 0, 7), port))
}

fn membership_records() -> Vec<membership::Record> {
    use membership::Status;
    let statuses = [Status::Alive, Status::Leaving, Status::Suspect, Status::Dead];
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
    statuses.map(record).into()
}

fn bill(outcome: entry::RequestOutcome) -> entry::Bill {
    entry::Bill {
        id: entry::BillId { host: HOST, number: 9 },
        organisation: Arc::from("org"),
        item: Arc::from("small@1"),
        tokens: 120,
        cost_microcents: 4_500,
        outcome,
    }
}

fn stored_response() -> entry::StoredResponse {
    entry::StoredResponse {
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
        entry::Entry::Claim { key, claim, content_digest: 77 },
        entry::Entry::Settle { key, claim, response: stored_response() },
        entry::Entry::Release { key: entry::ClaimKey(5), claim },
        entry::Entry::Bill(bill(entry::RequestOutcome::Answered)),
        entry::Entry::Bill(bill(entry::RequestOutcome::Failed)),
        entry::Entry::Bill(bill(entry::RequestOutcome::Interrupted)),
    ]
}

fn batch() -> entry::Batch {
    entry::Batch { owner: HOST, nonce: 42, at_s: 1_700_000_000, entries: entries() }
}

fn status_objects() -> Vec<platform::Object> {
    let value = Arc::from(*b"{}");
    vec![platform::Object { key: "status/servers/a".to_owned(), version: 12, value }]
}

fn change() -> config_replica::Change {
    let text = |text: &str| -> Arc<str> { Arc::from(text) };
    config_replica::Change {
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

fn snapshot() -> config_replica::Snapshot {
    let parts = [(Arc::from("models/small"), Arc::from("{}"))];
    config_replica::Snapshot { revision: 8, parts: parts::Parts(parts.into()) }
}

fn position() -> message::Position {
    message::Position {
        revision: 8,
        confirmation: Some(freshness::Confirmation {
            age_ms: 5,
            peak_hosts: 6,
            peak_hosts_age_ms: 7,
        }),
        status: status_replica::Position { version: 12, digest: 13 },
    }
}

#[rstest]
fn membership_messages_keep_their_encoding() {
    use membership::Message;
    let messages = [
        Message::Ping { target: HOST, nonce: 1, updates: membership_records() },
        Message::Ack { nonce: 1, updates: membership_records() },
        Message::PingRequest { nonce: 2, target: HOST },
        Message::Sync { records: membership_records(), wants_reply: true },
    ];
    for (index, message) in messages.into_iter().enumerate() {
        let message = message::Message::Gossip { message, position: position() };
        assert_matches_recorded(&format!("membership-{index}"), Format::Postcard, &message);
    }
}

#[rstest]
fn configuration_and_status_messages_keep_their_encoding() {
    use message::Message;
    let messages = [
        Message::Configuration(config_replica::Message::Fetch { known_revision: 7 }),
        Message::Configuration(config_replica::Message::Changes(vec![change()])),
        Message::Configuration(config_replica::Message::Snapshot(snapshot())),
        Message::Status(status_replica::Message::Fetch { after: 11 }),
        Message::Status(status_replica::Message::Objects(status_objects())),
        Message::CrashReport { content_digest: 77, server: address(9_000) },
    ];
    for (index, message) in messages.iter().enumerate() {
        assert_matches_recorded(&format!("configuration-{index}"), Format::Postcard, message);
    }
}

#[rstest]
fn ledger_messages_keep_their_encoding() {
    use entry::EntryOutcome;
    let outcomes = [
        EntryOutcome::Granted,
        EntryOutcome::InProgress,
        EntryOutcome::AlreadySettled(stored_response()),
        EntryOutcome::ContentMismatch,
        EntryOutcome::Released,
        EntryOutcome::Settled,
        EntryOutcome::Billed,
        EntryOutcome::Full,
    ];
    let submission_outcomes =
        (1..).zip(outcomes).map(|(number, outcome)| ledger::SubmissionOutcome { number, outcome });
    let submissions =
        (1..).zip(entries()).map(|(number, entry)| ledger::Submission { number, entry });
    let updates = vec![
        ledger::BackupUpdate::Opened { number: 9, organisation: Arc::from("org") },
        ledger::BackupUpdate::Billed(bill(entry::RequestOutcome::Answered)),
        ledger::BackupUpdate::Closed { number: 9 },
    ];
    let messages = [
        ledger::Message::Submit { shard: 3, submissions: submissions.collect() },
        ledger::Message::Outcomes { to: HOST, outcomes: submission_outcomes.collect() },
        ledger::Message::BackupUpdates { term: 2, sequence: 5, updates },
        ledger::Message::BackupUpdatesStored { to: HOST, sequence: 5 },
        ledger::Message::DiscardBackup { term: 2 },
        ledger::Message::BackupDiscarded { to: HOST, term: 2 },
    ];
    for (index, message) in messages.into_iter().enumerate() {
        assert_matches_recorded(
            &format!("ledger-{index}"),
            Format::Postcard,
            &message::Message::Ledger(message),
        );
    }
}

#[rstest]
fn stored_objects_keep_their_encoding() {
    assert_matches_recorded("batch", Format::Postcard, &batch());
    let mut shard = state::ShardState::default();
    let outcomes = shard.apply(&batch());
    assert_eq!(outcomes.len(), entries().len());
    assert_matches_recorded("checkpoint", Format::Postcard, &shard);
    let record = lease::LeaseRecord { holder: HOST, fencing_token: 3, renewals: 14 };
    assert_matches_recorded("lease", Format::Postcard, &record);
    assert_matches_recorded("change", Format::Json, &change());
    assert_matches_recorded("snapshot", Format::Json, &snapshot());
}

#[rstest]
fn signed_messages_and_session_tokens_keep_their_encoding() {
    let keys = envelope::Keys::try_from("1:a-secret-of-the-hosts").expect("the keys are valid");
    let message =
        message::Message::Configuration(config_replica::Message::Fetch { known_revision: 7 });
    let envelope = envelope::Envelope { sender: HOST, from: address(7_200), message };
    let signed = recorded_bytes("envelope");
    assert_eq!(hex::encode(envelope::sign(&keys, &envelope)), hex::encode(&signed));
    assert_eq!(envelope::verify(&keys, &signed).as_ref(), Ok(&envelope));

    let parse_name = |text: &str| name::Name::try_from(text).expect("the name is valid");
    let token = session::Token {
        organisation: parse_name("org"),
        session_hash: 31,
        pins: collections::BTreeMap::from([(parse_name("small"), parse_name("1"))]),
    };
    let text = String::from_utf8(recorded_bytes("token")).expect("the token is UTF-8");
    assert_eq!(&*token.sign(&keys), text);
    assert_eq!(session::Token::verify(&keys, &text).as_ref(), Ok(&token));
}
