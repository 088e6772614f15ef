//! A small HTTP/1.1 reader and writer for the stand-ins, over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status code of a response; 0 if the line is no status line.
    pub fn status(&self) -> u16 {
        if !self.start.starts_with("HTTP/1.") {
            return 0;
        }
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a buffer of bytes that were received and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|each| each == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head { start, fields: fields.collect() }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads a body with a length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads and discards a body with a length.
    pub fn skip(&mut self, length: usize) -> io::Result<()> {
        let mut left = length;
        loop {
            let used = left.min(self.buffer.len());
            self.buffer.drain(..used);
            left -= used;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Bytes that were received and belong to no message yet.
    #[allow(dead_code, reason = "not every case looks at them")]
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Whether a connection ended, rather than being too slow for the client.
#[allow(dead_code, reason = "not every case asks for it")]
pub fn has_ended(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

/// A response with a length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
