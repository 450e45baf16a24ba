//! Text tables for the terminal.

use std::fmt;

/// Rows of text under a heading, each column as wide as its widest cell.
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a heading and no rows.
    pub(super) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(super) fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column| {
            let cells = self.rows.iter().filter_map(|row: &Vec<String>| row.get(column));
            cells.map(|cell: &String| cell.chars().count()).max().unwrap_or_default()
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: String =
                cells.map(|(cell, width)| format!("{cell:width$}  ", width = *width)).collect();
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
