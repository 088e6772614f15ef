//! Connections to upstreams, their health and their load reports.
//!
//! Everything above this crate sees an upstream through [`Transport`], whose errors say what can
//! be known about the execution of a request. See docs/FORWARDING.md.

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
