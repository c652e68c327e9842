//! Collects the log lines about one request from the logs of several instances.

use serde_json::{Map, Value};

/// Formats the lines about a request in order of time, with their fields.
///
/// Lines that name no request but one of the request's upstreams are included, since what an
/// instance knew about an upstream explains where it sent the request. So are announcements of any
/// upstream of the request's service that still hold, since a request that passed over an upstream
/// or was refused names none. And so is what the request's instances believed of their path to the service, which tells
/// why one of them handed it over or refused it. Lines without a JSON object are skipped, as a captured log may hold
/// other output.
pub fn request_timeline(request: &str, logs: &[(String, String)]) -> String {
    let mut lines: Vec<Line> = logs
        .iter()
        .flat_map(|(name, text)| parse(name, text))
        .collect();
    lines.sort_by_key(|line| line.wall_ms);
    let of_request: Vec<&Line> = lines
        .iter()
        .filter(|line| line.field("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else {
        return format!("no line on {request}: it was not logged, or lines were left out");
    };
    let upstreams: Vec<&str> = of_request
        .iter()
        .filter_map(|line| line.field("upstream"))
        .collect();
    let services: Vec<&str> = of_request
        .iter()
        .filter_map(|line| line.field("service"))
        .collect();
    let names = |line: &Line, field: &str, all: &[&str]| {
        line.field(field).is_some_and(|value| all.contains(&value))
    };
    let paths = paths_at(&lines, &of_request, &services, first.wall_ms);
    let is_relevant = |line: &&Line| {
        let is_of_request = line.field("request") == Some(request);
        let is_of_upstream = line.field("request").is_none()
            && names(line, "upstream", &upstreams)
            && line.wall_ms + LOOKBACK_MS >= first.wall_ms;
        let is_announced = names(line, "service", &services) && line.holds_at(first.wall_ms);
        let is_path = paths.iter().any(|path| std::ptr::eq(*path, *line));
        let is_shown = is_of_request || is_of_upstream || is_announced || is_path;
        line.wall_ms <= last.wall_ms && is_shown
    };
    let mut timeline = String::new();
    for line in lines.iter().filter(is_relevant) {
        timeline.push_str(&line.format(first.wall_ms));
        timeline.push('\n');
    }
    timeline
}

/// The lines on the paths of a request's instances to its services: the last one of each before its first line unless
/// the path was sound then, and all later ones.
fn paths_at<'a>(
    lines: &'a [Line],
    of_request: &[&Line],
    services: &[&str],
    first_ms: i64,
) -> Vec<&'a Line> {
    let is_path = |line: &&Line| {
        let is_of_service = line
            .field("service")
            .is_some_and(|it| services.contains(&it));
        let is_of_instance = of_request.iter().any(|own| own.instance == line.instance);
        line.field("message") == Some(PATH_MESSAGE) && is_of_service && is_of_instance
    };
    let mut shown: Vec<&Line> = Vec::new();
    for line in lines.iter().filter(is_path) {
        let is_same = |earlier: &&Line| {
            earlier.instance == line.instance && earlier.field("service") == line.field("service")
        };
        if line.wall_ms <= first_ms {
            shown.retain(|earlier| !is_same(earlier));
        }
        let is_sound = line.field("after") == Some("Reached");
        if line.wall_ms > first_ms || !is_sound {
            shown.push(line);
        }
    }
    shown
}

/// Message on a change of what an instance believes of its path to a service.
const PATH_MESSAGE: &str = "path to the upstreams of a service changed";

/// Message on an upstream that is leaving, which holds for the rest of its life.
const LEAVING_MESSAGE: &str = "upstream announces that it is leaving";

/// Lines about the request's upstreams are included from this time before its first line.
const LOOKBACK_MS: i64 = 5_000;

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
        // In a file that merges the logs of several instances, the name stands before the object.
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

    /// Whether the line is on an announcement of an upstream that is in force at a time.
    fn holds_at(&self, wall_ms: i64) -> bool {
        let rest_ms = self.fields.get("rest_left_ms").and_then(Value::as_i64);
        let is_leaving = self.field("message") == Some(LEAVING_MESSAGE);
        is_leaving || rest_ms.is_some_and(|rest_ms| self.wall_ms + rest_ms >= wall_ms)
    }

    fn format(&self, first_ms: i64) -> String {
        let elapsed_ms = self.wall_ms - first_ms;
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
            "{elapsed_ms:>6} ms  {}  {message}  {}",
            self.instance,
            details.join(" ")
        )
    }
}
