//! A client whose request is refused because its view is older than the machine's retries under the newer view only.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};
use woadreach_storage::message::{Answer, Operation, Request, Response, decode, encode};
use woadreach_storage::{ChainError, StorageClient, StorageMember, StorageView};

const OLD_EPOCH: u64 = 4;
const NEW_EPOCH: u64 = 9;
const MACHINES: u64 = 3;

/// Epochs of the requests that all machines received, in the order of receipt.
type Epochs = Arc<Mutex<Vec<u64>>>;

/// Three machines that store no turns and refuse requests of epochs older than `NEW_EPOCH`.
struct Machines {
    members: Vec<StorageMember>,
    epochs: Epochs,
}

impl Machines {
    fn view(&self, epoch: u64) -> StorageView {
        StorageView {
            epoch,
            current: self.members.clone(),
            ..StorageView::default()
        }
    }

    async fn start() -> Machines {
        let epochs = Epochs::default();
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for disk in 1..=MACHINES {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let listener = TcpListener::bind(address).await.unwrap();
            members.push(StorageMember {
                node: format!("store-{disk}"),
                disk,
                address: listener.local_addr().unwrap(),
                zone: format!("zone-{disk}"),
            });
            listeners.push(listener);
        }
        let machines = Machines { members, epochs };
        let newest = machines.view(NEW_EPOCH);
        for listener in listeners {
            let (epochs, newest) = (Arc::clone(&machines.epochs), newest.clone());
            let router = Router::new().route_checked(ServiceId::STORAGE, move |_, body: Bytes| {
                let answer = answer(&epochs, &newest, &body);
                async move { Ok::<_, woadreach_storage::message::MessageError>(answer) }
            });
            tokio::spawn(serve(listener, router));
        }
        machines
    }
}

fn answer(epochs: &Epochs, newest: &StorageView, body: &Bytes) -> Vec<u8> {
    let request: Request = decode(body).unwrap();
    let epoch = request.fencing_token.epoch;
    epochs.lock().push(epoch);
    let answer = if epoch < newest.epoch {
        Answer::Stale {
            view: newest.clone(),
        }
    } else {
        match request.operation {
            Operation::ReadChain { .. } => Answer::Chain { turns: Vec::new() },
            Operation::Find { .. } => Answer::Found {
                programs: Vec::new(),
            },
            _ => Answer::Failed,
        }
    };
    encode(&Response {
        epoch: newest.epoch,
        answer,
    })
}

#[tokio::test]
async fn a_client_refused_for_an_older_view_sends_no_further_requests_under_it() {
    let machines = Machines::start().await;
    let rpc = Client::new(ClientOptions::default());
    let client = StorageClient::new(rpc, "zone-1".into(), 1);
    client.set_view(Arc::new(machines.view(OLD_EPOCH)));
    assert_eq!(client.chain("p", "a").await, Err(ChainError::NotFound));
    assert_eq!(client.view().epoch, NEW_EPOCH);
    let first = std::mem::take(&mut *machines.epochs.lock());
    let old = first.iter().filter(|epoch| **epoch == OLD_EPOCH).count() as u64;
    // Requests in flight when the first refusal was received: at most one per machine and kind of operation.
    assert!((1..=2 * MACHINES).contains(&old), "{first:?}");
    for number in 0..10 {
        let turn = format!("b{number}");
        assert_eq!(client.chain("p", &turn).await, Err(ChainError::NotFound));
    }
    let later = machines.epochs.lock().clone();
    assert!(!later.is_empty());
    assert!(later.iter().all(|epoch| *epoch == NEW_EPOCH), "{later:?}");
    // An older view that is received late does not replace the newer one.
    client.set_view(Arc::new(machines.view(OLD_EPOCH)));
    assert_eq!(client.view().epoch, NEW_EPOCH);
}
