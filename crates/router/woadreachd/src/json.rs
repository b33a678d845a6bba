//! A reader of JSON over bytes: takes the fields asked for by slice and passes over the rest. Owns nothing;
//! must never do I/O, recurse beyond `DEPTH`, or allocate by a length that the text merely claims.

use std::borrow::Cow;

/// Values nested deeper are refused: the protocol's own reach four.
const DEPTH: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bad(pub &'static str);

type Read<T> = Result<T, Bad>;

pub struct Reader<'a> {
    text: &'a [u8],
    at: usize,
    depth: usize,
}

impl<'a> Reader<'a> {
    pub fn new(text: &'a [u8]) -> Self {
        Reader {
            text,
            at: 0,
            depth: 0,
        }
    }

    /// Reads one value by `read`, after which nothing may follow.
    pub fn whole<T>(text: &'a [u8], read: impl FnOnce(&mut Self) -> Read<T>) -> Read<T> {
        let mut reader = Reader::new(text);
        let value = read(&mut reader)?;
        reader.space();
        if reader.at == text.len() {
            Ok(value)
        } else {
            Err(Bad("text after the value"))
        }
    }

    fn space(&mut self) {
        while self
            .text
            .get(self.at)
            .is_some_and(|b| matches!(b, b' ' | b'\t' | b'\n' | b'\r'))
        {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.text.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> bool {
        let there = self.peek() == Some(byte);
        self.at += usize::from(there);
        there
    }

    fn expect(&mut self, byte: u8, why: &'static str) -> Read<()> {
        if self.eat(byte) {
            Ok(())
        } else {
            Err(Bad(why))
        }
    }

    fn enter(&mut self) -> Read<()> {
        self.depth += 1;
        if self.depth > DEPTH {
            Err(Bad("nested too deep"))
        } else {
            Ok(())
        }
    }

    /// Calls `each` for every key; it must read the value.
    pub fn object(&mut self, mut each: impl FnMut(&str, &mut Self) -> Read<()>) -> Read<()> {
        self.expect(b'{', "not an object")?;
        self.enter()?;
        if !self.eat(b'}') {
            loop {
                self.peek();
                let key = self.string()?;
                self.expect(b':', "no colon after a key")?;
                each(&key, self)?;
                if self.eat(b'}') {
                    break;
                }
                self.expect(b',', "no comma between members")?;
            }
        }
        self.depth -= 1;
        Ok(())
    }

    /// Calls `each` for every element; it must read it.
    pub fn array(&mut self, mut each: impl FnMut(&mut Self) -> Read<()>) -> Read<()> {
        self.expect(b'[', "not an array")?;
        self.enter()?;
        if !self.eat(b']') {
            loop {
                each(self)?;
                if self.eat(b']') {
                    break;
                }
                self.expect(b',', "no comma between elements")?;
            }
        }
        self.depth -= 1;
        Ok(())
    }

    /// A string: the bytes that came unless it holds escapes.
    pub fn string(&mut self) -> Read<Cow<'a, str>> {
        self.expect(b'"', "not a string")?;
        let from = self.at;
        let mut escaped = false;
        loop {
            match self.text.get(self.at) {
                None => return Err(Bad("a string without an end")),
                Some(b'"') => break,
                Some(b'\\') => {
                    escaped = true;
                    self.at += 2;
                }
                Some(0..0x20) => return Err(Bad("a control character in a string")),
                Some(_) => self.at += 1,
            }
        }
        let raw = self
            .text
            .get(from..self.at)
            .ok_or(Bad("a string without an end"))?;
        let raw = std::str::from_utf8(raw).map_err(|_| Bad("a string that is not UTF-8"))?;
        self.at += 1;
        if escaped {
            unescape(raw).map(Cow::Owned)
        } else {
            Ok(Cow::Borrowed(raw))
        }
    }

    /// The text of a number.
    pub fn number_text(&mut self) -> Read<&'a str> {
        self.peek();
        let from = self.at;
        let digits = |r: &mut Self| {
            let from = r.at;
            while r.text.get(r.at).is_some_and(u8::is_ascii_digit) {
                r.at += 1;
            }
            if r.at > from {
                Ok(r.at - from)
            } else {
                Err(Bad("not a number"))
            }
        };
        if self.text.get(self.at) == Some(&b'-') {
            self.at += 1;
        }
        let zero = self.text.get(self.at) == Some(&b'0');
        if digits(self)? > 1 && zero {
            return Err(Bad("a number that starts with 0"));
        }
        if self.text.get(self.at) == Some(&b'.') {
            self.at += 1;
            digits(self)?;
        }
        if matches!(self.text.get(self.at), Some(b'e' | b'E')) {
            self.at += 1;
            self.at += usize::from(matches!(self.text.get(self.at), Some(b'+' | b'-')));
            digits(self)?;
        }
        std::str::from_utf8(&self.text[from..self.at]).map_err(|_| Bad("not a number"))
    }

    pub fn number(&mut self) -> Read<f64> {
        self.number_text()?.parse().map_err(|_| Bad("not a number"))
    }

    pub fn whole_number(&mut self) -> Read<u64> {
        self.number_text()?
            .parse()
            .map_err(|_| Bad("not a whole number of 0 or more"))
    }

    pub fn boolean(&mut self) -> Read<bool> {
        match self.peek() {
            Some(b't') => self.word("true").map(|()| true),
            _ => self.word("false").map(|()| false),
        }
    }

    fn word(&mut self, word: &str) -> Read<()> {
        self.space();
        if !self.text[self.at..].starts_with(word.as_bytes()) {
            return Err(Bad("not a value"));
        }
        self.at += word.len();
        Ok(())
    }

    /// Passes over a value of any kind and gives its text.
    pub fn skip(&mut self) -> Read<&'a [u8]> {
        self.space();
        let from = self.at;
        match self.peek() {
            Some(b'{') => self.object(|_, r| r.skip().map(|_| ()))?,
            Some(b'[') => self.array(|r| r.skip().map(|_| ()))?,
            Some(b'"') => self.string().map(|_| ())?,
            Some(b't' | b'f') => self.boolean().map(|_| ())?,
            Some(b'n') => self.word("null")?,
            _ => self.number_text().map(|_| ())?,
        }
        Ok(&self.text[from..self.at])
    }
}

fn unescape(raw: &str) -> Read<String> {
    let bad = Bad("a bad escape");
    let mut out = String::with_capacity(raw.len());
    let mut rest = raw.chars();
    let unit = |rest: &mut std::str::Chars| {
        let hex: String = rest.by_ref().take(4).collect();
        let digits = hex.len() == 4 && hex.bytes().all(|b| b.is_ascii_hexdigit());
        if digits {
            u32::from_str_radix(&hex, 16).map_err(|_| bad)
        } else {
            Err(bad)
        }
    };
    while let Some(c) = rest.next() {
        if c != '\\' {
            out.push(c);
            continue;
        }
        out.push(match rest.next().ok_or(bad)? {
            'n' => '\n',
            't' => '\t',
            'r' => '\r',
            'b' => '\u{8}',
            'f' => '\u{c}',
            c @ ('"' | '\\' | '/') => c,
            'u' => {
                let mut code = unit(&mut rest)?;
                if (0xd800..0xdc00).contains(&code) {
                    if (rest.next(), rest.next()) != (Some('\\'), Some('u')) {
                        return Err(bad);
                    }
                    let low = unit(&mut rest)?;
                    if !(0xdc00..0xe000).contains(&low) {
                        return Err(bad);
                    }
                    code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
                }
                char::from_u32(code).ok_or(bad)?
            }
            _ => return Err(bad),
        });
    }
    Ok(out)
}

/// Writes a string: its bytes as they are, but for those that JSON wants escaped.
pub fn write_string(out: &mut Vec<u8>, text: &str) {
    out.push(b'"');
    for b in text.bytes() {
        match b {
            b'"' | b'\\' => out.extend([b'\\', b]),
            0..0x20 => out.extend(format!("\\u{b:04x}").into_bytes()),
            _ => out.push(b),
        }
    }
    out.push(b'"');
}
