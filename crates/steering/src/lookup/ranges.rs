//! Sorted address ranges, each with a value.

/// Value of addresses outside all blocks.
pub(super) const NO_SITE: u16 = u16::MAX;

/// Contiguous ranges: each extends from its start to the start of the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Ranges<T> {
    starts: Vec<T>,
    values: Vec<u16>,
}

impl<T: Copy + Ord> Ranges<T> {
    /// Flattens nested blocks into ranges.
    ///
    /// Blocks are given as first address, last address and value, sorted by first address, wider
    /// blocks first. `successor` returns the next address, or `None` for the last one.
    pub(super) fn new(
        blocks: impl Iterator<Item = (T, T, u16)>,
        successor: impl Fn(T) -> Option<T>,
    ) -> Ranges<T> {
        let mut ranges = Ranges {
            starts: Vec::new(),
            values: Vec::new(),
        };
        let mut open: Vec<(T, u16)> = Vec::new();
        for (first, last, value) in blocks {
            ranges.close(&mut open, Some(first), &successor);
            ranges.push(first, value);
            open.push((last, value));
        }
        ranges.close(&mut open, None, &successor);
        ranges.starts.shrink_to_fit();
        ranges.values.shrink_to_fit();
        ranges
    }

    /// Closes the open blocks that end before an address, or all of them without an address.
    fn close(
        &mut self,
        open: &mut Vec<(T, u16)>,
        before: Option<T>,
        successor: impl Fn(T) -> Option<T>,
    ) {
        while let Some((last, _)) = open.pop_if(|(last, _)| before.is_none_or(|b| *last < b)) {
            let outer_value = open.last().map_or(NO_SITE, |(_, value)| *value);
            if let Some(start) = successor(last) {
                self.push(start, outer_value);
            }
        }
    }

    fn push(&mut self, start: T, value: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.values.pop();
        }
        // Adjacent blocks of the same site are not merged, because each block has its own key.
        if value != NO_SITE || self.values.last().is_some_and(|v| *v != NO_SITE) {
            self.starts.push(start);
            self.values.push(value);
        }
    }

    /// Position of the range that contains an address, searched in `from..to`.
    pub(super) fn position(&self, address: T, from: usize, to: usize) -> Option<usize> {
        let count = self.starts[from..to].partition_point(|start| *start <= address);
        (from + count).checked_sub(1)
    }

    /// Start and value of the range at a position.
    pub(super) fn get(&self, position: usize) -> (T, u16) {
        (self.starts[position], self.values[position])
    }

    pub(super) fn starts(&self) -> &[T] {
        &self.starts
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<T>() + self.values.capacity() * size_of::<u16>()
    }
}
