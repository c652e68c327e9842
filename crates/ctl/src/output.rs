//! Formats responses as tables.

use serde_json::Value;

/// Formats an array of objects as a table with the given fields as columns.
pub(crate) fn table(rows: &Value, columns: &[&str]) -> String {
    let empty = Vec::new();
    let rows = rows.as_array().unwrap_or(&empty);
    let mut lines: Vec<Vec<String>> =
        vec![columns.iter().map(|column| column.to_uppercase()).collect()];
    lines.extend(rows.iter().map(|row| {
        columns
            .iter()
            .map(|column| format_cell(&row[*column]))
            .collect()
    }));
    let width = |column: usize| {
        lines
            .iter()
            .map(|line| line[column].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Shortens a digest to 12 digits, enough to tell bundles apart on a screen.
pub(crate) fn shorten_digest(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}
