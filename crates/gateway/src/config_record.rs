//! The record of the configuration as other daemons receive it.
//!
//! A configuration of some thousand routes takes a slow link a second, and all followers of a hub
//! ask for it at once. Its routes are much alike, so it is compressed, once for all of them.

use bytes::Bytes;
use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use std::cell::OnceCell;
use std::io::{self, Read, Write};
use std::rc::Rc;

/// A record, and its compressed form once another daemon has asked for it.
#[derive(Debug)]
pub(crate) struct ConfigRecord {
    bytes: Rc<[u8]>,
    compressed: OnceCell<Bytes>,
}

impl ConfigRecord {
    pub(crate) fn new(bytes: &[u8]) -> Self {
        Self {
            bytes: bytes.into(),
            compressed: OnceCell::new(),
        }
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The record as one member of a gzip stream.
    ///
    /// # Errors
    /// If it can't be compressed.
    pub(crate) fn compressed(&self) -> io::Result<Bytes> {
        if let Some(known) = self.compressed.get() {
            return Ok(known.clone());
        }
        let compressed = Bytes::from(compress(&self.bytes)?);
        Ok(self.compressed.get_or_init(|| compressed).clone())
    }
}

/// Compresses bytes to one member of a gzip stream. A stream may have several (RFC 1952, section 2.2).
///
/// # Errors
/// If they can't be compressed.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Expands a gzip stream to at most `limit` bytes.
///
/// # Errors
/// If the stream is malformed or has more bytes.
pub(crate) fn expand(stream: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = limit as u64 + 1;
    MultiGzDecoder::new(stream)
        .take(most)
        .read_to_end(&mut bytes)?;
    match bytes.len() > limit {
        true => Err(io::Error::other("the copy is larger than its limit")),
        false => Ok(bytes),
    }
}
