//! Orders of the operator. The head of the chain executes them; every other core machine forwards them to the head.
//!
//! [`message`] defines orders, answers and their encoding between core machines. [`route`] decides, without I/O,
//! to which machine an order is sent next, and [`service`] executes those decisions until the order is answered.
//! At the head, [`execution`] executes an order on the chain, and [`retire`] decides, without I/O, what an order to
//! retire a storage machine changes.

pub mod execution;
pub mod message;
pub mod retire;
pub mod route;
pub mod service;
