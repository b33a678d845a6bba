//! The clients of a world: those of the script, and rude ones.

use super::World;
use crate::load::{draw_ask, draw_gap, parts};
use crate::network::{SimNet, seed_of};
use crate::script::{FaultKind, Repeats};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_fakes::{Ask, Calls, Retry};
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::{Net, Stream};

const JUNK: [&[u8]; 8] = [
    b"GET / HTTP/1.1\r\nHost: x\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"POST /browse HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /browse HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{",
    b"POST /nowhere HTTP/1.1\r\nX-Trace-Id: j\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /browse HTTP/1.1\r\nX-Trace-Id: j\r\nX-Expires-In: never\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /browse HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"",
];

impl World {
    /// Clients that a front deals out to this co-ordinator: they come as they like, whatever happens.
    pub(super) fn load(self: &Rc<Self>, n: usize) {
        let world = self.clone();
        let mut chance = Pcg64Mcg::seed_from_u64(seed_of(self.script.seed, &format!("load {n}")));
        let net = self.nodes[n].clients_net(&self.network);
        let part = parts(&self.script)[n];
        let task = {
            let net = net.clone();
            async move {
                net.sleep(0.5).await;
                while world.loading.get() {
                    let gap = draw_gap(
                        world.script.load.rate * part * world.burst.get(),
                        &mut chance,
                    );
                    net.sleep(gap.min(5.0)).await;
                    let ask =
                        draw_ask(&world.script, world.costly.get(), world.name(), &mut chance);
                    drop(net.spawn(world.clone().one(n, ask)));
                }
            }
        };
        drop(net.spawn(task));
    }

    pub(super) async fn one(self: Rc<Self>, n: usize, ask: Ask) {
        let all = self.nodes.len();
        let up = (0..all)
            .map(|i| (n + i) % all)
            .find(|i| self.nodes[*i].up.get());
        let Some(at) = up else { return };
        let load = &self.script.load;
        let retry = Retry {
            times: load.retries,
            pause: load.retry_delay,
            heeds: load.honors_retry_after,
        };
        let may_repeat = self.script.query_types[ask.query_type].repeats == Repeats::Idempotent;
        let caller = self.nodes[at].clients.clone();
        let tries: Vec<Calls> = caller
            .ask_and_again(ask, retry, may_repeat, || self.name())
            .await;
        drop(tries);
    }

    /// Clients that send nothing sound: each is owed an error or a close, soon.
    pub(super) fn rudeness(self: &Rc<Self>, n: usize) {
        let world = self.clone();
        let mut chance = Pcg64Mcg::seed_from_u64(seed_of(self.script.seed, &format!("rude {n}")));
        let net = self.nodes[n].clients_net(&self.network);
        let task = {
            let net = net.clone();
            async move {
                while world.loading.get() {
                    let rate = world.rude.get();
                    net.sleep(if rate > 0.0 { 1.0 / rate } else { 0.5 }).await;
                    if rate > 0.0 && world.nodes[n].up.get() {
                        let junk = JUNK[chance.random_range(0..JUNK.len())];
                        drop(net.spawn(world.clone().rude_client(net.clone(), n, junk)));
                    }
                }
            }
        };
        drop(net.spawn(task));
    }

    pub(super) async fn rude_client(self: Rc<Self>, net: SimNet, n: usize, junk: &'static [u8]) {
        let Ok(Ok(mut stream)) = net.timeout(1.0, net.connect(self.nodes[n].address)).await else {
            return;
        };
        let process = self.nodes[n].process.get();
        if stream.write_all(junk).await.is_err() {
            return;
        }
        let mut heard = Vec::new();
        // LATER: an error or a close within 3 s; a half more for a process that stands still is excused.
        let end = async {
            while matches!(stream.read(&mut heard).await, Ok(1..)) {
                if !heard.starts_with(b"HTTP/1.1 100") {
                    break;
                }
            }
        };
        let ended = net.timeout(3.1, end).await;
        let served = heard.starts_with(b"HTTP/1.1 200");
        let stood = self
            .script
            .faults
            .iter()
            .any(|f| matches!(f.kind, FaultKind::StallCoordinators { .. }));
        if (ended.is_err() && !stood && self.nodes[n].process.get() == process) || served {
            let what = String::from_utf8_lossy(&junk[..junk.len().min(40)]).to_string();
            let why = if served {
                "was served"
            } else {
                "got neither an error nor a close"
            };
            self.recorder.tell(EventKind::Leaked {
                node: NodeId(n),
                why: format!("a client that sent {what:?} {why}"),
            });
        }
    }

    pub(super) fn name(&self) -> Arc<str> {
        let n = self.names.replace(self.names.get() + 1);
        format!("q{n}").into()
    }
}
