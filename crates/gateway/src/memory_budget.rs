//! Limits the memory that bytes of other processes take up together.
//!
//! Whatever is kept of a body or an event counts from its first byte until it has been passed on. If
//! all together would exceed the limit, the largest is given up, so that the others go on: a body that
//! is being read, the body of a request that its server does not read, or all that one caller has not
//! read.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;

use http_body_util::BodyExt as _;

/// Part of the memory of the host that the budget may take up, in percent. The rest is for the
/// process itself, and for the buffers of its connections.
const MEMORY_PERCENT: u64 = 20;
/// Limit of a host whose memory is not stated, in bytes.
const DEFAULT_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size of a response body in bytes.
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Size of the blocks in which a body is kept while it is read, in bytes. Blocks of one size are reused,
/// whereas a vector that grows leaves its former sizes behind.
const BLOCK_BYTES: usize = 64 * 1024;
/// Size from which a share may be given up for others, in bytes: giving up a small one helps nobody.
const EVICTABLE_BYTES: usize = 16 * 1024;

/// The memory for bytes of other processes; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    ledger: Arc<Ledger>,
}

#[derive(Debug)]
struct Ledger {
    limit_bytes: usize,
    accounts: Mutex<Accounts>,
    evictions: atomic::AtomicU64,
}

#[derive(Debug, Default)]
struct Accounts {
    used_bytes: usize,
    /// Bytes that are kept free for responses that are read on.
    reserved_bytes: usize,
    next_id: u64,
    /// Shares that may be given up for others, by id.
    evictable: collections::BTreeMap<u64, Evictable>,
}

#[derive(Debug)]
struct Evictable {
    bytes: usize,
    eviction: Arc<Eviction>,
}

/// Tells the holder of a share that it is given up.
#[derive(Debug, Default)]
struct Eviction {
    is_evicted: atomic::AtomicBool,
    notify: tokio::sync::Notify,
}

/// The part of the budget that one reader uses; returned when dropped.
#[derive(Debug)]
pub struct Share {
    ledger: Arc<Ledger>,
    id: u64,
    bytes: usize,
    eviction: Arc<Eviction>,
}

/// The memory is exceeded, and this reader uses the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("given up after {0} bytes, since the memory for bytes of other processes is exceeded")]
pub struct Exceeded(pub usize);

/// Why a body was not read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The connection failed or the body is malformed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The body is too large.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// The memory is exceeded.
    #[error("{0}")]
    Exceeded(#[from] Exceeded),
}

/// A body that is being read.
#[derive(Debug, Default)]
pub struct Blocks {
    /// Full blocks, and the one that is being filled.
    blocks: Vec<Vec<u8>>,
    len: usize,
}

/// Bytes together with their share of the budget.
struct CountedBytes {
    bytes: bytes::Bytes,
    /// Returned once the bytes are no longer used.
    _share: Share,
}

/// All that is held for one caller until it is written to the caller's connection; clones share it.
#[derive(Debug, Clone)]
pub struct Account(Arc<AccountState>);

#[derive(Debug)]
struct AccountState {
    share: Mutex<Share>,
    /// Notified when bytes have been written.
    released: tokio::sync::Notify,
}

/// Memory that is kept free until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    ledger: Arc<Ledger>,
    bytes: usize,
}

/// Bytes that count towards an account until they are dropped.
struct HeldBytes {
    bytes: bytes::Bytes,
    account: Account,
}

/// Resolves once the bytes of a share have to be given up.
#[derive(Debug, Clone)]
pub struct EvictionSignal(Arc<Eviction>);

impl MemoryBudget {
    /// Creates the budget of a host with this memory, if it is stated, in bytes.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let limit_bytes = memory_bytes
            .and_then(|bytes| usize::try_from(bytes / 100 * MEMORY_PERCENT).ok())
            .unwrap_or(DEFAULT_LIMIT_BYTES);
        let ledger = Ledger {
            limit_bytes,
            accounts: Mutex::default(),
            evictions: atomic::AtomicU64::new(0),
        };
        Self { ledger: Arc::new(ledger) }
    }

    /// Opens a share for one reader, which uses nothing yet.
    #[must_use]
    pub fn open_share(&self) -> Share {
        let mut accounts = self.ledger.lock();
        let id = accounts.next_id;
        accounts.next_id += 1;
        drop(accounts);
        Share { ledger: Arc::clone(&self.ledger), id, bytes: 0, eviction: Arc::default() }
    }

    /// Opens the account of a caller for which nothing is held yet.
    #[must_use]
    pub fn open_account(&self) -> Account {
        let share = Mutex::new(self.open_share());
        Account(Arc::new(AccountState { share, released: tokio::sync::Notify::new() }))
    }

    /// Reads a body of a response to its end. It counts towards the account of its caller from then on.
    ///
    /// # Errors
    /// [`ReadError`]; the rest of the body is not read.
    pub async fn read(
        &self,
        mut body: hyper::body::Incoming,
        account: &Account,
    ) -> Result<bytes::Bytes, ReadError> {
        let mut share = self.open_share();
        let mut blocks = Blocks::default();
        while let Some(frame) = share.unless_evicted(body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            if blocks.len() + data.len() > BODY_MAX_BYTES {
                return Err(ReadError::TooLarge(BODY_MAX_BYTES));
            }
            blocks.extend(&data);
            share.resize(blocks.allocated_bytes())?;
        }
        drop(share);
        Ok(account.hold(blocks.into_vec().into()))
    }

    /// Number of bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.ledger.lock().used_bytes
    }

    /// Number of shares that were given up so far.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.ledger.evictions.load(atomic::Ordering::Relaxed)
    }
}

impl Blocks {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Memory that the bytes take up.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.blocks.iter().map(Vec::capacity).sum()
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            match self.blocks.last_mut() {
                Some(last) if last.len() < BLOCK_BYTES => {
                    let fitting = bytes.len().min(BLOCK_BYTES - last.len());
                    last.extend_from_slice(&bytes[..fitting]);
                    bytes = &bytes[fitting..];
                }
                // The first block grows, since most bodies are small.
                Some(_) => self.blocks.push(Vec::with_capacity(BLOCK_BYTES)),
                None => self.blocks.push(Vec::new()),
            }
        }
    }

    /// All bytes in one piece.
    #[must_use]
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.blocks.len() > 1 {
            self.blocks.concat()
        } else {
            self.blocks.pop().unwrap_or_default()
        }
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives up the largest shares until the others fit. Returns false if the share `for_share` is the
    /// largest, or if there is none to give up.
    fn make_room(&self, accounts: &mut Accounts, for_share: Option<u64>) -> bool {
        while accounts.used_bytes > self.limit_bytes {
            let largest = accounts.largest().filter(|id| Some(*id) != for_share);
            let Some(id) = largest else { return false };
            accounts.evict(id);
            self.evictions.fetch_add(1, atomic::Ordering::Relaxed);
        }
        true
    }
}

impl Share {
    /// Changes the number of bytes that the reader keeps.
    ///
    /// # Errors
    /// [`Exceeded`] if the reader has to give up what it keeps.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let mut accounts = self.ledger.lock();
        if self.eviction.is_evicted.load(atomic::Ordering::Relaxed) {
            return Err(Exceeded(self.bytes));
        }
        accounts.used_bytes = accounts.used_bytes + bytes - self.bytes;
        let has_grown = bytes > self.bytes;
        self.bytes = bytes;
        if bytes >= EVICTABLE_BYTES {
            let eviction = Arc::clone(&self.eviction);
            accounts.evictable.insert(self.id, Evictable { bytes, eviction });
        } else {
            accounts.evictable.remove(&self.id);
        }
        if !has_grown || self.ledger.make_room(&mut accounts, Some(self.id)) {
            return Ok(());
        }
        self.ledger.evictions.fetch_add(1, atomic::Ordering::Relaxed);
        Err(Exceeded(bytes))
    }

    /// Counts more bytes. The share itself is given up if it is the largest and they do not fit.
    fn grow(&mut self, bytes: usize) {
        if self.resize(self.bytes + bytes).is_err() {
            self.ledger.lock().evict(self.id);
        }
    }

    /// Waits for `reading`, unless the reader has to give up what it keeps meanwhile.
    ///
    /// # Errors
    /// [`Exceeded`] if it has to.
    pub async fn unless_evicted<F>(&self, reading: F) -> Result<F::Output, Exceeded>
    where
        F: Future,
    {
        tokio::select! {
            biased;
            () = self.eviction.notify.notified() => Err(Exceeded(self.bytes)),
            output = reading => Ok(output),
        }
    }

    /// Hands over bytes that have been read and are passed on. They count until they are no longer
    /// used. Whoever uses them has to drop them once the signal resolves.
    #[must_use]
    pub fn keep<B>(self, bytes: B) -> (bytes::Bytes, EvictionSignal)
    where
        B: Into<bytes::Bytes>,
    {
        let signal = EvictionSignal(Arc::clone(&self.eviction));
        (bytes::Bytes::from_owner(CountedBytes { bytes: bytes.into(), _share: self }), signal)
    }
}

impl EvictionSignal {
    /// Waits until the bytes have to be given up.
    pub async fn evicted(&self) {
        while !self.0.is_evicted.load(atomic::Ordering::Relaxed) {
            self.0.notify.notified().await;
        }
        // Further waiters on the same signal.
        self.0.notify.notify_one();
    }
}

impl Account {
    /// Counts bytes until they are dropped. If they make the account the largest while the memory is
    /// exceeded, the account is given up.
    #[must_use]
    pub fn hold(&self, bytes: bytes::Bytes) -> bytes::Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        self.share().grow(bytes.len());
        bytes::Bytes::from_owner(HeldBytes { bytes, account: self.clone() })
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.share().bytes
    }

    /// Waits until less than `limit_bytes` are held.
    pub async fn wait_for_room(&self, limit_bytes: usize) {
        while self.held_bytes() >= limit_bytes {
            self.0.released.notified().await;
        }
    }

    /// Keeps memory free for more bytes of this account. If there is none, the account is given up.
    #[must_use]
    pub fn reserve_or_give_up(&self, bytes: usize) -> Option<Reservation> {
        let share = self.share();
        let mut accounts = share.ledger.lock();
        if accounts.used_bytes + accounts.reserved_bytes + bytes > share.ledger.limit_bytes {
            accounts.evict(share.id);
            share.ledger.evictions.fetch_add(1, atomic::Ordering::Relaxed);
            return None;
        }
        accounts.reserved_bytes += bytes;
        Some(Reservation { ledger: Arc::clone(&share.ledger), bytes })
    }

    /// Waits until the account has to be given up; returns the bytes that it held.
    pub async fn evicted(&self) -> usize {
        let signal = EvictionSignal(Arc::clone(&self.share().eviction));
        signal.evicted().await;
        self.held_bytes()
    }

    fn share(&self) -> MutexGuard<'_, Share> {
        self.0.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Accounts {
    /// The share that uses the most.
    fn largest(&self) -> Option<u64> {
        let largest = self.evictable.iter().max_by_key(|(_, evictable)| evictable.bytes);
        largest.map(|(id, _)| *id)
    }

    /// Tells the holder of a share to drop what it keeps, which it does when it runs next.
    fn evict(&mut self, id: u64) {
        if let Some(evicted) = self.evictable.remove(&id) {
            self.used_bytes -= evicted.bytes;
            evicted.eviction.is_evicted.store(true, atomic::Ordering::Relaxed);
            evicted.eviction.notify.notify_one();
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut accounts = self.ledger.lock();
        if !self.eviction.is_evicted.load(atomic::Ordering::Relaxed) {
            accounts.used_bytes -= self.bytes;
            accounts.evictable.remove(&self.id);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.ledger.lock().reserved_bytes -= self.bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut share = self.account.share();
        let left_bytes = share.bytes.saturating_sub(self.bytes.len());
        // Fails if the account is given up, which counts for nothing any more.
        if share.resize(left_bytes).is_err() {
            share.bytes = left_bytes;
        }
        drop(share);
        self.account.0.released.notify_one();
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
