//! Tests of the backup of open requests across changes of the backup host.

use std::sync::Arc;

use rstest::rstest;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::message;

const ORIGIN: identity::HostId = identity::HostId(1);
const FIRST_BACKUP: identity::HostId = identity::HostId(2);
const SECOND_BACKUP: identity::HostId = identity::HostId(3);

/// Delivers due updates from the sender to the store and acknowledges them; returns whether
/// there were any.
fn replicate(
    sender: &mut backup::BackupSender,
    store: &mut backup::BackupStore,
    now_ms: u64,
) -> bool {
    let Some((to, message::Message::BackupUpdates { term, sequence, updates: sent })) =
        sender.due_updates(now_ms)
    else {
        return false;
    };
    assert!(store.store(ORIGIN, term, sequence, sent));
    sender.handle_ack(to, sequence);
    true
}

#[rstest]
fn former_backup_discards_only_after_new_backup_stored_everything() {
    let (mut sender, mut first, mut second) =
        (backup::BackupSender::new(), backup::BackupStore::new(), backup::BackupStore::new());
    sender.set_backup(Some(FIRST_BACKUP));
    sender.open(0, Arc::from("org"));
    assert_eq!(sender.backup_state(0), backup::BackupState::Pending);
    assert!(replicate(&mut sender, &mut first, 0));
    assert_eq!(sender.backup_state(0), backup::BackupState::Stored);
    sender.set_backup(Some(SECOND_BACKUP));
    assert!(sender.due_discards(1).is_empty());
    assert!(replicate(&mut sender, &mut second, 2));
    let discards = sender.due_discards(3);
    let [(FIRST_BACKUP, message::Message::DiscardBackup { term })] = discards.as_slice() else {
        panic!("{discards:?}")
    };
    first.discard(ORIGIN, *term);
    assert_eq!((first.len(), second.len()), (0, 1));
}

#[rstest]
fn delayed_discard_keeps_requests_of_later_term() {
    let (mut sender, mut first) = (backup::BackupSender::new(), backup::BackupStore::new());
    let mut second = backup::BackupStore::new();
    sender.open(0, Arc::from("org"));
    sender.set_backup(Some(FIRST_BACKUP));
    assert!(replicate(&mut sender, &mut first, 0));
    sender.set_backup(Some(SECOND_BACKUP));
    assert!(replicate(&mut sender, &mut second, 1));
    let discards = sender.due_discards(2);
    let [(_, message::Message::DiscardBackup { term })] = discards.as_slice() else {
        panic!("{discards:?}")
    };
    sender.set_backup(Some(FIRST_BACKUP));
    assert!(replicate(&mut sender, &mut first, 3));
    first.discard(ORIGIN, *term);
    assert_eq!(first.len(), 1);
}

#[rstest]
fn updates_from_host_already_considered_lost_are_billed() {
    let (mut sender, mut store) = (backup::BackupSender::new(), backup::BackupStore::new());
    sender.set_backup(Some(FIRST_BACKUP));
    store.update_lost_hosts(|_| true, 0);
    sender.open(0, Arc::from("org"));
    assert!(replicate(&mut sender, &mut store, 1));
    store.update_lost_hosts(|_| true, 2);
    assert!(store.take_orphan_bills(backup::ORPHAN_DELAY_MS, 3).is_empty());
    let bills = store.take_orphan_bills(backup::ORPHAN_DELAY_MS, 2 + backup::ORPHAN_DELAY_MS);
    assert_eq!(bills.iter().map(|bill| bill.id.number).collect::<Vec<_>>(), [0]);
    assert!(store.is_empty());
}

#[rstest]
fn backup_is_unavailable_without_other_hosts() {
    let mut sender = backup::BackupSender::new();
    sender.open(0, Arc::from("org"));
    assert_eq!(sender.backup_state(0), backup::BackupState::Unavailable);
}
