//! A pull parser of JSON over bytes (RFC 8259): it takes the values asked for by slice and skips the rest. It
//! never recurses beyond 32 levels, nor allocates by a length that the text merely claims.

use snafu::Snafu;
use std::borrow::Cow;

/// Deepest nesting of values that is accepted: the protocol's own go to four.
const MAX_DEPTH: usize = 32;

/// Why a text cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ParseError {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// The error with this reason.
pub(crate) fn invalid(reason: &'static str) -> ParseError {
    ParseError { reason }
}

type Parsed<T> = Result<T, ParseError>;

/// Reads values from the start of a text to its end.
///
/// Its methods fail with [`ParseError`] where the next value is not of the kind asked for.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a [u8],
    offset: usize,
    depth: usize,
}

impl<'a> Reader<'a> {
    /// A reader at the start of `text`.
    pub fn new(text: &'a [u8]) -> Self {
        Reader {
            text,
            offset: 0,
            depth: 0,
        }
    }

    /// Reads a text that is one value, by `read`.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where `read` fails, or anything but white space follows the value.
    pub fn read_all<T>(text: &'a [u8], read: impl FnOnce(&mut Self) -> Parsed<T>) -> Parsed<T> {
        let mut reader = Reader::new(text);
        let value = read(&mut reader)?;
        reader.skip_space();
        if reader.offset == text.len() {
            Ok(value)
        } else {
            Err(invalid("text after the value"))
        }
    }

    fn skip_space(&mut self) {
        while self
            .text
            .get(self.offset)
            .is_some_and(|b| matches!(b, b' ' | b'\t' | b'\n' | b'\r'))
        {
            self.offset += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.text.get(self.offset).copied()
    }

    /// Takes this byte if it comes next.
    fn eat(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.offset += usize::from(found);
        found
    }

    fn expect(&mut self, byte: u8, why: &'static str) -> Parsed<()> {
        if self.eat(byte) {
            Ok(())
        } else {
            Err(invalid(why))
        }
    }

    fn enter(&mut self) -> Parsed<()> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            Err(invalid("nested too deep"))
        } else {
            Ok(())
        }
    }

    /// Reads an object: calls `each` for every key, which must read the value.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not an object, or `each` fails.
    pub fn object(&mut self, mut each: impl FnMut(&str, &mut Self) -> Parsed<()>) -> Parsed<()> {
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

    /// Reads an array: calls `each` for every element, which must read it.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not an array, or `each` fails.
    pub fn array(&mut self, mut each: impl FnMut(&mut Self) -> Parsed<()>) -> Parsed<()> {
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

    /// Reads a string: a slice of the text unless it contains escapes.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not a string.
    pub fn string(&mut self) -> Parsed<Cow<'a, str>> {
        self.expect(b'"', "not a string")?;
        let from = self.offset;
        let mut escaped = false;
        loop {
            match self.text.get(self.offset) {
                None => return Err(invalid("a string without an end")),
                Some(b'"') => break,
                Some(b'\\') => {
                    escaped = true;
                    self.offset += 2;
                }
                Some(0..0x20) => return Err(invalid("a control character in a string")),
                Some(_) => self.offset += 1,
            }
        }
        let raw = self
            .text
            .get(from..self.offset)
            .ok_or(invalid("a string without an end"))?;
        let raw = std::str::from_utf8(raw).map_err(|_| invalid("a string that is not UTF-8"))?;
        self.offset += 1;
        if escaped {
            unescape(raw).map(Cow::Owned)
        } else {
            Ok(Cow::Borrowed(raw))
        }
    }

    /// Reads a number as the text that it is written in.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not a number.
    pub fn number_text(&mut self) -> Parsed<&'a str> {
        self.peek();
        let from = self.offset;
        let digits = |r: &mut Self| {
            let from = r.offset;
            while r.text.get(r.offset).is_some_and(u8::is_ascii_digit) {
                r.offset += 1;
            }
            if r.offset > from {
                Ok(r.offset - from)
            } else {
                Err(invalid("not a number"))
            }
        };
        if self.text.get(self.offset) == Some(&b'-') {
            self.offset += 1;
        }
        let zero = self.text.get(self.offset) == Some(&b'0');
        if digits(self)? > 1 && zero {
            return Err(invalid("a number that starts with 0"));
        }
        if self.text.get(self.offset) == Some(&b'.') {
            self.offset += 1;
            digits(self)?;
        }
        if matches!(self.text.get(self.offset), Some(b'e' | b'E')) {
            self.offset += 1;
            self.offset += usize::from(matches!(self.text.get(self.offset), Some(b'+' | b'-')));
            digits(self)?;
        }
        std::str::from_utf8(&self.text[from..self.offset]).map_err(|_| invalid("not a number"))
    }

    /// Reads a number.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not a number.
    pub fn number(&mut self) -> Parsed<f64> {
        self.number_text()?
            .parse()
            .map_err(|_| invalid("not a number"))
    }

    /// Reads a whole number of 0 or more.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not such a number, or does not fit.
    pub fn unsigned(&mut self) -> Parsed<u64> {
        self.number_text()?
            .parse()
            .map_err(|_| invalid("not a whole number of 0 or more"))
    }

    /// Reads `true` or `false`.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is neither.
    pub fn boolean(&mut self) -> Parsed<bool> {
        match self.peek() {
            Some(b't') => self.literal("true").map(|()| true),
            _ => self.literal("false").map(|()| false),
        }
    }

    fn literal(&mut self, literal: &str) -> Parsed<()> {
        self.skip_space();
        if !self.text[self.offset..].starts_with(literal.as_bytes()) {
            return Err(invalid("not a value"));
        }
        self.offset += literal.len();
        Ok(())
    }

    /// Skips a value of any kind, and returns its text.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where it is not a value.
    pub fn skip(&mut self) -> Parsed<&'a [u8]> {
        self.skip_space();
        let from = self.offset;
        match self.peek() {
            Some(b'{') => self.object(|_, r| r.skip().map(|_| ()))?,
            Some(b'[') => self.array(|r| r.skip().map(|_| ()))?,
            Some(b'"') => self.string().map(|_| ())?,
            Some(b't' | b'f') => self.boolean().map(|_| ())?,
            Some(b'n') => self.literal("null")?,
            _ => self.number_text().map(|_| ())?,
        }
        Ok(&self.text[from..self.offset])
    }
}

const INVALID_ESCAPE: ParseError = ParseError {
    reason: "a bad escape",
};

fn unescape(raw: &str) -> Parsed<String> {
    let mut out = String::with_capacity(raw.len());
    let mut rest = raw.chars();
    while let Some(c) = rest.next() {
        if c != '\\' {
            out.push(c);
            continue;
        }
        out.push(match rest.next().ok_or(INVALID_ESCAPE)? {
            'n' => '\n',
            't' => '\t',
            'r' => '\r',
            'b' => '\u{8}',
            'f' => '\u{c}',
            c @ ('"' | '\\' | '/') => c,
            'u' => unicode_escape(&mut rest)?,
            _ => return Err(INVALID_ESCAPE),
        });
    }
    Ok(out)
}

/// The character of a `\u` escape, or of two that make up a surrogate pair (RFC 8259 §7).
fn unicode_escape(rest: &mut std::str::Chars<'_>) -> Parsed<char> {
    let mut code = utf16_unit(rest)?;
    if (0xd800..0xdc00).contains(&code) {
        if (rest.next(), rest.next()) != (Some('\\'), Some('u')) {
            return Err(INVALID_ESCAPE);
        }
        let low = utf16_unit(rest)?;
        if !(0xdc00..0xe000).contains(&low) {
            return Err(INVALID_ESCAPE);
        }
        code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    }
    char::from_u32(code).ok_or(INVALID_ESCAPE)
}

fn utf16_unit(rest: &mut std::str::Chars<'_>) -> Parsed<u32> {
    let hex: String = rest.by_ref().take(4).collect();
    if hex.len() != 4 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(INVALID_ESCAPE);
    }
    u32::from_str_radix(&hex, 16).map_err(|_| INVALID_ESCAPE)
}

/// Appends a string: its bytes as they are, but for those that JSON has escaped.
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
