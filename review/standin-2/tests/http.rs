//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case; values as they came, one char for each byte.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(broken("line broken off"));
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(line.into_iter().map(char::from).collect()))
}

/// Reads the head of a message; `None` if the connection was closed before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("head broken off"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (key, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        let (key, value) = (key.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push((key, value));
    }
}

/// Reads the body of a message. That of an answer may end with its connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) {
    let chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let body = &mut message.body;
    message.is_complete = match (chunked, length) {
        (true, _) => read_chunks(reader, body).is_ok(),
        (false, Some(length)) => {
            let read = reader.take(length).read_to_end(body);
            read.is_ok() && body.len() as u64 == length
        }
        (false, None) if is_answer => reader.read_to_end(body).is_ok(),
        (false, None) => true,
    };
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("chunk broken off"))?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = u64::from_str_radix(size, 16).map_err(|_| broken("chunk size"))?;
        if size == 0 {
            read_line(reader)?;
            return Ok(());
        }
        let before = body.len() as u64;
        reader.take(size).read_to_end(body)?;
        if body.len() as u64 != before + size {
            return Err(broken("chunk broken off"));
        }
        read_line(reader)?;
    }
}

/// Writes a message with a body of known length.
pub fn write_message(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (key, value) in headers {
        bytes.extend_from_slice(format!("{key}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    write_message(&mut stream, start, headers, body)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or_else(|| broken("closed without an answer"))?;
    read_body(&mut reader, &mut answer, true);
    Ok(answer)
}
