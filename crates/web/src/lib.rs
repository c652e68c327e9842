//! The HTTP server of instances and stand-ins.
//!
//! `actix-http` implements the protocol. This crate accepts connections on the runtime thread that
//! owns the state of a process, so that handlers share it without locks, and limits the number of
//! connections, the size of bodies and the time that either may take.

mod body;
mod query;
mod response;
mod server;

pub use body::{BodyError, parse_json, read_body};
pub use query::parse_query;
pub use response::{empty, json, stream, text};
pub use server::{Server, ServerOptions, bind, serve};

/// A response with a boxed body.
pub type Response = actix_http::Response<actix_http::body::BoxBody>;
