//! Copies of open requests: what a keeper holds through changes of backup.

use std::sync::Arc;

use rstest::rstest;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::message;

const ORIGIN: identity::HostId = identity::HostId(1);
const FIRST: identity::HostId = identity::HostId(2);
const SECOND: identity::HostId = identity::HostId(3);

/// Sends what is due from the notes to the vault; returns whether anything was.
fn pass(notes: &mut backup::Notes, vault: &mut backup::Vault, now_ms: u64) -> bool {
    let Some((to, message::Message::Notes { term, sequence, notes: sent })) = notes.due(now_ms)
    else {
        return false;
    };
    assert!(vault.keep(ORIGIN, term, sequence, sent));
    notes.kept(to, sequence);
    true
}

#[rstest]
fn a_former_backup_forgets_only_once_the_new_one_has_everything() {
    let (mut notes, mut first, mut second) =
        (backup::Notes::new(), backup::Vault::new(), backup::Vault::new());
    notes.set_backup(Some(FIRST));
    notes.open(0, Arc::from("org"));
    assert_eq!(notes.copy_of(0), backup::CopyState::Awaited);
    assert!(pass(&mut notes, &mut first, 0));
    assert_eq!(notes.copy_of(0), backup::CopyState::Kept);
    notes.set_backup(Some(SECOND));
    assert!(notes.due_to_forget(1).is_empty());
    assert!(pass(&mut notes, &mut second, 2));
    let forget = notes.due_to_forget(3);
    let [(FIRST, message::Message::Forget { term })] = forget.as_slice() else {
        panic!("{forget:?}")
    };
    first.forget(ORIGIN, *term);
    assert_eq!((first.len(), second.len()), (0, 1));
}

#[rstest]
fn a_late_word_to_forget_spares_a_later_term() {
    let (mut notes, mut first) = (backup::Notes::new(), backup::Vault::new());
    let mut second = backup::Vault::new();
    notes.open(0, Arc::from("org"));
    notes.set_backup(Some(FIRST));
    assert!(pass(&mut notes, &mut first, 0));
    notes.set_backup(Some(SECOND));
    assert!(pass(&mut notes, &mut second, 1));
    let forget = notes.due_to_forget(2);
    let [(_, message::Message::Forget { term })] = forget.as_slice() else { panic!("{forget:?}") };
    notes.set_backup(Some(FIRST));
    assert!(pass(&mut notes, &mut first, 3));
    first.forget(ORIGIN, *term);
    assert_eq!(first.len(), 1);
}

#[rstest]
fn notes_of_a_host_that_counts_as_lost_already_are_billed() {
    let (mut notes, mut vault) = (backup::Notes::new(), backup::Vault::new());
    notes.set_backup(Some(FIRST));
    vault.note_lost(|_| true, 0);
    notes.open(0, Arc::from("org"));
    assert!(pass(&mut notes, &mut vault, 1));
    vault.note_lost(|_| true, 2);
    assert!(vault.orphans(backup::ORPHAN_DELAY_MS, 3).is_empty());
    let bills = vault.orphans(backup::ORPHAN_DELAY_MS, 2 + backup::ORPHAN_DELAY_MS);
    assert_eq!(bills.iter().map(|bill| bill.id.number).collect::<Vec<_>>(), [0]);
    assert!(vault.is_empty());
}

#[rstest]
fn a_host_without_others_has_no_copy_and_knows_it() {
    let mut notes = backup::Notes::new();
    notes.open(0, Arc::from("org"));
    assert_eq!(notes.copy_of(0), backup::CopyState::Nowhere);
}
