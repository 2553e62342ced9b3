//! Encoding of frames in the files of a control replica. A frame has a length prefix, a
//! number and checksums.
//!
//! One frame holds all records that one sync makes durable. A frame is therefore
//! acknowledged as a whole or not at all, and only the last frame of the log can be torn.

use crc32fast::Hasher;
use snafu::Snafu;

/// Magic number at the start and at the end of a frame. None of its bytes is zero, so
/// zeros in its place show that nothing was written there.
const MAGIC: u32 = 0x4852_4c31;

/// Size of the header in bytes: magic number, body length, frame number, body checksum and
/// header checksum.
const HEADER_BYTES: usize = 24;

/// Size in bytes of the magic number after the body.
const TRAILER_BYTES: usize = 4;

/// Size in bytes of a frame without its body.
pub const FRAME_BYTES: usize = HEADER_BYTES + TRAILER_BYTES;

/// Smallest unit that a disk writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

/// Length in bytes from which an all-zero part of a sector counts as never written. No
/// encoded record contains so many zeros in a row.
const MISSING_BYTES: usize = 64;

/// Reasons for which a frame can't be decoded.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum FrameError {
    /// The bytes end before the end of the frame.
    #[snafu(display("the file ends within a frame"))]
    Short,
    /// The header has a wrong magic number or checksum.
    #[snafu(display("the header of a frame is damaged"))]
    Header,
    /// The body has a wrong checksum, or the magic number after it is wrong.
    #[snafu(display("the body of a frame is damaged"))]
    Body,
}

/// A decoded frame.
#[derive(Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// Number of the frame: consecutive in the log, the index of the last included entry
    /// in a snapshot, 0 in the identity file.
    pub number: u64,
    /// Encoded content.
    pub body: &'a [u8],
    /// Size of the whole frame in bytes.
    pub length: usize,
}

/// Whether bytes at the end of a file that are no valid frame can be truncated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tail {
    /// A crash interrupted the last write before it was synced; truncating is safe.
    Torn,
    /// The bytes may be acknowledged records and must not be truncated.
    Damaged,
}

/// Appends a frame to `buf`.
///
/// # Panics
///
/// Panics if the body is 4 GiB or larger; batches of records are far smaller.
pub fn encode_frame(number: u64, body: &[u8], buf: &mut Vec<u8>) {
    let length = u32::try_from(body.len()).expect("a frame's body is smaller than 4 GiB");
    let start = buf.len();
    buf.extend_from_slice(&MAGIC.to_le_bytes());
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&number.to_le_bytes());
    buf.extend_from_slice(&body_checksum(number, body).to_le_bytes());
    let header_checksum = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&header_checksum.to_le_bytes());
    buf.extend_from_slice(body);
    buf.extend_from_slice(&MAGIC.to_le_bytes());
}

fn body_checksum(number: u64, body: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(word)
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(word)
}

/// Decodes the frame at the start of `bytes`.
///
/// # Errors
///
/// Returns a [`FrameError`] if there is no complete frame with valid checksums.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame<'_>, FrameError> {
    if bytes.len() < HEADER_BYTES {
        return Err(FrameError::Short);
    }
    let header_checksum = u32_at(bytes, HEADER_BYTES - 4);
    let header = &bytes[..HEADER_BYTES - 4];
    if u32_at(header, 0) != MAGIC || crc32fast::hash(header) != header_checksum {
        return Err(FrameError::Header);
    }
    let body_length = u32_at(header, 4) as usize;
    let number = u64_at(header, 8);
    let body_end = HEADER_BYTES + body_length;
    let length = body_end + TRAILER_BYTES;
    if bytes.len() < length {
        return Err(FrameError::Short);
    }
    let body = &bytes[HEADER_BYTES..body_end];
    let intact = body_checksum(number, body) == u32_at(header, 16);
    if !intact || u32_at(bytes, body_end) != MAGIC {
        return Err(FrameError::Body);
    }
    Ok(Frame {
        number,
        body,
        length,
    })
}

/// Decides whether the end of a file from `offset` on, where decoding a frame failed with
/// `error`, is a torn write or damage.
///
/// A write that a crash interrupted leaves a file that ends too early, or sectors that
/// were never written and read as zeros. Anything else, such as a frame of full length
/// with a flipped bit, may be an acknowledged record. Truncating it would make the
/// replica lose a vote or a committed entry, which would go unnoticed until there are two
/// leaders in one term or an accepted manifest is gone. Bytes that are followed by a
/// valid frame are not truncated either, since that frame was written only after the
/// bytes before it were synced.
#[must_use]
pub fn judge_tail(file: &[u8], offset: usize, error: &FrameError) -> Tail {
    if has_frame_after(&file[offset..]) {
        return Tail::Damaged;
    }
    let is_torn = *error == FrameError::Short || has_unwritten_part(file, offset);
    if is_torn { Tail::Torn } else { Tail::Damaged }
}

fn has_frame_after(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|start| decode_frame(&bytes[start..]).is_ok())
}

/// Returns whether a part of the last frame that lies within one sector was never
/// written, that is, reads as zeros.
fn has_unwritten_part(file: &[u8], offset: usize) -> bool {
    let frame = &file[offset..];
    let is_zero = |part: &[u8]| part.iter().all(|byte| *byte == 0);
    if is_zero(frame) || is_zero(&frame[..TRAILER_BYTES]) {
        return true;
    }
    let mut position = offset;
    while position < file.len() {
        let sector_end = (position / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let part = &file[position..sector_end.min(file.len())];
        let at_end = sector_end >= file.len();
        let min_length = if at_end { TRAILER_BYTES } else { MISSING_BYTES };
        if part.len() >= min_length && is_zero(part) {
            return true;
        }
        position = sector_end;
    }
    false
}
