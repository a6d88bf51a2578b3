//! What the three HTTP interfaces (operators, clients, backends) share: serving with a graceful
//! stop, reading requests, writing JSON and errors, the names of headers.

#![deny(missing_docs)]

pub mod headers;
mod request;
mod response;
mod server;

pub use request::{MAX_BODY_BYTES, bearer_token, header_text, read_body, read_json};
pub use response::{write_error, write_json};
pub use server::HttpServer;
