//! Clients that send malformed requests.

use super::World;
use crate::network::{SimNet, seed_of};
use crate::script::FaultKind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use woadreach_runtime::{Net, Stream};

const REQUESTS: [&[u8]; 8] = [
    b"GET / HTTP/1.1\r\nHost: x\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"POST /browse HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /browse HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{",
    b"POST /nowhere HTTP/1.1\r\nX-Trace-Id: j\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /browse HTTP/1.1\r\nX-Trace-Id: j\r\nX-Expires-In: never\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /browse HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"",
];
/// Seconds between two looks at the rate while it is zero.
const IDLE_INTERVAL: f64 = 0.5;
/// Seconds until a connect is given up.
const CONNECT_TIMEOUT: f64 = 1.0;
/// Seconds within which an error or a close is owed, 3, with a tolerance.
const RESPONSE_TIMEOUT: f64 = 3.1;
/// Bytes of a request that a report shows.
const MAX_REPORTED_BYTES: usize = 40;

impl World {
    /// Starts the clients that send malformed requests to a co-ordinator while a fault says so.
    pub(super) fn start_malformed_clients(self: &Rc<Self>, index: usize) {
        let net = self.coordinators[index].clients_net();
        drop(net.spawn(self.clone().send_malformed_requests(index)));
    }

    async fn send_malformed_requests(self: Rc<Self>, index: usize) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed_of(self.script.seed, &format!("rude {index}")));
        let net = self.coordinators[index].clients_net().clone();
        while self.clients_active.get() {
            let rate = self.malformed_rate.get();
            let pause = if rate > 0.0 {
                1.0 / rate
            } else {
                IDLE_INTERVAL
            };
            net.sleep(pause).await;
            if rate > 0.0 && self.coordinators[index].in_rotation.get() {
                let request = REQUESTS[rng.random_range(0..REQUESTS.len())];
                let client = self
                    .clone()
                    .run_malformed_client(net.clone(), index, request);
                drop(net.spawn(client));
            }
        }
    }

    /// Sends one malformed request, and reports a co-ordinator that serves it or doesn't end it.
    async fn run_malformed_client(
        self: Rc<Self>,
        net: SimNet,
        index: usize,
        request: &'static [u8],
    ) {
        let coordinator = &self.coordinators[index];
        let connect = net.connect(coordinator.address);
        let Ok(Ok(mut stream)) = net.timeout(CONNECT_TIMEOUT, connect).await else {
            return;
        };
        let process = coordinator.process.get();
        if stream.write_all(request).await.is_err() {
            return;
        }
        let mut response = Vec::new();
        let end = async {
            while matches!(stream.read(&mut response).await, Ok(1..)) {
                if !response.starts_with(b"HTTP/1.1 100") {
                    break;
                }
            }
        };
        let ended = net.timeout(RESPONSE_TIMEOUT, end).await.is_ok();
        let is_excused = self.any_stall() || coordinator.process.get() != process;
        let reason = if response.starts_with(b"HTTP/1.1 200") {
            "was served"
        } else if !ended && !is_excused {
            "got neither an error nor a close"
        } else {
            return;
        };
        let shown = &request[..request.len().min(MAX_REPORTED_BYTES)];
        let shown = String::from_utf8_lossy(shown);
        self.report_leak(index, format!("a client that sent {shown:?} {reason}"));
    }

    /// Whether the script suspends co-ordinators, which excuses late responses.
    fn any_stall(&self) -> bool {
        self.script
            .faults
            .iter()
            .any(|fault| matches!(fault.kind, FaultKind::StallCoordinators { .. }))
    }
}
