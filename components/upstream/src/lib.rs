//! Connections to upstreams, their health and their load reports.
//!
//! Other crates reach upstreams through [`Transport`], whose errors state what is known about the
//! execution of a request. See docs/FORWARDING.md.

mod client;
pub mod fake;
pub mod header;
pub mod load;
mod standin;
mod transport;
mod verify;

pub use client::{Client, Settings};
pub use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
pub use reqwest::{Method, StatusCode};
pub use standin::Standin;
pub use transport::{Attempt, Body, Failure, Reply, Transport};
pub use verify::{Expected, check, check_length};
