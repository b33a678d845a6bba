//! The objects of a watch, put together from its lines. Owns the object that has begun; must never read it.

use super::LONGEST;

/// What a watch has told of an object that is written over several lines: the first holds its bracket alone.
#[derive(Default)]
pub struct Lines {
    begun: Vec<u8>,
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Lines {
    /// The object that this line ends, an empty one for an empty line between two; none while it goes on. One
    /// that begins where another has not ended shows that something was lost: both are given, and are no
    /// JSON.
    pub fn whole(&mut self, line: Vec<u8>) -> Option<Vec<u8>> {
        let text = line.trim_ascii();
        let within = self.depth > 0 && line[0] != b'{' && !text.is_empty();
        let broken = !within && text != b"{";
        for b in &line {
            match b {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.begun.extend(line);
        if self.depth > 0 && !broken && self.begun.len() <= LONGEST {
            return None;
        }
        let object = std::mem::take(self).begun;
        Some(object.trim_ascii().to_vec())
    }
}
