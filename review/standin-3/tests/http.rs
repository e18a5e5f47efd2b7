//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map(|h| h.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Buffered reader of messages.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut block = [0; 16 * 1024];
        let read = self.stream.read(&mut block)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&block[..read]);
        Ok(())
    }

    /// Reads up to the blank line after a head. The end of the channel before the first byte yields
    /// `None`.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            match self.fill() {
                Ok(()) => {}
                Err(error) if self.buffer.is_empty() && is_end(&error) => return Ok(None),
                Err(error) => return Err(error),
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Message {
            start,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the next chunk of a body; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            self.fill()?;
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&line[..end]).into_owned();
        let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = self.exact(size + 2)?;
        chunk.truncate(size);
        Ok(chunk)
    }

    /// Reads a request or response with its body.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length = message
            .header("content-length")
            .and_then(|t| t.parse().ok());
        if let Some(length) = length {
            message.body = self.exact(length)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        }
        Ok(Some(message))
    }
}

fn is_end(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::UnexpectedEof || error.kind() == io::ErrorKind::ConnectionReset
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
