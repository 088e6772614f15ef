//! A caller that sends exactly the bytes that a test gives it.

use super::HOST;
use bytes::Bytes;
use http1::{Reader, Response};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

pub struct Caller {
    reader: Reader<TcpStream>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub head: Response,
    pub body: Bytes,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn closes_connection(&self) -> bool {
        self.head.headers.has_token("connection", "close")
    }
}

/// The text of a request.
pub fn get(path: &str, id: &str) -> String {
    request("GET", path, id, "")
}

/// The text of a request with a body.
pub fn post(path: &str, id: &str, body: &str) -> String {
    request("POST", path, id, body)
}

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\ntest-id: {id}\r\ntest-object: 7\r\n\
         test-deadline: 1500\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        Caller { reader: Reader::new(TcpStream::connect(address).await.unwrap()) }
    }

    pub async fn send(&mut self, text: &str) {
        self.reader.stream_mut().write_all(text.as_bytes()).await.unwrap();
    }

    /// The next response, or `None` if the connection ends before it is complete.
    pub async fn response(&mut self) -> Option<Reply> {
        let head = self.reader.response(b"GET", 16_384).await.ok()?;
        let body = self.reader.body(10_000_000).await.ok()?;
        Some(Reply { status: head.status, head, body })
    }

    pub async fn request(&mut self, text: &str) -> Option<Reply> {
        self.send(text).await;
        self.response().await
    }
}
