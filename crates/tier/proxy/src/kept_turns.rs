//! Bodies of turns whose chain the tier keeps.

use bytes::{BufMut, Bytes, BytesMut};

/// One earlier turn: its input, and the data of its events.
pub trait EarlierTurn {
    /// What the client sent.
    fn input(&self) -> &Bytes;
    /// Data of each event of the answer.
    fn events(&self) -> &[Bytes];
}

/// The body for a replica: for each turn, oldest first, its input and the data of its events, each with a
/// line feed behind; then the new input.
pub fn replay_body<T: EarlierTurn>(chain: &[T], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let turn_length = |turn: &T| {
        turn.input().len()
            + turn
                .events()
                .iter()
                .map(|data| data.len() + 1)
                .sum::<usize>()
    };
    let length = chain.iter().map(turn_length).sum::<usize>() + input.len();
    let mut body = BytesMut::with_capacity(length);
    for turn in chain {
        body.put_slice(turn.input());
        for data in turn.events() {
            body.put_slice(data);
            body.put_u8(b'\n');
        }
    }
    body.put_slice(input);
    body.freeze()
}
