//! Finds the place of a caller from its address.
//!
//! Longest-prefix matching over nested blocks is resolved when the table is built:
//! what remains are disjoint ranges in ascending order, each with the place of the
//! longest block that covers it. A look-up is then one binary search within the slice
//! of ranges that share the address's leading bits.

use std::mem::size_of;
use std::net::IpAddr;

use crate::id::PlaceName;
use crate::manifest::ClientBlock;
use crate::manifest::Manifest;

/// Places that a manifest may have; positions in the table take two bytes.
pub const MAX_PLACES: usize = u16::MAX as usize;

/// Marks a range that no block covers.
const NO_PLACE: u16 = u16::MAX;
/// Leading bits by which ranges are grouped.
const GROUP_BITS: u32 = 16;
/// Number of groups.
const GROUPS: usize = 1 << GROUP_BITS;

/// Maps addresses to places by longest prefix.
#[derive(Clone, Debug, Default)]
pub struct ClientBlockTable {
    places: Vec<PlaceName>,
    v4: RangeTable<u32>,
    v6: RangeTable<u128>,
}

impl ClientBlockTable {
    /// Builds the table of a manifest's client blocks.
    ///
    /// Blocks of places that the manifest doesn't describe are left out; a checked
    /// manifest has none.
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

    /// Returns the place of the longest block that holds the address, if any does.
    ///
    /// An IPv4 address that is written as an IPv6 one counts as the former.
    #[must_use]
    pub fn place_of(&self, address: IpAddr) -> Option<&PlaceName> {
        let position = match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.get(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.get(v6.to_bits()),
        };
        self.places.get(usize::from(position))
    }

    /// Returns the number of ranges, those that no block covers included.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }

    /// Returns the bytes that the table holds on the heap, names of places left out.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}

fn position(places: &[PlaceName], client_block: &ClientBlock) -> Option<u16> {
    let position = places.binary_search(&client_block.place).ok()?;
    u16::try_from(position).ok()
}

/// An address as a number.
trait AddressBits: Copy + Default + Ord {
    /// Returns the last address of the block that starts here.
    fn last_of_block(self, length: u32) -> Self;

    /// Returns the next address, or none after the last.
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

/// A block by its first and last address.
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

/// Holds disjoint ranges in ascending order. Each ends where the next one starts; the
/// first starts at the lowest address. Without blocks there are no ranges.
#[derive(Clone, Debug, Default)]
struct RangeTable<A> {
    starts: Vec<A>,
    places: Vec<u16>,
    /// For each group, the number of ranges that start before it.
    group_starts: Vec<u32>,
}

impl<A: AddressBits> RangeTable<A> {
    fn new(mut blocks: Vec<Block<A>>) -> Self {
        if blocks.is_empty() {
            return Self::default();
        }
        // An outer block comes before those that it holds.
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
        // With no start at or before it in its group, the address lies in the last range
        // of an earlier group. The first range starts at the lowest address, so there
        // always is one.
        self.places[low + within - 1]
    }

    fn heap_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>()
            + self.places.capacity() * size_of::<u16>()
            + self.group_starts.capacity() * size_of::<u32>()
    }
}

/// Sweeps over blocks in ascending order, outer ones first.
struct RangeBuilder<A> {
    starts: Vec<A>,
    places: Vec<u16>,
    /// Blocks that hold the current address, the innermost last.
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

    /// Closes the blocks that end before an address, or all.
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

    /// Starts a range, in place of one that would be empty, and not at all if the range
    /// before it has the same place.
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
