//! The built program, spoken to over sockets: clients, replicas and discovery are fakes on loopback.

#[path = "../common/mod.rs"]
mod common;
#[path = "../scene/mod.rs"]
mod scene;

mod clients;
mod process;
mod replicas;
mod searches;
