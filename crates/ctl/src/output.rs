//! Tables for people, JSON for programs.

use serde_json::Value;

/// Writes rows of objects as a table of the named columns.
pub(crate) fn table(rows: &Value, columns: &[&str]) -> String {
    let empty = Vec::new();
    let rows = rows.as_array().unwrap_or(&empty);
    let mut lines: Vec<Vec<String>> =
        vec![columns.iter().map(|column| column.to_uppercase()).collect()];
    lines.extend(
        rows.iter()
            .map(|row| columns.iter().map(|column| cell(&row[*column])).collect()),
    );
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

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Shortens digests, which a person compares by their beginnings.
pub(crate) fn short(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}
