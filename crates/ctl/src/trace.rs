//! One request's story, from the logs of many instances.

use serde_json::{Map, Value};

/// Lines on a request, in the order of time, with what each says of it.
///
/// Lines that name no request but an upstream of the story are taken too, since what an instance
/// believed of an upstream explains where it sent the request. Lines that are not JSON are passed
/// over: standard output may hold others.
pub fn request_timeline(request: &str, logs: &[(String, String)]) -> String {
    let mut lines: Vec<Line> = logs
        .iter()
        .flat_map(|(name, text)| parse(name, text))
        .collect();
    lines.sort_by_key(|line| line.wall_ms);
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.field("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return format!("no line on {request}: it was not logged, or lines were left out");
    };
    let upstreams: Vec<&str> = own
        .iter()
        .filter_map(|line| line.field("upstream"))
        .collect();
    let near =
        |line: &&Line| line.wall_ms + BEFORE_MS >= first.wall_ms && line.wall_ms <= last.wall_ms;
    let told = |line: &&Line| {
        line.field("request") == Some(request)
            || line.field("request").is_none()
                && line
                    .field("upstream")
                    .is_some_and(|id| upstreams.contains(&id))
    };
    let mut story = String::new();
    for line in lines.iter().filter(near).filter(told) {
        story.push_str(&line.text(first.wall_ms));
        story.push('\n');
    }
    story
}

/// Time before the request from which lines on its upstreams are shown, in ms.
const BEFORE_MS: i64 = 5_000;

struct Line {
    instance: String,
    wall_ms: i64,
    fields: Map<String, Value>,
}

fn parse<'a>(name: &'a str, text: &'a str) -> impl Iterator<Item = Line> + 'a {
    text.lines().filter_map(move |line| {
        let start = line.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            return None;
        };
        // Logs of many instances in one file bear each one's name before the line.
        let prefix = line[..start].split_whitespace().next_back();
        Some(Line {
            instance: prefix.unwrap_or(name).to_owned(),
            wall_ms: fields.get("wall_ms")?.as_i64()?,
            fields,
        })
    })
}

impl Line {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn text(&self, first_ms: i64) -> String {
        let after_ms = self.wall_ms - first_ms;
        let message = self.field("message").unwrap_or("-");
        let hidden = ["wall_ms", "level", "message", "request"];
        let shown = self
            .fields
            .iter()
            .filter(|field| !hidden.contains(&field.0.as_str()));
        let details: Vec<String> = shown
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{after_ms:>6} ms  {}  {message}  {}",
            self.instance,
            details.join(" ")
        )
    }
}
