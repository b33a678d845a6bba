//! Messages from edges to storage machines, and between storage machines. Those to the core are in
//! [`announce`](crate::announce).

use speedy::{Readable, Writable};

use crate::budget::Reservation;
pub use crate::codec::{MessageError, decode, encode};
use crate::turn::TurnRecord;
use crate::view::StorageView;

/// View under which a request was sent, and the disk it addresses.
///
/// A machine that knows a newer view, or runs on another disk, refuses the request: an old sender cannot write past
/// a change of the membership, and a wiped machine does not pass for its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct FencingToken {
    /// Epoch of the sender's view.
    pub epoch: u64,
    /// Identity of the disk that the sender believes to address.
    pub disk: u64,
}

/// The final count of a turn in its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Settlement {
    /// Reservation that was made for the turn.
    pub reservation: u64,
    /// Tokens that were delivered to the client.
    pub delivered_tokens: u64,
}

/// What a request asks of a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Operation {
    /// Reserve tokens; the answer has all reservations of the program.
    Reserve {
        /// Program whose budget it is.
        program: String,
        /// Random number of this reservation.
        reservation: u64,
        /// Upper bound of the tokens that the turn generates.
        max_tokens: u64,
    },
    /// Settle a reservation.
    Settle {
        /// Program whose budget it is.
        program: String,
        /// Final count of the turn.
        settlement: Settlement,
    },
    /// Store turns of one program, and settle the newest one's reservation.
    PutTurns {
        /// Program in whose group they are stored.
        program: String,
        /// Turns, oldest first: one, or several when a chain is adopted from another program.
        turns: Vec<TurnRecord>,
        /// Settlement of the newest turn's reservation.
        settlement: Option<Settlement>,
    },
    /// Read a turn and its ancestors, newest first, as far as they are stored.
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
    /// Read digests of the programs that `node` should hold, in order of their names.
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
    /// Learn a committed view that is newer than the receiver's.
    NewView {
        /// The view.
        view: StorageView,
    },
}

/// A request to a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Request {
    /// View and disk it is meant for.
    pub fencing_token: FencingToken,
    /// What is requested.
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
    /// Its reservations.
    pub reservations: Vec<Reservation>,
    /// Its turns.
    pub turns: Vec<TurnRecord>,
    /// Remaining retention of the turns.
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
    /// Turns of the chain, newest first; empty if the newest is not stored.
    Chain {
        /// The turn and its ancestors, up to a bound of bytes or the first that is not stored.
        turns: Vec<TurnRecord>,
    },
    /// Programs that have a turn of the requested `Request-Id`.
    Found {
        /// Names of the programs.
        programs: Vec<String>,
    },
    /// A page of digests.
    DigestPage {
        /// Digests in order of the programs' names.
        digests: Vec<ProgramDigest>,
        /// Whether more follow.
        more: bool,
    },
    /// Records of the first of the requested programs, as many as fit a message.
    Records {
        /// One entry for each program, without records where it has expired.
        programs: Vec<ProgramRecords>,
    },
    /// The sender's view is older than this machine's.
    Stale {
        /// The newer view.
        view: StorageView,
    },
    /// This machine's view is older than the request needs.
    Behind,
    /// The machine at this address runs on another disk than the one addressed.
    WrongDisk,
    /// The disk did not accept the record. It is in memory, but not durable; the sender repeats the request.
    Failed,
    /// The request could not be read.
    Malformed,
}

/// An answer and the epoch that the machine knows, so that the sender can send it a newer view.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Response {
    /// Epoch of the machine's view.
    pub epoch: u64,
    /// The answer.
    pub answer: Answer,
}
