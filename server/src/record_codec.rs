//! Frames of the control replica's files: length-prefixed, numbered and checksummed.
//!
//! One frame holds all records that one sync made durable. A frame is thus either
//! acknowledged as a whole or not at all, and a torn write can only be the last frame.

use crc32fast::Hasher;
use snafu::Snafu;

/// Marks the start and the end of a frame. None of its bytes is zero, so that zeros in
/// its place mean that nothing was written there.
const MAGIC: u32 = 0x4852_4c31;

/// Bytes of a frame before its body: magic, length, number, body checksum, header checksum.
const HEADER_BYTES: usize = 24;

/// Bytes of a frame after its body.
const TRAILER_BYTES: usize = 4;

/// Bytes of a frame besides its body.
pub const FRAME_BYTES: usize = HEADER_BYTES + TRAILER_BYTES;

/// The smallest unit that a disk writes as a whole.
const SECTOR_BYTES: usize = 512;

/// Zeros in a row, within one sector, that no encoded record holds.
const MISSING_BYTES: usize = 64;

/// Tells what is wrong with the bytes of a frame.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum FrameError {
    /// The file ends within the frame.
    #[snafu(display("the file ends within a frame"))]
    Short,
    /// The frame's header doesn't have its checksum.
    #[snafu(display("the header of a frame is damaged"))]
    Header,
    /// The frame's body doesn't have its checksum.
    #[snafu(display("the body of a frame is damaged"))]
    Body,
}

/// Holds a frame that was read back.
#[derive(Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// The frame's number.
    pub number: u64,
    /// What it holds.
    pub body: &'a [u8],
    /// Bytes of the whole frame.
    pub length: usize,
}

/// Tells whether bytes that hold no whole frame can be cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tail {
    /// The last write was interrupted by a crash, before it was synced.
    Torn,
    /// Acknowledged records may lie here.
    Damaged,
}

/// Appends a frame to `buf`.
///
/// # Panics
///
/// Panics if the body is 4 GiB or larger, which no batch of records comes near.
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

/// Reads the frame at the start of `bytes`.
///
/// # Errors
///
/// Returns a [`FrameError`] if there is no whole frame with the right checksums.
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

/// Judges the end of a file from `offset` on, where no whole frame could be read.
///
/// A write that a crash interrupted leaves a file that ends too early, or sectors that
/// were never written and read as zeros. Anything else, such as a frame of full length
/// with a flipped bit, may be a record that was acknowledged: cutting it off would
/// make the replica forget a vote or a committed entry, which nobody would notice
/// until two leaders of one term exist or an accepted manifest is gone. Nor is
/// anything cut off that a whole frame follows, since that frame was written only
/// after this one was synced.
#[must_use]
pub fn judge_tail(file: &[u8], offset: usize, error: &FrameError) -> Tail {
    if has_frame_after(&file[offset..]) {
        return Tail::Damaged;
    }
    let missing = *error == FrameError::Short || has_unwritten_part(file, offset);
    if missing { Tail::Torn } else { Tail::Damaged }
}

fn has_frame_after(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|start| decode_frame(&bytes[start..]).is_ok())
}

/// Returns whether a part of the last frame, from one sector's boundary to the next,
/// was never written.
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
        let least = if at_end { TRAILER_BYTES } else { MISSING_BYTES };
        if part.len() >= least && is_zero(part) {
            return true;
        }
        position = sector_end;
    }
    false
}
