//! Messages from edges to storage machines, and between storage machines. Messages to the core are in
//! [`announce`](crate::announce).

use speedy::{Readable, Writable};

use crate::budget::Reservation;
pub use crate::codec::{MessageError, decode, encode};
use crate::turn::TurnRecord;
use crate::view::StorageView;

/// View under which a request was sent, and the disk it addresses.
///
/// A machine that has a newer view, or runs on another disk, refuses the request. So a sender with an old view cannot
/// write after a change of the membership, and a machine whose disk was wiped is not mistaken for the earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct FencingToken {
    /// Epoch of the sender's view.
    pub epoch: u64,
    /// Identity of the disk that the sender expects at the address.
    pub disk: u64,
}

/// Final number of tokens that a turn consumes of its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Settlement {
    /// [`Reservation::id`] of the turn's reservation.
    pub reservation: u64,
    /// Tokens that were delivered to the client.
    pub delivered_tokens: u64,
}

/// Operation requested from a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Operation {
    /// Reserve tokens; the answer lists all reservations of the program.
    Reserve {
        /// Program whose budget it is.
        program: String,
        /// [`Reservation::id`] of the new reservation.
        reservation: u64,
        /// Upper bound of the number of tokens that the turn generates.
        max_tokens: u64,
    },
    /// Settle a reservation.
    Settle {
        /// Program whose budget it is.
        program: String,
        /// Reservation to settle, and its final number of tokens.
        settlement: Settlement,
    },
    /// Store turns of one program, and settle the newest one's reservation. Answered with [`Answer::Stored`] if the
    /// whole chain of the newest turn is stored then, otherwise with [`Answer::missing_ancestors`].
    PutTurns {
        /// Program in whose group they are stored.
        program: String,
        /// Turns, oldest first: one, or its whole chain if that is stored by another program or the machine lacks it.
        turns: Vec<TurnRecord>,
        /// Settlement of the newest turn's reservation; `None` leaves all reservations unchanged.
        settlement: Option<Settlement>,
    },
    /// Read a turn and its ancestors, newest first, up to the first that is not stored.
    ReadChain {
        /// Program in whose group the turn is.
        program: String,
        /// `Request-Id` of the newest turn of the chain.
        request_id: String,
    },
    /// Find the programs that have a turn with this `Request-Id`.
    Find {
        /// `Request-Id` of the turn.
        request_id: String,
    },
    /// Read digests of the programs that `node` should store, ordered by name.
    Digests {
        /// Name of the machine that pulls.
        node: String,
        /// Last program of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Read all records of these programs.
    Fetch {
        /// Names of the programs.
        programs: Vec<String>,
    },
    /// Adopt a committed view that is newer than the receiver's.
    NewView {
        /// The committed view.
        view: StorageView,
    },
}

/// A request to a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Request {
    /// Epoch of the sender's view and identity of the addressed disk.
    pub fencing_token: FencingToken,
    /// Requested operation.
    pub operation: Operation,
}

/// Digest of a program's records at one machine; equal digests mean equal records.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ProgramDigest {
    /// Name of the program.
    pub program: String,
    /// Hash over its reservations and the `Request-Id`s of its turns.
    pub digest: u64,
}

/// All records of one program.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ProgramRecords {
    /// Name of the program.
    pub program: String,
    /// Reservations of the program.
    pub reservations: Vec<Reservation>,
    /// Turns of the program.
    pub turns: Vec<TurnRecord>,
    /// Remaining retention of the turns, in milliseconds.
    pub remaining_ms: u64,
}

/// Answer of a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Answer {
    /// The reservation is synced.
    Reserved {
        /// All known reservations of the program, the new one included.
        reservations: Vec<Reservation>,
    },
    /// The records of the request are synced.
    Stored,
    /// Turns of the chain, newest first; empty if the newest is not stored. Also [`Answer::missing_ancestors`].
    Chain {
        /// The turn and its ancestors, up to a limit in bytes or the first that is not stored.
        turns: Vec<TurnRecord>,
    },
    /// Programs that have a turn with the requested `Request-Id`.
    Found {
        /// Names of the programs.
        programs: Vec<String>,
    },
    /// A page of digests.
    DigestPage {
        /// Digests, ordered by the programs' names.
        digests: Vec<ProgramDigest>,
        /// Whether further pages follow.
        more: bool,
    },
    /// Records of the first of the requested programs, up to the size limit of an answer.
    Records {
        /// One entry for each program; an expired program has no records.
        programs: Vec<ProgramRecords>,
    },
    /// The sender's view is older than this machine's.
    Stale {
        /// The newer view.
        view: StorageView,
    },
    /// This machine has not yet synced the view that the request needs.
    Behind,
    /// The machine's disk is not the one that the request addresses.
    WrongDisk,
    /// The write to disk failed. The record is in memory, but not durable; the sender retries the request.
    Failed,
    /// The request could not be decoded or is inconsistent.
    Malformed,
}

impl Answer {
    /// Answer to [`Operation::PutTurns`] if the turns are synced, but not all turns that they continue: the sender has
    /// to send the whole chain. An empty chain, since clients of earlier versions know no other answer that they
    /// neither count as stored nor repeat.
    #[must_use]
    pub fn missing_ancestors() -> Answer {
        Answer::Chain { turns: Vec::new() }
    }

    /// Whether this answer to [`Operation::PutTurns`] is [`Answer::missing_ancestors`].
    #[must_use]
    pub fn is_missing_ancestors(&self) -> bool {
        *self == Answer::missing_ancestors()
    }
}

/// An answer with the epoch of the machine's view, so that the sender can send a newer view.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Response {
    /// Epoch of the machine's view.
    pub epoch: u64,
    /// Answer to the request.
    pub answer: Answer,
}
