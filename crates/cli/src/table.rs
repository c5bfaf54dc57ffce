//! Tables for people.

/// A table with aligned columns; a column whose cells are all numbers is aligned right.
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows.
    pub fn new<const N: usize>(header: [&str; N]) -> Table {
        Table {
            header: header.map(str::to_string).to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds rows.
    pub fn with_rows<const N: usize>(
        mut self,
        rows: impl IntoIterator<Item = [String; N]>,
    ) -> Table {
        self.rows.extend(rows.into_iter().map(|row| row.to_vec()));
        self
    }

    /// The lines of the table.
    pub fn render(&self) -> String {
        let layout = (0..self.header.len())
            .map(|column| (self.width(column), self.is_numeric(column)))
            .collect::<Vec<_>>();
        [&self.header]
            .into_iter()
            .chain(&self.rows)
            .map(|row| line(row, &layout))
            .collect()
    }

    fn width(&self, column: usize) -> usize {
        [&self.header]
            .into_iter()
            .chain(&self.rows)
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or(0)
    }

    fn is_numeric(&self, column: usize) -> bool {
        let numeric = |cell: &String| cell.trim_end_matches('%').parse::<f64>().is_ok();
        !self.rows.is_empty() && self.rows.iter().all(|row| numeric(&row[column]))
    }
}

fn line(row: &[String], layout: &[(usize, bool)]) -> String {
    let cells = row.iter().zip(layout).map(|(cell, &(width, numeric))| {
        if numeric {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        }
    });
    let text = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", text.trim_end())
}
