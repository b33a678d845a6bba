//! The page, which holds each table between two marks.

use super::error::{CapacityError, NoMarksSnafu};
use super::tables::Table;
use snafu::OptionExt;

fn marks(name: &str) -> (String, String) {
    (
        format!("<!-- table {name} -->\n"),
        format!("<!-- end {name} -->"),
    )
}

/// The page with these tables in the place of those that it holds.
pub fn fill(page: &str, tables: &[Table]) -> Result<String, CapacityError> {
    let mut page = page.to_owned();
    for table in tables {
        let (start, end) = place(&page, table.name)?;
        page.replace_range(start..end, &table.text);
    }
    Ok(page)
}

/// What the page holds in the places of these tables.
pub fn tables_of(page: &str, tables: &[Table]) -> Result<Vec<String>, CapacityError> {
    let held =
        |table: &Table| place(page, table.name).map(|(start, end)| page[start..end].to_owned());
    tables.iter().map(held).collect()
}

fn place(page: &str, name: &str) -> Result<(usize, usize), CapacityError> {
    let (before, after) = marks(name);
    let start = page
        .find(&before)
        .map(|at| at + before.len())
        .context(NoMarksSnafu { name })?;
    let length = page[start..].find(&after).context(NoMarksSnafu { name })?;
    Ok((start, start + length))
}
