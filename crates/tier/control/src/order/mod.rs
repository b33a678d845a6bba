//! Orders of the operator: executed by the head of the chain, forwarded to it by every other core machine.
//!
//! [`message`] has the orders, their answers and how both go between core machines; [`route`] decides,
//! without I/O, which machine an order goes to next; [`service`] follows those decisions until there is an
//! answer. At the head, [`execution`] runs an order on the chain, and [`retire`] decides, without I/O, what
//! an order to retire a storage machine changes.

pub mod execution;
pub mod message;
pub mod retire;
pub mod route;
pub mod service;
