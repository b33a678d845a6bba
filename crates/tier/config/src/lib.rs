//! The operator's configuration: parsing, validation and the route table.
//!
//! Start with [`Configuration::parse`]. A configuration is one JSON document. It is parsed into a tree of values and
//! validated by hand-written rules, so that each kind of invalid configuration has a separate variant of
//! [`ConfigurationError`]. In an accepted configuration every route refers to defined services, and no two routes have
//! the same host and path prefix. [`RouteTable`] finds the route of a request.

#![warn(missing_docs)]

mod error;
mod model;
mod parse;
mod table;
mod value;

pub use error::ConfigurationError;
pub use model::{ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster};
pub use table::RouteTable;
