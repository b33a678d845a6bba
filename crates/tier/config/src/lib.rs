//! The operator's configuration: reading, checking, route table.
//!
//! A configuration arrives as one JSON document. It is read as a tree of values and checked by hand-written
//! rules, so that each way in which it can be wrong has an error of its own. What is accepted here is whole:
//! every route leads to known services and no two routes share a place.

#![warn(missing_docs)]

mod error;
mod model;
mod parse;
mod table;
mod value;

pub use error::ConfigurationError;
pub use model::{ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster};
pub use table::RouteTable;
