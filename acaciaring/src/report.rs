//! Output of the commands as text tables or JSON.

use std::time::Duration;

use serde_json::{Value, json};

use crate::flags::Format;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Output of a command in both formats.
pub(crate) struct Report {
    tables: Vec<Table>,
    json: Value,
}

struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Report {
    /// Creates a report with one table; `json` holds the same data.
    pub(crate) fn new(header: &[&str], rows: Vec<Vec<String>>, json: Value) -> Self {
        Self { tables: Vec::new(), json }.with_table(header, rows)
    }

    /// Adds a table; the JSON stays unchanged.
    pub(crate) fn with_table(mut self, header: &[&str], rows: Vec<Vec<String>>) -> Self {
        let header = header.iter().copied().map(str::to_owned).collect();
        self.tables.push(Table { header, rows });
        self
    }

    /// Adds the time until all documents were in force everywhere.
    pub(crate) fn with_elapsed(mut self, elapsed: Duration) -> Self {
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.json["millis"] = json!(millis);
        self.with_table(&["IN FORCE AFTER"], vec![vec![format!("{millis} ms")]])
    }

    /// Formats the report, without a final line break.
    pub(crate) fn render(&self, format: Format) -> String {
        match format {
            Format::Table => {
                let tables: Vec<_> = self.tables.iter().map(Table::render).collect();
                tables.join("\n\n")
            }
            Format::Json => self.json.to_string(),
        }
    }
}

impl Table {
    fn render(&self) -> String {
        let lines: Vec<_> = self.lines().map(|line| self.line(line)).collect();
        lines.join("\n")
    }

    fn lines(&self) -> impl Iterator<Item = &Vec<String>> {
        std::iter::once(&self.header).chain(&self.rows)
    }

    fn line(&self, cells: &[String]) -> String {
        let cell = |(column, cell): (usize, &String)| {
            let width = self.width(column) + COLUMN_GAP;
            format!("{cell:width$}")
        };
        let line: String = cells.iter().enumerate().map(cell).collect();
        line.trim_end().to_owned()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.lines().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}

/// Returns the name and version of the tool.
pub(crate) fn version() -> Report {
    let version = env!("CARGO_PKG_VERSION");
    let json = json!({"name": "acaciaring", "version": version});
    Report::new(&[&format!("acaciaring {version}")], Vec::new(), json)
}
