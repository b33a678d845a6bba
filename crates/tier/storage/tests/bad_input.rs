//! Unreadable disks, requests, announcements and views are rejected with a specific error and change no state.
//! A disk of another format or record version is not modified; a corrupt disk gets a new identity.

use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use woadreach_journal::{Journal, JournalError, JournalOptions};
use woadreach_rpc::{CallError, Client, ClientOptions, Router, ServiceId, serve};
use woadreach_storage::announce::{Announcements, handler};
use woadreach_storage::message::{MessageError, decode, encode};
use woadreach_storage::record::Record;
use woadreach_storage::server::{Server, ServerError, ServerOptions};
use woadreach_storage::{StorageMember, StorageView};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn options() -> ServerOptions {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let (node, zone) = ("storage-1".to_owned(), "z1".to_owned());
    ServerOptions {
        node,
        address,
        zone,
        tolerated_losses: 1,
        disk_bytes: 50 << 20,
    }
}

fn rpc() -> Client {
    Client::new(ClientOptions::default())
}

async fn open(folder: &Path) -> Result<Server, ServerError> {
    Server::open(folder, rpc(), options()).await
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).unwrap().map(Result::unwrap);
    entries
        .map(|entry| {
            let name = entry.file_name().into_string().unwrap();
            (name, std::fs::read(entry.path()).unwrap())
        })
        .collect()
}

/// Path of the journal's slot file that is in use: the first that is not empty.
fn used_slot(folder: &Path) -> std::path::PathBuf {
    let used = files(folder)
        .into_iter()
        .find(|(_, content)| !content.is_empty())
        .unwrap();
    folder.join(used.0)
}

#[tokio::test]
async fn a_disk_of_another_format_is_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()).await.unwrap());
    let slot = used_slot(folder.path());
    let mut content = std::fs::read(&slot).unwrap();
    content[8] += 1;
    let checksum = crc32fast::hash(&content[..29]);
    content[29..33].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(&slot, &content).unwrap();
    let before = files(folder.path());
    let error = open(folder.path())
        .await
        .err()
        .expect("a disk of another format is rejected");
    let is_version = matches!(
        &error,
        ServerError::Disk {
            source: JournalError::Version { version: 2, .. }
        }
    );
    assert!(is_version, "{error}");
    assert_eq!(files(folder.path()), before);
}

#[tokio::test]
async fn records_of_another_version_are_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    let (journal, _) = Journal::open(folder.path(), JournalOptions::default()).unwrap();
    let mut record = encode(&Record::Identity { disk: 7 });
    record[0] += 1;
    let _receipt = journal.append(record).await.unwrap();
    drop(journal);
    let before = files(folder.path());
    let error = open(folder.path())
        .await
        .err()
        .expect("a record of another version is rejected");
    assert!(
        matches!(&error, ServerError::Unreadable { path } if path == folder.path()),
        "{error}"
    );
    assert_eq!(files(folder.path()), before);
}

/// A machine with a corrupt disk starts under a new disk identity and pulls from the other machines.
#[tokio::test]
async fn a_corrupt_disk_gets_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    let server = open(folder.path()).await.unwrap();
    let disk = server.announcement().member.disk;
    drop(server);
    let slot = used_slot(folder.path());
    let mut content = std::fs::read(&slot).unwrap();
    content[10] ^= 1;
    std::fs::write(&slot, &content).unwrap();
    let server = open(folder.path()).await.unwrap();
    assert_ne!(server.announcement().member.disk, disk);
}

#[tokio::test]
async fn truncated_requests_and_those_of_other_versions_are_rejected_and_counted() {
    let folder = tempfile::tempdir().unwrap();
    let server = open(folder.path()).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = server.handlers(Router::new());
    let rejected = router.rejected();
    tokio::spawn(serve(listener, router));
    let invalid: [&[u8]; 5] = [&[], &[0, 1, 2], &[2, 1, 2], &[1], &[1, 0, 0, 0]];
    for body in invalid {
        let answer = rpc()
            .call(address, ServiceId::STORAGE, body.to_vec(), CALL_TIMEOUT)
            .await;
        assert_eq!(answer, Err(CallError::Refused), "{body:?}");
    }
    assert_eq!(rejected.count(ServiceId::STORAGE), 5);
}

#[test]
fn malformed_announcements_are_not_recorded() {
    let announcements = Arc::new(Mutex::new(Announcements::new(Instant::now())));
    let handle = handler(announcements.clone(), || true);
    let peer: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let error = handle(peer, Bytes::from_static(&[9, 1]))
        .into_inner()
        .unwrap_err();
    assert_eq!(error, MessageError::Version { found: 9 });
    assert_eq!(
        handle(peer, Bytes::new()).into_inner().unwrap_err(),
        MessageError::Empty
    );
    assert_eq!(announcements.lock().observations().count(), 0);
}

#[test]
fn a_view_truncated_at_any_byte_or_of_another_version_is_an_error() {
    let address = "127.0.0.1:1".parse().unwrap();
    let member = StorageMember {
        node: "storage-1".to_owned(),
        disk: 1,
        address,
        zone: "z1".to_owned(),
    };
    let view = StorageView {
        epoch: 3,
        current: vec![member],
        ..StorageView::default()
    };
    let bytes = view.encode();
    assert_eq!(StorageView::decode(&bytes), Ok(view));
    assert_eq!(StorageView::decode(&[]), Err(MessageError::Empty));
    for length in 1..bytes.len() {
        assert_eq!(
            StorageView::decode(&bytes[..length]),
            Err(MessageError::Malformed),
            "{length}"
        );
    }
    assert_eq!(
        decode::<StorageView>(&[&bytes[..], &[0]].concat()),
        Err(MessageError::Malformed)
    );
    let other = [&[bytes[0] + 1], &bytes[1..]].concat();
    assert_eq!(
        StorageView::decode(&other),
        Err(MessageError::Version {
            found: bytes[0] + 1
        })
    );
}
