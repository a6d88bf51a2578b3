//! Shared parts of the three HTTP APIs (operators, clients, backends): a server with graceful
//! shutdown, reading of requests, writing of JSON and errors, and header names.

#![deny(missing_docs)]

pub mod headers;
mod request;
mod response;
mod server;

pub use request::{MAX_BODY_BYTES, bearer_token, header_text, read_body, read_json};
pub use response::{write_error, write_json};
pub use server::HttpServer;
