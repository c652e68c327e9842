//! Logs as JSON lines.

use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => json!(number),
            (None, Some(number)) => json!(number),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging to standard error, one JSON object a line; `RUST_LOG` sets the level.
pub fn start(default_level: &str) {
    let env = env_logger::Env::default().default_filter_or(default_level);
    let _ = env_logger::Builder::from_env(env)
        .format(|out, record| {
            let mut fields = Fields(Map::new());
            fields
                .0
                .insert("wall_ms".to_owned(), json!(tick::wall_ms()));
            fields
                .0
                .insert("level".to_owned(), json!(record.level().as_str()));
            fields.0.insert("target".to_owned(), json!(record.target()));
            fields
                .0
                .insert("message".to_owned(), json!(record.args().to_string()));
            // A field that cannot be read must not lose the line.
            let _ = record.key_values().visit(&mut fields);
            writeln!(out, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
}
