//! Shares of data centres in the traffic of one kind of work.

use std::collections;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::model;

/// Number of cells into which the traffic is divided; a share is a whole number of cells.
pub const CELL_COUNT: u32 = 1000;

/// Cell of a request, from 0 to [`CELL_COUNT`] - 1; every host computes the same one.
pub fn cell_of(affinity: u64) -> u32 {
    (xxh3::xxh3_64(&affinity.to_le_bytes()) % u64::from(CELL_COUNT)) as u32
}

/// Assignment of each cell of the traffic to a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    data_centres: Vec<model::DataCentreId>,
    /// Index of the data centre of each cell.
    cells: Vec<u8>,
}

impl Shares {
    /// Assigns all traffic to one data centre.
    pub fn new(data_centre: &str) -> Shares {
        Shares {
            data_centres: vec![data_centre.to_string()],
            cells: vec![0; CELL_COUNT as usize],
        }
    }

    /// Whether every cell is assigned to a data centre; values received from other hosts may be
    /// invalid.
    pub fn is_valid(&self) -> bool {
        let is_known = |i: &u8| usize::from(*i) < self.data_centres.len();
        self.cells.len() == CELL_COUNT as usize && self.cells.iter().all(is_known)
    }

    /// Data centre of a cell.
    pub fn data_centre_of(&self, cell: u32) -> &model::DataCentreId {
        &self.data_centres[usize::from(self.cells[cell as usize])]
    }

    /// Number of cells assigned to a data centre.
    pub fn cells_at(&self, data_centre: &str) -> u32 {
        let index = self.index_of(data_centre);
        self.cells.iter().filter(|i| Some(**i) == index).count() as u32
    }

    /// Number of cells of each data centre that has at least one.
    pub fn cells(&self) -> collections::BTreeMap<model::DataCentreId, u32> {
        let mut counts = vec![0; self.data_centres.len()];
        self.cells.iter().for_each(|i| counts[usize::from(*i)] += 1);
        self.data_centres
            .iter()
            .cloned()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Number of cells that are assigned to different data centres in `self` and `other`.
    pub fn differing_cells(&self, other: &Shares) -> u32 {
        (0..CELL_COUNT)
            .filter(|cell| self.data_centre_of(*cell) != other.data_centre_of(*cell))
            .count() as u32
    }

    /// Assigns a cell to a data centre.
    pub fn assign(&mut self, cell: u32, data_centre: &str) {
        self.cells[cell as usize] = self.index_or_insert(data_centre);
    }

    fn index_of(&self, data_centre: &str) -> Option<u8> {
        self.data_centres
            .iter()
            .position(|name| name == data_centre)
            .map(|i| i as u8)
    }

    /// Index of a data centre, which is added if it is new.
    fn index_or_insert(&mut self, data_centre: &str) -> u8 {
        self.index_of(data_centre).unwrap_or_else(|| {
            self.data_centres.push(data_centre.to_string());
            (self.data_centres.len() - 1) as u8
        })
    }
}
