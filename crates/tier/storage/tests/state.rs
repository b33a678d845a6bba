//! Budgets, the store, the turn cache and the state of one machine.

use std::time::Duration;

use quickcheck::quickcheck;
use woadreach_journal::{Engine, SimulatedDisk, Synced};
use woadreach_storage::budget::{Budget, Reservation};
use woadreach_storage::cache::TurnCache;
use woadreach_storage::message::{Answer, FencingToken, Operation, Request, Settlement};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::store::Store;
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageMember, StorageView, Turn, TurnKey};

fn synced() -> Synced {
    let (mut engine, _) = Engine::open(Box::new(SimulatedDisk::default()), 1 << 20).unwrap();
    engine.append_batch(&[Vec::new()]).unwrap()
}

fn turn(request_id: &str, previous: Option<&str>) -> TurnRecord {
    TurnRecord {
        program: "program".to_owned(),
        session: "session".to_owned(),
        request_id: request_id.to_owned(),
        previous: previous.map(str::to_owned),
        retention_ms: 60_000,
        content: vec![0; 4],
    }
}

fn reservations(entries: &[(u8, u8, bool)]) -> Vec<Reservation> {
    let entry = |(id, tokens, settled): &(u8, u8, bool)| Reservation {
        id: u64::from(*id % 4),
        tokens: u64::from(*tokens),
        settled: *settled,
    };
    entries.iter().map(entry).collect()
}

fn merged(parts: &[&[Reservation]]) -> Budget {
    let mut budget = Budget::default();
    for reservation in parts.iter().flat_map(|part| part.iter()) {
        budget.join(*reservation);
    }
    budget
}

quickcheck! {
    fn budgets_merge_in_any_order(left: Vec<(u8, u8, bool)>, right: Vec<(u8, u8, bool)>) -> bool {
        let (left, right) = (reservations(&left), reservations(&right));
        let once = merged(&[&left, &right]);
        once == merged(&[&right, &left]) && once == merged(&[&left, &right, &left])
    }

    fn a_settled_reservation_stays_settled(entries: Vec<(u8, u8, bool)>) -> bool {
        let entries = reservations(&entries);
        let budget = merged(&[&entries]);
        entries.iter().filter(|entry| entry.settled).all(|entry| {
            budget.iter().any(|known| known.id == entry.id && known.settled)
        })
    }

    /// A restarted machine recovers its state from its snapshot and from the log records after it.
    fn a_machine_recovers_what_it_stored(turns: Vec<u8>, tokens: Vec<u8>, compact_at: usize) -> bool {
        let (mut node, first) = StorageNode::create("store".to_owned(), 7, 1);
        let mut records = vec![first];
        let mut snapshot = None;
        for (number, id) in turns.iter().enumerate() {
            let step = node.handle(Duration::ZERO, put(&format!("turn-{id}"), u64::from(*id)));
            let Step::Persist { record, .. } = step else { return false };
            records.push(record);
            let delivered_tokens = tokens.get(number).copied().unwrap_or(1);
            let step = node.handle(Duration::ZERO, reserve(u64::from(delivered_tokens)));
            let Step::Persist { record, .. } = step else { return false };
            records.push(record);
            if number == compact_at % 8 {
                snapshot = Some(node.snapshot(Duration::ZERO));
                records.clear();
            }
        }
        let name = "store".to_owned();
        let recovered = StorageNode::recover(Duration::ZERO, name, 1, snapshot.as_deref(), &records);
        recovered.is_some_and(|recovered| {
            recovered.disk() == 7
                && recovered.store().digest("program") == node.store().digest("program")
                && recovered.store().reservations("program") == node.store().reservations("program")
        })
    }

    fn recovery_from_a_corrupt_journal_fails_without_a_panic(snapshot: Vec<u8>, records: Vec<Vec<u8>>) -> bool {
        let name = "store".to_owned();
        StorageNode::recover(Duration::ZERO, name, 1, Some(&snapshot), &records).is_none()
    }
}

fn request_under(epoch: u64, operation: Operation) -> Request {
    Request {
        fencing_token: FencingToken { epoch, disk: 7 },
        operation,
    }
}

fn put(request_id: &str, reservation: u64) -> Request {
    let settlement = Some(Settlement {
        reservation,
        delivered_tokens: 3,
    });
    let turns = vec![turn(request_id, None)];
    request_under(
        9,
        Operation::PutTurns {
            program: "program".to_owned(),
            turns,
            settlement,
        },
    )
}

fn reserve(reservation: u64) -> Request {
    request_under(
        9,
        Operation::Reserve {
            program: "program".to_owned(),
            reservation,
            max_tokens: 30,
        },
    )
}

fn answer(step: Step) -> Answer {
    match step {
        Step::Reply(response) => response.answer,
        other => panic!("expected an immediate reply, got {other:?}"),
    }
}

fn view(epoch: u64, disk: u64) -> StorageView {
    let address = ([10, 0, 0, 1], 7_000).into();
    let member = StorageMember {
        node: "store".to_owned(),
        disk,
        address,
        zone: "zone".to_owned(),
    };
    StorageView {
        epoch,
        current: vec![member],
        ..StorageView::default()
    }
}

#[test]
fn requests_under_an_older_view_or_for_another_disk_are_refused() {
    let (mut node, _) = StorageNode::create("store".to_owned(), 7, 1);
    let Some(Step::Persist { pending, .. }) = node.learn_view(view(10, 7)) else {
        panic!("expected a record to persist")
    };
    assert_eq!(
        answer(node.handle(Duration::ZERO, reserve(1))),
        Answer::Stale { view: view(10, 7) }
    );
    let pull = request_under(
        10,
        Operation::Digests {
            node: "store".to_owned(),
            after: None,
        },
    );
    assert_eq!(
        answer(node.handle(Duration::ZERO, pull.clone())),
        Answer::Behind,
        "the view is not yet synced to disk"
    );
    assert_eq!(node.complete(pending, &synced()).answer, Answer::Stored);
    assert!(matches!(
        answer(node.handle(Duration::ZERO, pull)),
        Answer::DigestPage { .. }
    ));
    let mut other = reserve(1);
    other.fencing_token = FencingToken { epoch: 10, disk: 8 };
    assert_eq!(
        answer(node.handle(Duration::ZERO, other)),
        Answer::WrongDisk
    );
}

#[test]
fn a_view_whose_write_failed_is_persisted_when_it_is_learned_again() {
    let (mut node, _) = StorageNode::create("store".to_owned(), 7, 1);
    assert!(node.learn_view(view(10, 7)).is_some());
    let _ = node.persist_failed();
    let Some(Step::Persist { pending, .. }) = node.learn_view(view(10, 7)) else {
        panic!("expected a record to persist")
    };
    let _ = node.complete(pending, &synced());
    assert!(node.learn_view(view(10, 7)).is_none());
}

#[test]
fn a_pull_after_a_failed_write_finishes_with_a_snapshot() {
    let (mut node, _) = StorageNode::create("store".to_owned(), 7, 1);
    assert!(matches!(
        node.handle(Duration::ZERO, reserve(1)),
        Step::Persist { .. }
    ));
    let _ = node.persist_failed();
    let Step::PersistSnapshot { pending, .. } = node.finish_pull(Duration::ZERO, 10) else {
        panic!("expected a snapshot to persist")
    };
    assert_eq!(node.pulled_epoch(), 0);
    let _ = node.complete(pending, &synced());
    assert_eq!(node.pulled_epoch(), 10);
}

#[test]
fn a_chain_is_retained_as_long_as_its_newest_turn() {
    let mut store = Store::default();
    let second = Duration::from_secs(1);
    let records = |turns| Store::records("program".to_owned(), Vec::new(), turns);
    store.merge(Duration::ZERO, records(vec![turn("a", None)]));
    store.merge(second * 50, records(vec![turn("b", Some("a"))]));
    store.expire(second * 110);
    assert_eq!(store.chain("program", "b", usize::MAX).len(), 2);
    assert_eq!(store.programs_of("a"), ["program"]);
    store.expire(second * 116);
    assert!(store.chain("program", "b", usize::MAX).is_empty());
    assert!(store.programs_of("a").is_empty());
    assert_eq!(store.bytes(), 0);
    assert_eq!(
        store.len(),
        1,
        "the budget is retained longer than the turns"
    );
    store.expire(second * 1_000);
    assert!(store.is_empty());
}

#[test]
fn reading_a_cyclic_chain_terminates() {
    let mut store = Store::default();
    let turns = vec![turn("a", Some("b")), turn("b", Some("a"))];
    store.merge(
        Duration::ZERO,
        Store::records("program".to_owned(), Vec::new(), turns),
    );
    assert!(store.chain("program", "a", usize::MAX).len() <= 3);
}

#[test]
fn the_cache_is_bounded_and_expires() {
    let mut cache = TurnCache::new(4_000);
    let cached = |number: u32| Turn {
        program: "program".to_owned(),
        session: String::new(),
        request_id: number.to_string(),
        previous: number.checked_sub(1).map(|before| TurnKey {
            program: "program".to_owned(),
            request_id: before.to_string(),
        }),
        input: vec![0; 500].into(),
        events: Vec::new(),
        retention: Duration::from_secs(60),
    };
    for number in 0..20 {
        cache.insert(Duration::ZERO, cached(number).into());
    }
    assert!(cache.bytes() <= 4_000);
    let chain = cache.chain(&cached(19).key());
    assert!(!chain.is_empty() && chain.len() < 20);
    cache.insert(Duration::from_secs(61), cached(100).into());
    assert!(cache.chain(&cached(19).key()).is_empty());
}
