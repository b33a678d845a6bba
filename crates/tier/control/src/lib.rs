//! Control plane and storage of the serving tier: the roles of the binary `woadreach-control`.
//!
//! The `core` role ([`core_role`]) keeps the operator's configuration and the view of the storage machines in
//! a chain of core machines ([`member_driver`] around [`woadreach_chain::Member`]), takes the operator's
//! orders ([`operator`]) at any core machine and passes them to the head of the chain ([`order`]), and takes
//! the replicas' heartbeats ([`instances`]). The `storage` role is [`storage_role`].

pub mod command_line;
pub mod committed;
pub mod compaction;
pub mod core_role;
pub mod durable_log;
pub mod error;
pub mod http_server;
pub mod instances;
pub mod logging;
pub mod member_driver;
pub mod operator;
pub mod order;
pub mod order_route;
pub mod retire_order;
pub mod storage_planner;
pub mod storage_role;
