//! A core machine's answer to a storage machine's announcement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use bytes::Bytes;
use parking_lot::Mutex;
use woadreach_storage::StorageMember;
use woadreach_storage::announce::{Announcement, Announcements, handler, is_from_quorum};
use woadreach_storage::message::encode;

#[tokio::test]
async fn the_answer_reports_whether_the_core_machine_is_in_quorum() {
    let is_in_quorum = Arc::new(AtomicBool::new(true));
    let quorum_state = Arc::clone(&is_in_quorum);
    let announcements = Arc::new(Mutex::new(Announcements::new(Instant::now())));
    let handle = handler(announcements, move || quorum_state.load(Ordering::Relaxed));
    let peer = SocketAddr::from(([10, 0, 0, 1], 7000));
    let member = StorageMember {
        node: "store-1".to_owned(),
        disk: 1,
        address: peer,
        zone: "zone".to_owned(),
    };
    let announcement = Bytes::from(encode(&Announcement {
        member,
        pulled_epoch: 0,
        shutting_down: false,
    }));
    for expected in [true, false, true] {
        is_in_quorum.store(expected, Ordering::Relaxed);
        assert_eq!(
            is_from_quorum(&handle(peer, announcement.clone()).await.unwrap()),
            expected
        );
    }
    assert!(
        !is_from_quorum(&[]),
        "an empty answer does not prove that the core machine is in quorum"
    );
}
