//! One try of a request at one upstream.

use crate::core::Core;
use crate::link::{Link, idle_timeout, keep, open};
use crate::outcome::{Cause, Outcome};
use crate::reply::{Body, Piece, Reply};
use crate::server::{Flight, Server};
use bytes::{Bytes, BytesMut};
use clock::Millis;
use http1::{Error, Framing, Headers, Reader, Request, Response, encode};
use std::rc::Rc;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;

/// The most bytes of a response's head.
const HEAD_BYTES: usize = 16 * 1024;
/// The longest body that is held until it is complete, so that a broken one can be replaced.
const HELD_BYTES: usize = 256 * 1024;
/// Answers to earlier requests that are passed over on one connection.
const STRAY_ANSWERS: usize = 3;
/// Time for which an answer may be late before the upstream is given up on; its own refusal at
/// the deadline is worth waiting for.
const LATE: Millis = Millis(40);
/// Pieces of a streamed body that wait for the caller.
const PIECES: usize = 4;
/// Time for the rest of a streamed body.
const STREAM: Millis = Millis::from_secs(30);

/// A caller's request, read whole.
#[derive(Debug)]
pub struct Job {
    /// The head.
    pub head: Request,
    /// The body.
    pub body: Bytes,
    /// The id of the caller's attempt.
    pub id: Bytes,
    /// When the answer must be there.
    pub deadline: Millis,
}

/// Sends `job` to `server` and waits for the answer.
pub async fn run(core: &Rc<Core>, job: &Job, server: &Rc<Server>) -> Outcome {
    let flight = server.take_off();
    let Some(link) = open(core, server, job.deadline).await else {
        return Outcome::Failed(Cause::Connect);
    };
    let now = core.clock.now();
    if now >= job.deadline {
        keep(core, server, link, None);
        return Outcome::Failed(Cause::Deadline);
    }
    if !core.fleet.borrow().takes(server) {
        keep(core, server, link, None);
        return Outcome::Failed(Cause::Left);
    }
    let left = job.deadline - now + LATE;
    match tokio::time::timeout(left.duration(), exchange(core, job, server, link, flight)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::TimedOut,
    }
}

async fn exchange(
    core: &Rc<Core>,
    job: &Job,
    server: &Rc<Server>,
    link: Link,
    flight: Flight,
) -> Outcome {
    let Link { mut reader, mut writer } = link;
    let bytes = encode_request(core, job, server);
    let mut sent = false;
    let response = {
        let write = writer.write_all(&bytes);
        let read = answer(core, job, &mut reader);
        tokio::pin!(write, read);
        // An upstream may answer before it has read the whole request.
        loop {
            tokio::select! {
                biased;
                response = &mut read => break response,
                written = &mut write, if !sent => match written {
                    Ok(()) => sent = true,
                    Err(_) => break read.await,
                },
            }
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(Error::Closed) => return Outcome::Failed(Cause::Closed),
        Err(Error::Broken { .. }) => return Outcome::Failed(Cause::Reset),
        Err(Error::Truncated) => return Outcome::Failed(Cause::Truncated),
        Err(_) => return Outcome::Failed(Cause::Garbage),
    };
    let names = core.protocol.names();
    if let Some(load) =
        response.headers.text(names.load).and_then(|text| core.protocol.parse_load(text))
    {
        server.observe(load, core.clock.now());
    }
    let link = sent.then_some(Link { reader, writer });
    if response.status == 421 || response.headers.get(names.not_run).is_some() {
        return not_run(core, server, response, link).await;
    }
    let held = Held { core, job, server, flight };
    held.deliver(response, link).await
}

/// The answer to `job`; answers to earlier requests on the connection are passed over.
async fn answer(
    core: &Core,
    job: &Job,
    reader: &mut Reader<OwnedReadHalf>,
) -> Result<Response, Error> {
    let name = core.protocol.names().request_id;
    for _ in 0..STRAY_ANSWERS {
        let response = reader.response(&job.head.method, HEAD_BYTES).await?;
        let stray = response.headers.get(name).is_some_and(|id| id != &job.id);
        if !stray {
            return Ok(response);
        }
        metrics::counter!(telemetry::names::STRAY_ANSWERS).increment(1);
        while reader.data().await?.is_some() {}
        if !response.keeps {
            return Err(Error::Closed);
        }
    }
    Err(Error::Malformed { reason: "answers to other requests" })
}

async fn not_run(
    core: &Core,
    server: &Rc<Server>,
    response: Response,
    link: Option<Link>,
) -> Outcome {
    if let Some(mut link) = link
        && response.keeps
        && link.reader.body(HELD_BYTES as u64).await.is_ok()
    {
        keep(core, server, link, idle_timeout(&response.headers));
    }
    match response.status {
        421 => Outcome::Failed(Cause::Misdirected),
        _ => Outcome::Failed(Cause::Shed),
    }
}

/// An answer that is being read.
struct Held<'a> {
    core: &'a Rc<Core>,
    job: &'a Job,
    server: &'a Rc<Server>,
    flight: Flight,
}

impl Held<'_> {
    async fn deliver(self, response: Response, link: Option<Link>) -> Outcome {
        let names = self.core.protocol.names();
        let success = (200..300).contains(&response.status);
        if success && response.headers.get(names.signature).is_none() {
            return Outcome::Failed(Cause::Unsigned);
        }
        // These promise that the request did not run, which the upstream has not stated.
        if matches!(response.status, 408 | 429 | 503) {
            return Outcome::Failed(Cause::Refused);
        }
        let Some(mut link) = link else {
            return Outcome::Failed(Cause::Early);
        };
        let mut held = BytesMut::new();
        loop {
            match link.reader.data().await {
                Ok(Some(piece)) => held.extend_from_slice(&piece),
                Ok(None) => break,
                Err(_) => return Outcome::Failed(Cause::BrokenOff),
            }
            if held.len() > HELD_BYTES {
                return Outcome::Answered(self.stream(response, link, held.freeze()));
            }
        }
        if response.keeps {
            keep(self.core, self.server, link, idle_timeout(&response.headers));
        }
        let body = match (self.job.head.method.as_ref(), held.is_empty()) {
            (b"HEAD", true) => Body::Absent { length: length(&response) },
            _ => Body::Whole(held.freeze()),
        };
        let headers = pass_on(&response.headers);
        Outcome::Answered(Reply { status: response.status, headers, body })
    }

    /// Passes on a long body while it is read.
    fn stream(self, response: Response, link: Link, first: Bytes) -> Reply {
        let (sender, pieces) = mpsc::channel(PIECES);
        let length = match response.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let headers = pass_on(&response.headers);
        let status = response.status;
        let (core, server) = (Rc::clone(self.core), Rc::clone(self.server));
        let flight = self.flight;
        tokio::task::spawn_local(async move {
            let pump = pump(&core, &server, &response, link, first, sender);
            if tokio::time::timeout(STREAM.duration(), pump).await.is_err() {
                log::warn!(target: "attempt", upstream = server.entry.id.as_ref(); "stream timed out");
            }
            drop(flight);
        });
        Reply { status, headers, body: Body::Pieces { length, pieces } }
    }
}

async fn pump(
    core: &Core,
    server: &Rc<Server>,
    response: &Response,
    mut link: Link,
    first: Bytes,
    sender: mpsc::Sender<Piece>,
) {
    let mut piece = first;
    loop {
        if sender.send(Piece::Data(piece)).await.is_err() {
            return;
        }
        piece = match link.reader.data().await {
            Ok(Some(next)) => next,
            Ok(None) => break,
            Err(error) => {
                let upstream = server.entry.id.as_ref();
                log::info!(target: "attempt", upstream = upstream, cause:% = error; "body broken off");
                return;
            }
        };
    }
    // A caller that left needs no end.
    let _ = sender.send(Piece::End).await;
    if response.keeps {
        keep(core, server, link, idle_timeout(&response.headers));
    }
}

fn encode_request(core: &Core, job: &Job, server: &Server) -> BytesMut {
    let names = core.protocol.names();
    let left = (job.deadline - core.clock.now()).0.to_string();
    let length = job.body.len().to_string();
    let own = [names.deadline, names.target, "content-length", "expect"];
    let passed =
        job.head.headers.end_to_end().filter(|field| {
            !own.iter().any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
        });
    let has_body = job.head.framing != Framing::Empty;
    let sized = job.head.headers.get("content-length").is_some();
    let mut added = vec![
        (names.deadline.as_bytes(), left.as_bytes()),
        (names.target.as_bytes(), server.entry.id.as_bytes()),
    ];
    if has_body || sized {
        added.push((b"Content-Length", length.as_bytes()));
    }
    let mut bytes = BytesMut::with_capacity(512 + job.body.len());
    let fields = passed.map(http1::Header::parts).chain(added);
    encode::request(&mut bytes, &job.head.method, &job.head.target, fields);
    bytes.extend_from_slice(&job.body);
    bytes
}

fn pass_on(headers: &Headers) -> Headers {
    let mut passed = Headers::default();
    for field in headers.end_to_end() {
        if !field.name.eq_ignore_ascii_case(b"content-length") {
            passed.push(field.name.clone(), field.value.clone());
        }
    }
    passed
}

fn length(response: &Response) -> Option<u64> {
    response.headers.text("content-length")?.parse().ok()
}
