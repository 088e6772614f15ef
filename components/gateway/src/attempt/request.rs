//! What an upstream is sent: the request with the fields for it, and the body.

use super::Job;
use crate::connection::Writer;
use crate::core::Core;
use crate::endpoint::Endpoint;
use bytes::BytesMut;
use http1::{Framing, encode};
use std::io;
use steering::account::Account;

/// Bodies up to this size are sent together with the head.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// Sends `start` and what it lacks of the body, which is not copied.
pub async fn write(writer: &mut Writer, start: &[u8], job: &Job) -> io::Result<()> {
    writer.write_all(start).await?;
    if job.body.len() > MAX_JOINED_BYTES {
        for segment in job.body.segments() {
            writer.write_all(segment).await?;
        }
    }
    Ok(())
}

/// The head of the request to an upstream on behalf of `account`, and the body too if it is short.
pub fn encode(core: &Core, job: &Job, account: Option<&Account>, endpoint: &Endpoint) -> BytesMut {
    let names = core.protocol.names();
    let remaining = (job.deadline - core.clock.now()).0.to_string();
    let length = job.body.len().to_string();
    let replaced = [names.deadline, names.target, "content-length", "expect"];
    // Without accounts, these are fields like any others.
    let has_accounts = !job.table.accounts().is_empty() || !core.table().accounts().is_empty();
    let hidden: &[&str] = if has_accounts { &[names.key, names.account] } else { &[] };
    let passed = job.head.headers.end_to_end().filter(|field| {
        let mut dropped = replaced.iter().chain(hidden);
        !dropped.any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
    });
    let has_body = job.head.framing != Framing::Empty;
    let has_length = job.head.headers.get("content-length").is_some();
    let mut added = vec![
        (names.deadline.as_bytes(), remaining.as_bytes()),
        (names.target.as_bytes(), endpoint.entry.id.as_bytes()),
    ];
    if let Some(account) = account {
        added.push((names.account.as_bytes(), account.name.as_bytes()));
    }
    if has_body || has_length {
        added.push((b"Content-Length", length.as_bytes()));
    }
    let mut bytes = BytesMut::with_capacity(512 + job.body.len().min(MAX_JOINED_BYTES));
    let fields = passed.map(http1::Header::parts).chain(added);
    encode::request(&mut bytes, &job.head.method, &job.head.target, fields);
    if job.body.len() <= MAX_JOINED_BYTES {
        job.body.segments().iter().for_each(|segment| bytes.extend_from_slice(segment));
    }
    bytes
}
