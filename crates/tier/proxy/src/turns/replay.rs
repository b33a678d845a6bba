//! Bodies of requests that continue stored turns.

use bytes::{BufMut, Bytes, BytesMut};

/// One stored turn: its input and the data of its events.
pub trait StoredTurn {
    /// The body that the client sent.
    fn input(&self) -> &Bytes;
    /// Data of each event of the response.
    fn events(&self) -> &[Bytes];
}

/// The body for a replica: for each turn, oldest first, its input and the data of its events, each followed by a
/// line feed; then the new input.
pub fn replay_body<T: StoredTurn>(turns: &[T], input: &Bytes) -> Bytes {
    if turns.is_empty() {
        return input.clone();
    }
    let length = turns.iter().map(replayed_length).sum::<usize>() + input.len();
    let mut body = BytesMut::with_capacity(length);
    for turn in turns {
        body.put_slice(turn.input());
        for data in turn.events() {
            body.put_slice(data);
            body.put_u8(b'\n');
        }
    }
    body.put_slice(input);
    body.freeze()
}

fn replayed_length<T: StoredTurn>(turn: &T) -> usize {
    let events = turn.events().iter();
    turn.input().len() + events.map(|data| data.len() + 1).sum::<usize>()
}
