//! Bytes and texts that were recorded once: today's code must read them as it did then, and write the same again.
//!
//! A crate's tests take this in with `#[path = "../../../../tests/recorded/mod.rs"] mod recorded;`. The records
//! stand in `tests/recorded/` of that crate, in one of three forms:
//!
//! - [`RecordedBytes`]: a text file of blocks, each a name and indented lines of hexadecimal digits;
//! - [`Records`]: a text file with one record a line, a name and its text;
//! - [`file`] and [`recorded_disk`]: a whole file, and a folder with the files of one disk.
//!
//! With `WOADREACH_RECORD=1` a test adds what is missing there; what is there is never replaced. A record that is
//! meant to change is removed by hand first. Tests that compare the names of all records pass from the next run on.

// Each test takes what it needs.
#![allow(dead_code, unused_imports)]

mod blocks;
mod files;
mod hexadecimal;
mod lines;
mod outcomes;
mod store;

pub(crate) use blocks::RecordedBytes;
pub(crate) use files::{copy_disk, file, recorded_disk};
pub(crate) use hexadecimal::{hex, unhex};
pub(crate) use lines::Records;
pub(crate) use outcomes::{assert_other_versions_are_named, inverted, outcome, outcomes_when_cut};
