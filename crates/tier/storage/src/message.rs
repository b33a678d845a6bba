//! Messages between proxies, storage machines and each other.

use speedy::{Readable, Writable};

use crate::budget::Reservation;
pub use crate::codec::{MessageError, decode, encode, read};
use crate::turn::TurnRecord;
use crate::view::StorageView;

/// Under which view a request was sent, and to which disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct FencingToken {
    /// Epoch of the sender's view. A machine of a newer one refuses.
    pub epoch: u64,
    /// Identity of the disk that the sender believes to address.
    pub disk: u64,
}

/// The end of a turn in its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Settlement {
    /// Reservation that was made for the turn.
    pub reservation: u64,
    /// Tokens that were given to the client.
    pub delivered_tokens: u64,
}

/// What is asked of a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Operation {
    /// Reserve tokens and tell all of the program's reservations.
    Reserve {
        /// Program whose budget it is.
        program: String,
        /// Number drawn for this reservation.
        reservation: u64,
        /// The most that the turn may generate.
        max_tokens: u64,
    },
    /// Settle a reservation.
    Settle {
        /// Program whose budget it is.
        program: String,
        /// How the turn ended.
        settlement: Settlement,
    },
    /// Store turns of one program, and settle the newest one's reservation.
    PutTurns {
        /// Program in whose group they are stored.
        program: String,
        /// Turns, oldest first: one, or more when a chain is taken over from another program.
        turns: Vec<TurnRecord>,
        /// End of the newest turn in its budget.
        settlement: Option<Settlement>,
    },
    /// Tell a turn and its ancestors, newest first, as far as they are here.
    ReadChain {
        /// Program in whose group the turn is.
        program: String,
        /// Newest turn asked for.
        request_id: String,
    },
    /// Tell which programs have a turn of this name here.
    Find {
        /// `Request-Id` of the turn.
        request_id: String,
    },
    /// Tell digests of the programs that `node` should hold, in order of their names.
    Digests {
        /// The machine that asks.
        node: String,
        /// Last program of the page before.
        after: Option<String>,
    },
    /// Tell all records of these programs.
    Fetch {
        /// Names of the programs.
        programs: Vec<String>,
    },
    /// A committed view, newer than the receiver's.
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
    /// What is asked.
    pub operation: Operation,
}

/// What a program's records amount to at one machine; equal digests mean equal records.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ProgramDigest {
    /// Name of the program.
    pub program: String,
    /// Hash over its reservations and the names of its turns.
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
    /// How much longer they are kept.
    pub remaining_ms: u64,
}

/// Answer of a storage machine.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Answer {
    /// The reservation is synced; these are all that are known of the program.
    Reserved {
        /// All reservations, its own included.
        reservations: Vec<Reservation>,
    },
    /// What was to be stored is synced.
    Stored,
    /// Turns found, newest first; empty if the newest asked for is not here.
    Chain {
        /// The turn asked for and its ancestors, up to a bound of bytes or one that is not here.
        turns: Vec<TurnRecord>,
    },
    /// Programs that have the turn.
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
    /// Records of the first of the programs asked for, as many as fit a message.
    Records {
        /// One entry a program; empty where it has expired.
        programs: Vec<ProgramRecords>,
    },
    /// The sender's view is old.
    Stale {
        /// The newer view.
        view: StorageView,
    },
    /// This machine's view is older than the request needs.
    Behind,
    /// Another disk than the one addressed is at this address.
    WrongDisk,
    /// Not stored, for the disk does not take it.
    Failed,
    /// The request could not be read.
    Malformed,
}

/// Answer with the epoch that the machine knows, so that the sender can bring it its own view.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Response {
    /// Epoch of the machine's view.
    pub epoch: u64,
    /// The answer.
    pub answer: Answer,
}
