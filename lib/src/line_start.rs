//! First bytes of a line of a head, of which the rest is not kept.

/// The first `N` bytes of a line that arrives in parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineStart<const N: usize> {
    bytes: [u8; N],
    kept: usize,
    is_whole: bool,
}

impl<const N: usize> Default for LineStart<N> {
    fn default() -> Self {
        Self {
            bytes: [0; N],
            kept: 0,
            is_whole: true,
        }
    }
}

impl<const N: usize> LineStart<N> {
    /// Appends the next part of the line.
    pub(crate) fn push(&mut self, part: &[u8]) {
        let room = &mut self.bytes[self.kept..];
        let taken = part.len().min(room.len());
        room[..taken].copy_from_slice(&part[..taken]);
        self.kept += taken;
        self.is_whole &= taken == part.len();
    }

    /// Returns the bytes that were kept.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes[..self.kept]
    }

    /// Returns the whole line without its end; `None` if a part was not kept.
    pub(crate) fn whole(&self) -> Option<&[u8]> {
        let line = self.bytes();
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        self.is_whole
            .then(|| line.strip_suffix(b"\r").unwrap_or(line))
    }

    /// Returns whether the line consists of its end.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self.bytes(), b"\n" | b"\r\n")
    }

    /// Returns whether the line begins with `name`, in any case.
    pub(crate) fn begins_with(&self, name: &[u8]) -> bool {
        let start = self.bytes().get(..name.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(name))
    }
}
