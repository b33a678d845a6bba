//! Shared immutable bytes with a codec, for the body of a configuration or of a storage view. A member stores
//! and forwards the body without copying it.

use bytes::Bytes;
use speedy::{Context, Readable, Reader, Writable, Writer};

/// Bytes that are cheap to clone, encoded as their length and the bytes themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Blob(Bytes::from(bytes))
    }
}

impl<C: Context> Writable<C> for Blob {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        writer.write_u32(self.0.len() as u32)?;
        writer.write_bytes(&self.0)
    }

    fn bytes_needed(&self) -> Result<usize, C::Error> {
        Ok(4 + self.0.len())
    }
}

impl<'a, C: Context> Readable<'a, C> for Blob {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let length = reader.read_u32()? as usize;
        // `read_vec` checks that `length` bytes are available before it allocates.
        let bytes: Vec<u8> = reader.read_vec(length)?;
        Ok(Blob(Bytes::from(bytes)))
    }

    fn minimum_bytes_needed() -> usize {
        4
    }
}
