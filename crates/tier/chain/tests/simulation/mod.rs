//! A core on simulated time: machines with disks, a network that loses, delays and cuts, operators who race,
//! faults from a seed, and a checker of what the operators were told.

// Each test program uses a part of this module.
#![allow(dead_code)]

pub(crate) mod capacity;
pub(crate) mod disk;
pub(crate) mod faults;
pub(crate) mod history;
pub(crate) mod operator;
pub(crate) mod partitions;
pub(crate) mod stops;
pub(crate) mod world;
