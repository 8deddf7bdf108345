//! The memory that a daemon holds for its connections: what is paused, and what is shed.
//!
//! Everything that a connection makes the daemon hold counts against one budget. From three
//! quarters of it on, nothing more is read from the connections that hold most; what does not fit
//! all the same is shed. Nothing here reads a clock or a socket.
//! `docs/design/memory-budget.md` has the figures and the alternatives.

use shaleline_types::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The part of an instance's memory that is held for connections: a quarter. On an instance of
/// 120 MB, that and the 12.4 MB of an idle daemon stay under the 64 MB that a daemon may have at its
/// peak, with room for copies that are made of what is held.
const MEMORY_PART: usize = 4;

/// The most that is held, however large the instance is: the peak of 64 MB holds on all of them.
const MAX_BYTES: usize = 32 << 20;

/// What is held on an instance whose memory is not known: the part of one of 96 MB.
const DEFAULT_BYTES: usize = 24 << 20;

/// The part of the budget from which on connections are paused.
const PAUSE_PART: (usize, usize) = (3, 4);

/// The part of the budget that one answer may take. It is held twice while its pieces are joined.
const ANSWER_PART: usize = 4;

/// What the daemon holds bytes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// The head and body of a request that is being read.
    Reading,
    /// A request that was read and not sent yet.
    Waiting,
    /// A request that was sent and may have to be sent again.
    Sent,
    /// An answer that is being collected.
    Answer,
    /// Answers and events that their caller has not read yet.
    Unread,
    /// Both directions of a tunnel.
    Tunnel,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Reading,
        Self::Waiting,
        Self::Sent,
        Self::Answer,
        Self::Unread,
        Self::Tunnel,
    ];

    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answer => "answer",
            Self::Unread => "unread",
            Self::Tunnel => "tunnel",
        }
    }
}

/// Identifies a connection among those of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(pub u64);

/// The load of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryLevel {
    /// Nothing is paused.
    Normal,
    /// The connections that hold most are paused.
    Pausing,
    /// More is held than the budget allows; see [`MemoryBudget::excess`].
    Shedding,
}

/// What to shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shed {
    /// Reject this request, which was not sent.
    Request(Holder),
    /// Abort the stream of this caller, which does not read it.
    Stream(Holder),
}

#[derive(Debug)]
struct Account {
    bytes: [usize; MemoryKind::ALL.len()],
    /// When its caller last read something, or when it began to hold something.
    last_read: Millis,
}

impl Account {
    fn get(&self, kind: MemoryKind) -> usize {
        self.bytes[kind as usize]
    }

    fn sum(&self) -> usize {
        self.bytes.iter().sum()
    }
}

/// The bytes that a daemon holds, by connection and kind.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    accounts: BTreeMap<Holder, Account>,
    totals: [usize; MemoryKind::ALL.len()],
}

impl MemoryBudget {
    /// Creates the budget of an instance with this memory in megabytes, if that is known.
    #[must_use]
    pub fn for_instance(memory_mb: Option<u64>) -> Self {
        let part = memory_mb.map(|mb| {
            let mb = usize::try_from(mb).unwrap_or(usize::MAX);
            (mb / MEMORY_PART).saturating_mul(1 << 20).min(MAX_BYTES)
        });
        Self::new(part.unwrap_or(DEFAULT_BYTES))
    }

    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            accounts: BTreeMap::new(),
            totals: Default::default(),
        }
    }

    /// Returns the budget in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the most bytes that one answer may have.
    #[must_use]
    pub fn answer_limit(&self) -> usize {
        self.limit / ANSWER_PART
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.totals.iter().sum()
    }

    /// Returns the number of bytes of a kind that are held.
    #[must_use]
    pub fn held_by(&self, kind: MemoryKind) -> usize {
        self.totals[kind as usize]
    }

    /// Returns the number of bytes that a connection holds.
    #[must_use]
    pub fn held_for(&self, holder: Holder) -> usize {
        self.accounts.get(&holder).map_or(0, Account::sum)
    }

    /// Records that a connection holds more bytes.
    pub fn hold(&mut self, holder: Holder, kind: MemoryKind, bytes: usize, now: Millis) {
        if bytes == 0 {
            return;
        }
        let account = self.accounts.entry(holder).or_insert_with(|| Account {
            bytes: Default::default(),
            last_read: now,
        });
        // A caller that had nothing to read was not slow.
        if kind == MemoryKind::Unread && account.get(kind) == 0 {
            account.last_read = now;
        }
        account.bytes[kind as usize] += bytes;
        self.totals[kind as usize] += bytes;
    }

    /// Records that a connection holds fewer bytes.
    pub fn release(&mut self, holder: Holder, kind: MemoryKind, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&holder) else {
            return;
        };
        let released = bytes.min(account.get(kind));
        account.bytes[kind as usize] -= released;
        self.totals[kind as usize] -= released;
        if account.sum() == 0 {
            self.accounts.remove(&holder);
        }
    }

    /// Records that a caller has read bytes of its answer.
    pub fn on_read(&mut self, holder: Holder, bytes: usize, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.last_read = now;
        }
        self.release(holder, MemoryKind::Unread, bytes);
    }

    /// Records that bytes are held for another reason, such as a request that is sent.
    pub fn move_to(&mut self, holder: Holder, from: MemoryKind, to: MemoryKind, now: Millis) {
        let bytes = self.accounts.get(&holder).map_or(0, |a| a.get(from));
        self.hold(holder, to, bytes, now);
        self.release(holder, from, bytes);
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, holder: Holder) {
        let Some(account) = self.accounts.remove(&holder) else {
            return;
        };
        for (total, bytes) in self.totals.iter_mut().zip(account.bytes) {
            *total -= bytes;
        }
    }

    /// Returns the load of the budget.
    #[must_use]
    pub fn level(&self) -> MemoryLevel {
        let held = self.held();
        if held > self.limit {
            MemoryLevel::Shedding
        } else if held >= self.pause_bytes() {
            MemoryLevel::Pausing
        } else {
            MemoryLevel::Normal
        }
    }

    fn pause_bytes(&self) -> usize {
        let (part, whole) = PAUSE_PART;
        self.limit / whole * part
    }

    /// Returns whether nothing more is read from a connection for now. From three quarters of the
    /// budget on, these are the connections that hold at least an equal share of that amount: at
    /// least one does, and those that go on hold less together.
    #[must_use]
    pub fn is_paused(&self, holder: Holder) -> bool {
        let held = self.held_for(holder);
        held > 0
            && self.level() >= MemoryLevel::Pausing
            && held.saturating_mul(self.accounts.len()) >= self.pause_bytes()
    }

    /// Returns whether a new request with a body of this length may be read. These are shed first:
    /// nothing was spent on them yet, and their callers can go elsewhere at once.
    #[must_use]
    pub fn admits(&self, body: usize) -> bool {
        body == 0 || self.held().saturating_add(body) <= self.limit
    }

    /// Returns the number of bytes that are held beyond the budget.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.held().saturating_sub(self.limit)
    }

    /// Returns what to shed so that the rest fits, in this order: requests that were not sent, the
    /// largest first, so that few callers are rejected; then streams of the callers that have read
    /// nothing for longest. Sent requests and answers that are being collected are left: they may
    /// have run. The caller ends each of them with [`Self::close`].
    #[must_use]
    pub fn to_shed(&self) -> Vec<Shed> {
        let mut excess = self.excess();
        let unsent = |a: &Account| a.get(MemoryKind::Reading) + a.get(MemoryKind::Waiting);
        let mut shed = Vec::new();
        if excess == 0 {
            return shed;
        }
        let mut requests = self.select(|a| unsent(a) > 0);
        requests.sort_by_key(|(_, a)| Reverse(unsent(a)));
        let mut streams = self.select(|a| a.get(MemoryKind::Unread) > 0 && unsent(a) == 0);
        streams.sort_by_key(|(_, a)| a.last_read);
        let requests = requests.into_iter().map(|(h, a)| (Shed::Request(h), a));
        let streams = streams.into_iter().map(|(h, a)| (Shed::Stream(h), a));
        for (what, account) in requests.chain(streams) {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(account.sum());
            shed.push(what);
        }
        shed
    }

    fn select(&self, wanted: impl Fn(&Account) -> bool) -> Vec<(Holder, &Account)> {
        let accounts = self.accounts.iter().filter(|(_, a)| wanted(a));
        accounts.map(|(h, a)| (*h, a)).collect()
    }
}
