//! Bodies that replay stored turns, and the count of a turn's tokens.

use bytes::Bytes;
use quickcheck::QuickCheck;
use woadreach_proxy::turns::replay::{StoredTurn, replay_body};
use woadreach_proxy::turns::token_counter::TokenCounter;

struct Earlier {
    input: Bytes,
    events: Vec<Bytes>,
}

impl StoredTurn for Earlier {
    fn input(&self) -> &Bytes {
        &self.input
    }

    fn events(&self) -> &[Bytes] {
        &self.events
    }
}

#[test]
fn a_chain_is_inputs_and_data_oldest_first() {
    let turn = |input: &'static str, events: &[&'static str]| Earlier {
        input: Bytes::from_static(input.as_bytes()),
        events: events
            .iter()
            .map(|data| Bytes::from_static(data.as_bytes()))
            .collect(),
    };
    let chain = [turn("q1", &["a", "b"]), turn("q2", &[]), turn("q3", &["c"])];
    assert_eq!(
        &replay_body(&chain, &Bytes::from_static(b"q4"))[..],
        b"q1a\nb\nq2q3c\nq4"
    );
    assert_eq!(
        &replay_body::<Earlier>(&[], &Bytes::from_static(b"q4"))[..],
        b"q4"
    );
}

#[test]
fn any_chain_is_the_plain_concatenation() {
    fn property(chain: Vec<(Vec<u8>, Vec<Vec<u8>>)>, input: Vec<u8>) -> bool {
        let mut expected = Vec::new();
        for (turn_input, events) in &chain {
            expected.extend_from_slice(turn_input);
            events
                .iter()
                .for_each(|data| expected.extend(data.iter().chain(b"\n")));
        }
        expected.extend_from_slice(&input);
        let earlier = |(input, events): (Vec<u8>, Vec<Vec<u8>>)| Earlier {
            input: input.into(),
            events: events.into_iter().map(Bytes::from).collect(),
        };
        let turns: Vec<Earlier> = chain.into_iter().map(earlier).collect();
        replay_body(&turns, &input.into()) == expected
    }
    type Property = fn(Vec<(Vec<u8>, Vec<Vec<u8>>)>, Vec<u8>) -> bool;
    QuickCheck::new().quickcheck(property as Property);
}

#[test]
fn counted_tokens_are_bounded_by_the_maximum() {
    let mut token_counter = TokenCounter::new(3, 10);
    assert_eq!(token_counter.tokens(), 0);
    token_counter.add_events(2);
    assert_eq!(token_counter.tokens(), 6);
    token_counter.add_events(2);
    assert_eq!((token_counter.events(), token_counter.tokens()), (4, 10));
}
