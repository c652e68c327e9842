//! The dialect of these tests: the headers and paths with which upstreams and callers speak.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use keys::KeyHash;
use relay::dialect::{
    Dialect, EngineReport, KvHandle, PresentedKey, Prompt, PromptPart, ReportedLoad, RequestHead,
    ResponseHead, SendOptions, Step,
};
use relay::role_orders::RoleOrder;

/// Reads and writes the `x-` headers of these tests.
pub struct TestDialect;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

fn parse_prompt(value: &str) -> Prompt {
    let parts: Vec<PromptPart> = value
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.split_once(':')?;
            Some(PromptPart {
                id: id.parse().ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect();
    Prompt {
        input_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 16,
        output_hint_tokens: None,
        parts,
    }
}

fn presented_key(headers: &HeaderMap) -> PresentedKey {
    let keys: Vec<_> = headers.get_all("x-key").iter().collect();
    match keys[..] {
        [] => PresentedKey::Missing,
        [key] => PresentedKey::Single(KeyHash::of(key.as_bytes())),
        _ => PresentedKey::Multiple,
    }
}

impl Dialect for TestDialect {
    fn parse_attempt(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get("x-attempt").cloned()
    }

    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead {
        assert!(
            !headers.contains_key("x-panic"),
            "a request that makes the instance panic"
        );
        RequestHead {
            attempt: self.parse_attempt(headers),
            deadline_ms: header_number(headers, "x-left-ms"),
            prompt: header_text(headers, "x-prompt").map(parse_prompt),
            last_event: header_number(headers, "last-event-id"),
            resumes: headers.get("x-resumes").cloned(),
            key: presented_key(headers),
        }
    }

    fn strip_reserved_headers(&self, headers: &mut HeaderMap) {
        for name in [
            "x-instance",
            "x-step",
            "x-kv",
            "x-copy",
            "x-rank",
            "x-key",
            "x-workspace",
        ] {
            headers.remove(name);
        }
    }

    fn is_end_to_end(&self, name: &HeaderName) -> bool {
        name.as_str().starts_with("x-")
    }

    fn write_send_options(&self, headers: &mut HeaderMap, options: &SendOptions) {
        let mut put = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::from_str(&value).expect("a valid value"));
        };
        put("x-instance", options.instance.to_owned());
        put("x-left-ms", options.deadline_ms.to_string());
        if let Some(rank) = options.priority {
            put("x-rank", rank.to_string());
        }
        if options.step == Step::Prefill {
            put("x-step", "prefill".to_owned());
        }
        if let Some(kv) = options.kv {
            put("x-kv", kv.id.clone());
        }
        if let Some(holder) = options.copy_from {
            put("x-copy", holder.to_string());
        }
        if let Some(last) = options.last_event {
            put("last-event-id", last.to_string());
        }
    }

    fn write_rest(&self, headers: &mut HeaderMap, left_ms: u64, last_event: Option<u64>) {
        let put = |value: u64| HeaderValue::from_str(&value.to_string()).expect("a valid value");
        headers.insert("x-left-ms", put(left_ms));
        if let Some(last_event) = last_event {
            headers.insert("last-event-id", put(last_event));
        }
    }

    fn write_workspace(&self, headers: &mut HeaderMap, name: &str) {
        let name = HeaderValue::from_str(name).expect("a valid value");
        headers.insert("x-workspace", name);
    }

    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead {
        let load = header_number(headers, "x-load").map(|running| ReportedLoad {
            running: running as u32,
            waiting: 0,
            pace_percent: header_number(headers, "x-pace").map(|percent| percent as f64),
        });
        ResponseHead {
            attempt: headers.get("x-attempt").cloned(),
            is_signed: headers.contains_key("x-signature"),
            not_run: headers.contains_key("x-not-run"),
            instance: header_text(headers, "x-instance").map(str::to_owned),
            load,
            limit_per_s: header_text(headers, "x-limit").and_then(|limit| limit.parse().ok()),
            is_leaving: headers.contains_key("x-leaving"),
            rest_ms: header_number(headers, "x-rest-ms"),
        }
    }

    fn parse_prefill_response(&self, body: &[u8]) -> Option<String> {
        let handle = std::str::from_utf8(body).ok()?;
        handle.starts_with("kv-").then(|| handle.to_owned())
    }

    fn free_kv_request(&self, handle: &KvHandle) -> (Method, String) {
        (Method::DELETE, format!("/kv/{}", handle.id))
    }

    fn report_path(&self) -> &'static str {
        "/report"
    }

    fn parse_engine_report(&self, _body: &[u8]) -> Option<EngineReport> {
        None
    }

    fn parse_reported_start(&self, body: &[u8]) -> Option<u64> {
        std::str::from_utf8(body).ok()?.parse().ok()
    }

    fn order_request(&self, order: &RoleOrder) -> (String, Vec<u8>) {
        ("/order".to_owned(), order.fence.to_string().into_bytes())
    }

    fn write_expected_instance(&self, headers: &mut HeaderMap, instance: &str) {
        let id = HeaderValue::from_str(instance).expect("a valid value");
        headers.insert("x-instance", id);
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }

    fn resolve_path(&self) -> &'static str {
        "/resolve"
    }

    fn encode_addresses(&self, addresses: &[SocketAddr], _ttl_ms: u64) -> Vec<u8> {
        format!("{addresses:?}").into_bytes()
    }

    fn parse_caller_zone(&self, query: &str) -> Option<String> {
        query.strip_prefix("zone=").map(str::to_owned)
    }

    fn encode_error(&self, reason: &str) -> Vec<u8> {
        reason.as_bytes().to_vec()
    }
}
