//! The text table of `woadreach status`.

use super::MachineStatus;

const HEADER: [&str; 6] = [
    "MACHINE",
    "ROLE",
    "GENERATION",
    "STORAGE EPOCH",
    "REPLICAS",
    "ATTENTION",
];

/// Renders a header and a line for each machine, in columns padded to equal width. `-` stands for an absent value.
pub(crate) fn render(statuses: &[MachineStatus]) -> String {
    let mut rows = vec![HEADER.map(str::to_owned)];
    rows.extend(statuses.iter().map(row));
    let widths: Vec<usize> = (0..HEADER.len())
        .map(|column| rows.iter().map(|row| row[column].chars().count()).max())
        .map(|width| width.unwrap_or(0))
        .collect();
    rows.iter().map(|row| line(row, &widths)).collect()
}

fn line(row: &[String; 6], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}

fn row(status: &MachineStatus) -> [String; 6] {
    let metric = |name: &str| {
        let value = status.page.get(name);
        value.map_or_else(|| "-".to_owned(), |value| value.to_string())
    };
    let replicas = status
        .page
        .get("replicas")
        .or_else(|| status.page.get("replicas{state=\"ready\"}"));
    let attention = match &status.error {
        Some(error) => format!("{}: {error}", status.metrics),
        None => status.remarks.join("; "),
    };
    [
        status.name.clone(),
        status
            .role
            .map_or_else(|| "-".to_owned(), |role| role.to_string()),
        metric("configuration_generation"),
        metric("storage_epoch"),
        replicas.map_or_else(|| "-".to_owned(), |value| value.to_string()),
        attention,
    ]
}
