//! Recovery from a storage machine's disk that an earlier version wrote: turns and budgets are read and extended.

#[path = "../../../../tests/recorded/incarnation.rs"]
mod incarnation;
#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use incarnation::run_incarnation;
use recorded::{copy_disk, recorded_disk};
use tempfile::TempDir;
use tokio::net::TcpListener;
use woadreach_journal::{Journal, JournalOptions};
use woadreach_rpc::{Client, ClientOptions, Router, serve};
use woadreach_storage::message::{Answer, FencingToken, Operation, Request, encode};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::record::Record;
use woadreach_storage::server::{Server, ServerOptions};
use woadreach_storage::{
    ReserveError, ReserveRequest, StorageClient, StorageMember, StorageView, Turn, TurnKey,
};

const NODE: &str = "storage-1";
const DISK: u64 = 0xd15c_0001;
const RETENTION: Duration = Duration::from_secs(3600);
/// Token budget of the program, shared by all its turns.
const BUDGET: u64 = 100;

fn machine(number: u8) -> StorageMember {
    StorageMember {
        node: format!("storage-{number}"),
        disk: 0xd15c_0000 + u64::from(number),
        address: SocketAddr::from(([10, 1, 0, number], 7380)),
        zone: "a".into(),
    }
}

fn first_view() -> StorageView {
    StorageView {
        epoch: 1,
        current: vec![machine(1)],
        ..StorageView::default()
    }
}

fn joint_view() -> StorageView {
    let next = Some(vec![machine(1), machine(2)]);
    StorageView {
        epoch: 2,
        next,
        retiring: ["storage-3".to_owned()].into(),
        ..first_view()
    }
}

fn last_view() -> StorageView {
    let current = vec![machine(1), machine(2)];
    StorageView {
        epoch: 3,
        current,
        retired: ["storage-3".to_owned()].into(),
        ..StorageView::default()
    }
}

fn turn(program: &str, request_id: &str, previous: Option<(&str, &str)>) -> Turn {
    let key = |(program, request_id): (&str, &str)| TurnKey {
        program: program.into(),
        request_id: request_id.into(),
    };
    Turn {
        program: program.into(),
        session: "session".into(),
        request_id: request_id.into(),
        previous: previous.map(key),
        input: Bytes::from(format!("input of {request_id}")),
        events: vec![
            Bytes::from_static(b"one"),
            Bytes::new(),
            Bytes::from_static(b"three"),
        ],
        retention: RETENTION,
    }
}

fn request(program: &str, request_id: &str, max_tokens: u64) -> ReserveRequest {
    ReserveRequest {
        program: program.into(),
        request_id: request_id.into(),
        budget: BUDGET,
        max_tokens,
    }
}

/// Starts a machine on the disk in `folder`, and a client whose view has that machine only.
async fn start(folder: &Path, epoch: u64) -> (Server, StorageClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let options = ServerOptions {
        node: NODE.into(),
        address,
        zone: "a".into(),
        tolerated_losses: 0,
        disk_bytes: 50 << 20,
    };
    let rpc = Client::new(ClientOptions::default());
    let server = Server::open(folder, rpc.clone(), options)
        .await
        .expect("the disk is readable");
    tokio::spawn(serve(listener, server.handlers(Router::new())));
    let client = StorageClient::new(rpc, "a".into(), 0);
    let current = vec![server.announcement().member];
    client.set_view(Arc::new(StorageView {
        epoch,
        current,
        ..StorageView::default()
    }));
    (server, client)
}

/// The chain that a turn continues, oldest first.
async fn ancestors(client: &StorageClient, turn: &Turn) -> Vec<Arc<Turn>> {
    let Some(previous) = &turn.previous else {
        return Vec::new();
    };
    let chain = client.chain(&turn.program, &previous.request_id).await;
    chain.expect("the chain is stored")
}

/// Reserves, settles and stores a turn that delivers `delivered_tokens` tokens.
async fn run_turn(client: &StorageClient, turn: Turn, delivered_tokens: u64) {
    let max_tokens = delivered_tokens + 10;
    let reserve_request = request(&turn.program, &turn.request_id, max_tokens);
    let mut reservation = client
        .reserve(&reserve_request)
        .await
        .expect("the reservation fits the budget");
    reservation.set_delivered_tokens(delivered_tokens);
    let ancestors = ancestors(client, &turn).await;
    client
        .put_turn(turn, &ancestors, Some(&mut reservation))
        .await
        .expect("the turn is stored");
}

fn recover(folder: &Path) -> (Journal, StorageNode) {
    let (journal, found) =
        Journal::open(folder, JournalOptions::default()).expect("the journal is readable");
    let snapshot = found.snapshot.as_deref();
    let node = StorageNode::recover(Duration::ZERO, NODE.into(), 0, snapshot, &found.records);
    (journal, node.expect("the records are readable"))
}

/// Writes a disk with a snapshot by one incarnation, a log by another, and the views of three epochs.
fn make_disk(folder: &Path) {
    run_incarnation(async {
        let (journal, _) =
            Journal::open(folder, JournalOptions::default()).expect("an empty journal");
        let _receipt = journal
            .append(encode(&Record::Identity { disk: DISK }))
            .await
            .expect("the record is synced");
    });
    run_incarnation(async {
        let (server, client) = start(folder, 1).await;
        server.learn_view(first_view()).await;
        run_turn(&client, turn("program", "a", None), 30).await;
        run_turn(&client, turn("program", "b", Some(("program", "a"))), 20).await;
    });
    run_incarnation(async {
        let (journal, node) = recover(folder);
        let _receipt = journal
            .replace(node.snapshot(Duration::ZERO))
            .await
            .expect("the record is synced");
    });
    run_incarnation(async {
        let (server, client) = start(folder, 3).await;
        server.learn_view(joint_view()).await;
        server.learn_view(last_view()).await;
        for turn in [
            turn("program", "c", Some(("program", "b"))),
            turn("other", "d", Some(("program", "a"))),
        ] {
            let ancestors = ancestors(&client, &turn).await;
            client
                .put_turn(turn, &ancestors, None)
                .await
                .expect("the turn is stored");
        }
        // Leaves the reservation unsettled, as a process that exits during the turn does.
        std::mem::forget(
            client
                .reserve(&request("program", "open", 25))
                .await
                .expect("the reservation fits the budget"),
        );
    });
}

fn copied_disk() -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    copy_disk(&recorded_disk("storage-disk", make_disk), folder.path());
    folder
}

#[test]
fn an_earlier_disk_has_a_snapshot_and_a_log() {
    let folder = copied_disk();
    let (_, found) =
        Journal::open(folder.path(), JournalOptions::default()).expect("the journal is readable");
    assert!(found.snapshot.is_some_and(|snapshot| !snapshot.is_empty()));
    assert!(
        found.records.len() >= 5,
        "two views, two turns and a reservation"
    );
}

#[test]
fn identity_view_and_fencing_are_recovered_from_an_earlier_disk() {
    let folder = copied_disk();
    let (_journal, mut node) = recover(folder.path());
    assert_eq!((node.disk(), node.view()), (DISK, &last_view()));
    let find = Operation::Find {
        request_id: "a".into(),
    };
    let mut request_find = |epoch, disk| {
        let request = Request {
            fencing_token: FencingToken { epoch, disk },
            operation: find.clone(),
        };
        let Step::Reply(response) = node.handle(Duration::ZERO, request) else {
            panic!("expected an immediate reply")
        };
        assert_eq!(response.epoch, 3);
        response.answer
    };
    assert_eq!(request_find(2, DISK), Answer::Stale { view: last_view() });
    assert_eq!(request_find(3, DISK + 1), Answer::WrongDisk);
    assert_eq!(
        request_find(3, DISK),
        Answer::Found {
            programs: vec!["other".into(), "program".into()]
        }
    );
}

#[test]
fn budgets_are_recovered_from_an_earlier_disk() {
    let folder = copied_disk();
    let (_journal, node) = recover(folder.path());
    let mut counted: Vec<(u64, bool)> = node
        .store()
        .reservations("program")
        .into_iter()
        .map(|reservation| (reservation.tokens, reservation.settled))
        .collect();
    counted.sort_unstable();
    assert_eq!(counted, [(20, true), (25, false), (30, true)]);
    assert_eq!(node.store().reservations("other"), []);
}

/// Reads the turns of the conversation that ends with `request_id`, oldest first.
async fn conversation(client: &StorageClient, program: &str, request_id: &str) -> Vec<Turn> {
    let chain = client.chain(program, request_id).await;
    let chain = chain.expect("the conversation");
    chain.iter().map(|turn| Turn::clone(turn)).collect()
}

#[test]
fn complete_conversations_are_read_from_an_earlier_disk() {
    let folder = copied_disk();
    run_incarnation(async {
        let (server, client) = start(folder.path(), 3).await;
        assert_eq!(server.announcement().member.disk, DISK);
        let expected = [
            turn("program", "a", None),
            turn("program", "b", Some(("program", "a"))),
            turn("program", "c", Some(("program", "b"))),
        ];
        assert_eq!(conversation(&client, "program", "c").await, expected);
        let expected = [
            turn("other", "a", None),
            turn("other", "d", Some(("other", "a"))),
        ];
        assert_eq!(conversation(&client, "other", "d").await, expected);
    });
}

#[test]
fn conversations_and_budgets_continue_from_an_earlier_disk() {
    let folder = copied_disk();
    run_incarnation(async {
        let (_server, client) = start(folder.path(), 3).await;
        let refused = client
            .reserve(&request("program", "e", 26))
            .await
            .map(|_| ());
        assert_eq!(
            refused,
            Err(ReserveError::Spent),
            "75 of 100 tokens are reserved or spent"
        );
        run_turn(&client, turn("program", "e", Some(("program", "c"))), 15).await;
    });
    run_incarnation(async {
        let (_server, client) = start(folder.path(), 3).await;
        assert_eq!(conversation(&client, "program", "e").await.len(), 4);
        let refused = client
            .reserve(&request("program", "f", 11))
            .await
            .map(|_| ());
        assert_eq!(
            refused,
            Err(ReserveError::Spent),
            "90 of 100 tokens are reserved or spent"
        );
        let _fits = client
            .reserve(&request("program", "g", 10))
            .await
            .expect("10 of 100 tokens are left");
    });
}
