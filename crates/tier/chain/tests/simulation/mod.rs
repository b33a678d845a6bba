//! A core on simulated time: machines with disks, a network with message loss, delays and partitions, operators
//! with concurrent requests, faults that are drawn from a seed, and a checker of the answers to operators.

// Each test program uses only a part of this module.
#![allow(dead_code)]

pub(crate) mod calls;
pub(crate) mod capacity;
pub(crate) mod disk;
pub(crate) mod event;
pub(crate) mod faults;
pub(crate) mod history;
pub(crate) mod node;
pub(crate) mod operator;
pub(crate) mod partitions;
pub(crate) mod processes;
pub(crate) mod stops;
pub(crate) mod world;
