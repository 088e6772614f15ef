use crate::chunked;
use crate::{Error, Framing, Request, Response};
use bytes::{Buf, Bytes, BytesMut};
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};

/// The most bytes that a reader of responses holds: a head and a further read.
pub const MAX_BUFFERED_BYTES: usize = 2 * READ_BYTES;
/// The most bytes of one read. They are read to the stack, so that a connection on which nothing is
/// received holds no buffer.
const READ_BYTES: usize = 16 * 1024;
/// Interim responses before a final one; a server has no reason to send more than a few.
const MAX_INTERIM_RESPONSES: usize = 8;

/// The most bytes that a message may have.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of the head.
    pub head: usize,
    /// Bytes of the body.
    pub body: u64,
}

/// Reads messages from one direction of a connection.
#[derive(Debug)]
pub struct Reader<Stream> {
    stream: Stream,
    buffer: BytesMut,
    body: Progress,
}

/// What is to be read of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Done,
    Remaining(u64),
    ChunkSize { first: bool },
    ChunkRemaining(u64),
    Trailers { length: usize },
    UntilClose,
}

impl<Stream> Reader<Stream>
where
    Stream: AsyncRead + Unpin,
{
    /// A reader at the start of a message.
    pub fn new(stream: Stream) -> Reader<Stream> {
        Reader { stream, buffer: BytesMut::new(), body: Progress::Done }
    }

    /// The stream, to wait for it.
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// The stream, to write to the other direction.
    pub fn stream_mut(&mut self) -> &mut Stream {
        &mut self.stream
    }

    /// Whether bytes of a further message have been received.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards what has been received, and waits for some if there is nothing. Returns the number of
    /// bytes, 0 at the end. No message can be read afterwards.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`].
    pub async fn discard(&mut self) -> Result<usize, Error> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        let length = self.buffer.len();
        self.buffer.clear();
        Ok(length)
    }

    /// Waits until bytes of the next message have been received.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] and [`Error::Broken`].
    pub async fn wait(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(Error::Closed);
        }
        Ok(())
    }

    /// Whether another request may be sent: the connection is open and nothing has been received.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() || self.body != Progress::Done {
            return false;
        }
        let mut byte = [0; 1];
        let mut seen = ReadBuf::new(&mut byte);
        let stream = &mut self.stream;
        poll_fn(|context| {
            Poll::Ready(Pin::new(&mut *stream).poll_read(context, &mut seen).is_pending())
        })
        .await
    }

    /// Reads the head of a request of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Every [`Error`] but [`Error::BodyTooLarge`].
    pub async fn request(&mut self, limit: usize) -> Result<Request, Error> {
        self.skip_blank_lines();
        self.wait().await?;
        self.skip_blank_lines();
        let head = self.head(limit, Request::parse).await?;
        self.body = Progress::of(head.framing);
        Ok(head)
    }

    /// Reads the head of the final response to a request with `method`; interim ones are skipped.
    ///
    /// # Errors
    ///
    /// Every [`Error`] but [`Error::BodyTooLarge`].
    pub async fn response(&mut self, method: &[u8], limit: usize) -> Result<Response, Error> {
        self.wait().await?;
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.head(limit, |bytes| Response::parse(bytes, method)).await?;
            if head.status >= 200 {
                self.body = Progress::of(head.framing);
                return Ok(head);
            }
        }
        Err(Error::Malformed { reason: "too many interim responses" })
    }

    /// The next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`], [`Error::Broken`] and [`Error::Malformed`].
    pub async fn data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body {
                Progress::Done => return Ok(None),
                Progress::Remaining(left) => {
                    let piece = self.piece(left).await?;
                    self.body = Progress::remaining(left - piece.len() as u64);
                    return Ok(Some(piece));
                }
                Progress::UntilClose => {
                    if self.buffer.is_empty() && self.fill().await? == 0 {
                        self.body = Progress::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Progress::ChunkSize { .. }
                | Progress::ChunkRemaining(_)
                | Progress::Trailers { .. } => {
                    let decoded = chunked::decode(&mut self.buffer, &mut self.body)?;
                    if !decoded.is_empty() {
                        return Ok(Some(decoded));
                    }
                    if self.body != Progress::Done && self.fill().await? == 0 {
                        return Err(Error::Truncated);
                    }
                }
            }
        }
    }

    /// The complete body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::BodyTooLarge`] and those of [`Reader::data`].
    pub async fn body(&mut self, limit: u64) -> Result<Bytes, Error> {
        if let Progress::Remaining(left) = self.body
            && left > limit
        {
            return Err(Error::BodyTooLarge { limit });
        }
        let Some(first) = self.data().await? else {
            return Ok(Bytes::new());
        };
        if self.body == Progress::Done && first.len() as u64 <= limit {
            return Ok(first);
        }
        let mut complete = BytesMut::from(first.as_ref());
        loop {
            if complete.len() as u64 > limit {
                return Err(Error::BodyTooLarge { limit });
            }
            match self.data().await? {
                Some(piece) => complete.extend_from_slice(&piece),
                None => return Ok(complete.freeze()),
            }
        }
    }

    /// Discards the rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::BodyTooLarge`] and those of [`Reader::data`].
    pub async fn skip(&mut self, limit: u64) -> Result<(), Error> {
        let mut skipped = 0;
        while let Some(piece) = self.data().await? {
            skipped += piece.len() as u64;
            if skipped > limit {
                return Err(Error::BodyTooLarge { limit });
            }
        }
        Ok(())
    }

    async fn head<Head, Parse>(&mut self, limit: usize, parse: Parse) -> Result<Head, Error>
    where
        Parse: Fn(&Bytes) -> Result<Option<(Head, usize)>, Error>,
    {
        loop {
            if let Some(end) = end_of_head(&self.buffer) {
                if end > limit {
                    return Err(Error::HeadTooLarge { limit });
                }
                // A copy, since parts of the head may be kept for long, and would keep all that was read
                // with it.
                let bytes = Bytes::copy_from_slice(&self.buffer[..end]);
                self.buffer.advance(end);
                return match parse(&bytes)? {
                    Some((head, length)) if length == end => Ok(head),
                    _ => Err(Error::Malformed { reason: "the head doesn't end at its blank line" }),
                };
            }
            if self.buffer.len() > limit {
                return Err(Error::HeadTooLarge { limit });
            }
            if !self.buffer.is_empty() && !plausible(&self.buffer) {
                return Err(Error::Malformed { reason: "the first byte can't start a message" });
            }
            if self.fill().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    async fn piece(&mut self, most: u64) -> Result<Bytes, Error> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(Error::Truncated);
        }
        let length = (self.buffer.len() as u64).min(most) as usize;
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn fill(&mut self) -> Result<usize, Error> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        poll_fn(|context| {
            let mut space = [const { MaybeUninit::uninit() }; READ_BYTES];
            let mut read = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut read))?;
            buffer.extend_from_slice(read.filled());
            Poll::Ready(Ok(read.filled().len()))
        })
        .await
        .map_err(|source| Error::Broken { source })
    }

    /// A line end before a request line is allowed, since old clients send one after a body.
    fn skip_blank_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
    }
}

impl Progress {
    fn of(framing: Framing) -> Progress {
        match framing {
            Framing::Empty => Progress::Done,
            Framing::Length(length) => Progress::remaining(length),
            Framing::Chunked => Progress::ChunkSize { first: true },
            Framing::Close => Progress::UntilClose,
        }
    }

    fn remaining(left: u64) -> Progress {
        if left == 0 { Progress::Done } else { Progress::Remaining(left) }
    }
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4)
}

/// Whether the bytes can be the start of a message; anything else is refused at once.
fn plausible(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|byte| byte.is_ascii_alphabetic() || *byte == b'\r')
}
