//! Division of a kind of work's traffic between data centres.

use std::collections;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::model;

/// Parts that the traffic is divided into; a share is a whole number of them.
pub const CELL_COUNT: u32 = 1000;

/// Cell of a request, from 0 to [`CELL_COUNT`] - 1; the same at every host.
pub fn cell_of(affinity: u64) -> u32 {
    (xxh3::xxh3_64(&affinity.to_le_bytes()) % u64::from(CELL_COUNT)) as u32
}

/// The data centre that each cell of the traffic is sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    data_centres: Vec<model::DataCentreId>,
    /// Index of the data centre of each cell.
    cells: Vec<u8>,
}

impl Shares {
    /// All traffic at one data centre.
    pub fn new(data_centre: &str) -> Shares {
        Shares {
            data_centres: vec![data_centre.to_string()],
            cells: vec![0; CELL_COUNT as usize],
        }
    }

    /// Whether each cell has a data centre, which a value from another host need not keep.
    pub fn is_valid(&self) -> bool {
        let known = |i: &u8| usize::from(*i) < self.data_centres.len();
        self.cells.len() == CELL_COUNT as usize && self.cells.iter().all(known)
    }

    /// Data centre of a cell.
    pub fn data_centre_of(&self, cell: u32) -> &model::DataCentreId {
        &self.data_centres[usize::from(self.cells[cell as usize])]
    }

    /// Cells at a data centre.
    pub fn cells_at(&self, data_centre: &str) -> u32 {
        let index = self.index_of(data_centre);
        self.cells.iter().filter(|i| Some(**i) == index).count() as u32
    }

    /// Cells at each data centre that has any.
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

    /// Cells whose data centre differs between two divisions.
    pub fn difference(&self, other: &Shares) -> u32 {
        (0..CELL_COUNT)
            .filter(|cell| self.data_centre_of(*cell) != other.data_centre_of(*cell))
            .count() as u32
    }

    /// Sends a cell to a data centre.
    pub fn assign(&mut self, cell: u32, data_centre: &str) {
        self.cells[cell as usize] = self.intern(data_centre);
    }

    fn index_of(&self, data_centre: &str) -> Option<u8> {
        self.data_centres
            .iter()
            .position(|name| name == data_centre)
            .map(|i| i as u8)
    }

    fn intern(&mut self, data_centre: &str) -> u8 {
        self.index_of(data_centre).unwrap_or_else(|| {
            self.data_centres.push(data_centre.to_string());
            (self.data_centres.len() - 1) as u8
        })
    }
}
