//! The objects of a watch, put together from its lines.

use super::MAX_LIST;

/// Assembles objects that may be written over several lines, of which the first holds the bracket alone.
#[derive(Default)]
pub(super) struct ObjectLines {
    /// The object that has begun.
    object: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ObjectLines {
    /// The object that this line completes, an empty one for an empty line between two; `None` while it goes
    /// on. A line that begins an object where another is incomplete shows that something was lost: both are
    /// returned together, and are no JSON.
    pub(super) fn push(&mut self, line: Vec<u8>) -> Option<Vec<u8>> {
        let text = line.trim_ascii();
        let within = self.depth > 0 && line[0] != b'{' && !text.is_empty();
        let broken = !within && text != b"{";
        line.iter().for_each(|byte| self.count(*byte));
        self.object.extend(line);
        if self.depth > 0 && !broken && self.object.len() <= MAX_LIST {
            return None;
        }
        let object = std::mem::take(self).object;
        Some(object.trim_ascii().to_vec())
    }

    /// Follows the nesting of brackets outside strings.
    fn count(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
