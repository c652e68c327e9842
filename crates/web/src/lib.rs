//! The HTTP server loop that instances and stand-ins share.
//!
//! `actix-http` speaks the protocol; this crate accepts connections on the runtime thread that
//! owns a process's state, so that handlers share it without locks, and bounds what one
//! connection may cost.

mod body;
mod query;
mod response;
mod server;

pub use body::{BodyError, parse_json, read_body};
pub use query::parse_query;
pub use response::{empty, json, stream, text};
pub use server::{Server, ServerOptions, bind, serve};

/// A response of any kind of body.
pub type Response = actix_http::Response<actix_http::body::BoxBody>;
