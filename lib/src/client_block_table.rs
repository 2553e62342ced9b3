//! Look-up of a caller's failure domain (place) by its address.
//!
//! Longest-prefix matching over nested blocks is resolved when the table is built. The result is a
//! list of disjoint ranges in ascending order, each with the place of the longest block that covers
//! it. A look-up is one binary search among the ranges that share the leading bits of the address.

use std::mem::size_of;
use std::net::IpAddr;

use crate::id::PlaceName;
use crate::manifest::ClientBlock;
use crate::manifest::Manifest;

/// Maximum number of places in a manifest: the table stores their indexes in two bytes, and one
/// value marks ranges without a place.
pub const MAX_PLACES: usize = u16::MAX as usize;

/// Index for a range that no block covers.
const NO_PLACE: u16 = u16::MAX;
/// Number of leading address bits by which ranges are grouped.
const GROUP_BITS: u32 = 16;
const GROUPS: usize = 1 << GROUP_BITS;

/// Maps addresses to places by longest prefix.
#[derive(Clone, Debug, Default)]
pub struct ClientBlockTable {
    places: Vec<PlaceName>,
    v4: RangeTable<u32>,
    v6: RangeTable<u128>,
}

impl ClientBlockTable {
    /// Builds the table from a manifest's client blocks.
    ///
    /// Blocks whose place the manifest does not define are skipped; a validated manifest has none.
    #[must_use]
    pub fn new(manifest: &Manifest) -> Self {
        let places: Vec<PlaceName> = manifest.places.keys().take(MAX_PLACES).cloned().collect();
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for client_block in &manifest.client_blocks {
            let Some(place) = position(&places, client_block) else {
                continue;
            };
            let length = u32::from(client_block.block.length);
            match client_block.block.address {
                IpAddr::V4(address) => v4.push(Block::new(address.to_bits(), length, place)),
                IpAddr::V6(address) => v6.push(Block::new(address.to_bits(), length, place)),
            }
        }
        Self {
            places,
            v4: RangeTable::new(v4),
            v6: RangeTable::new(v6),
        }
    }

    /// Returns the place of the longest block that contains the address, or `None` if no block
    /// does.
    ///
    /// An IPv4-mapped IPv6 address is treated as the IPv4 address.
    #[must_use]
    pub fn place_of(&self, address: IpAddr) -> Option<&PlaceName> {
        let position = match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.get(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.get(v6.to_bits()),
        };
        self.places.get(usize::from(position))
    }

    /// Returns the number of ranges, including those that no block covers.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }

    /// Returns the heap size of the table in bytes, without the names of places.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}

fn position(places: &[PlaceName], client_block: &ClientBlock) -> Option<u16> {
    let position = places.binary_search(&client_block.place).ok()?;
    u16::try_from(position).ok()
}

/// Integer representation of an address.
trait AddressBits: Copy + Default + Ord {
    /// Returns the last address of the block of prefix length `length` that starts at this address.
    fn last_of_block(self, length: u32) -> Self;

    /// Returns the next address, or `None` after the last one.
    fn next(self) -> Option<Self>;

    /// Returns the leading [`GROUP_BITS`] bits.
    fn group(self) -> usize;
}

macro_rules! address_bits {
    ($number:ty) => {
        impl AddressBits for $number {
            fn last_of_block(self, length: u32) -> Self {
                self | Self::MAX.checked_shr(length).unwrap_or(0)
            }

            fn next(self) -> Option<Self> {
                self.checked_add(1)
            }

            fn group(self) -> usize {
                (self >> (<$number>::BITS - GROUP_BITS)) as usize
            }
        }
    };
}

address_bits!(u32);
address_bits!(u128);

/// A block, given by its first and last address.
#[derive(Clone, Copy, Debug)]
struct Block<A> {
    first: A,
    last: A,
    place: u16,
}

impl<A: AddressBits> Block<A> {
    fn new(first: A, length: u32, place: u16) -> Self {
        Self {
            first,
            last: first.last_of_block(length),
            place,
        }
    }
}

/// Disjoint ranges in ascending order. Each range ends where the next one starts, and the first one
/// starts at the lowest address. The table is empty if there are no blocks.
#[derive(Clone, Debug, Default)]
struct RangeTable<A> {
    starts: Vec<A>,
    places: Vec<u16>,
    /// Number of ranges that start before each group.
    group_starts: Vec<u32>,
}

impl<A: AddressBits> RangeTable<A> {
    fn new(mut blocks: Vec<Block<A>>) -> Self {
        if blocks.is_empty() {
            return Self::default();
        }
        // An outer block sorts before the blocks nested in it.
        blocks.sort_unstable_by_key(|block| (block.first, std::cmp::Reverse(block.last)));
        let mut builder = RangeBuilder::new();
        for block in blocks {
            builder.open(block);
        }
        builder.finish()
    }

    fn get(&self, address: A) -> u16 {
        if self.starts.is_empty() {
            return NO_PLACE;
        }
        let group = address.group();
        let low = self.group_starts[group] as usize;
        let high = self.group_starts[group + 1] as usize;
        let within = self.starts[low..high].partition_point(|start| *start <= address);
        // If no range of the group starts at or before the address, the address lies in the last
        // range of an earlier group. That range exists, since the first range starts at the lowest
        // address.
        self.places[low + within - 1]
    }

    fn heap_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>()
            + self.places.capacity() * size_of::<u16>()
            + self.group_starts.capacity() * size_of::<u32>()
    }
}

/// Builds the ranges from blocks in ascending order, outer blocks first.
struct RangeBuilder<A> {
    starts: Vec<A>,
    places: Vec<u16>,
    /// Blocks that contain the current address, innermost last.
    open: Vec<Block<A>>,
}

impl<A: AddressBits> RangeBuilder<A> {
    fn new() -> Self {
        Self {
            starts: vec![A::default()],
            places: vec![NO_PLACE],
            open: Vec::new(),
        }
    }

    fn open(&mut self, block: Block<A>) {
        self.close_before(Some(block.first));
        self.range(block.first, block.place);
        self.open.push(block);
    }

    fn finish(mut self) -> RangeTable<A> {
        self.close_before(None);
        self.starts.shrink_to_fit();
        self.places.shrink_to_fit();
        let group_starts = group_starts(&self.starts);
        RangeTable {
            starts: self.starts,
            places: self.places,
            group_starts,
        }
    }

    /// Closes the blocks that end before an address, or all blocks if it is `None`.
    fn close_before(&mut self, address: Option<A>) {
        while let Some(block) = self.open.last().copied() {
            if address.is_some_and(|address| block.last >= address) {
                return;
            }
            self.open.pop();
            let outer = self.open.last().map_or(NO_PLACE, |block| block.place);
            if let Some(after) = block.last.next() {
                self.range(after, outer);
            }
        }
    }

    /// Starts a range. Replaces the previous range if that would be empty, and does nothing if the
    /// previous range has the same place.
    fn range(&mut self, start: A, place: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.places.pop();
        }
        if self.places.last() != Some(&place) {
            self.starts.push(start);
            self.places.push(place);
        }
    }
}

fn group_starts<A: AddressBits>(starts: &[A]) -> Vec<u32> {
    let mut group_starts = Vec::with_capacity(GROUPS + 1);
    let mut before = 0_u32;
    let mut starts = starts.iter().peekable();
    for group in 0..GROUPS {
        while starts.next_if(|start| start.group() < group).is_some() {
            before += 1;
        }
        group_starts.push(before);
    }
    let remaining = u32::try_from(starts.count()).unwrap_or(u32::MAX);
    group_starts.push(before.saturating_add(remaining));
    group_starts
}
