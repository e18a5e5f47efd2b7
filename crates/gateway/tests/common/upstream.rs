//! Upstream on loopback that answers as a test asks.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Says that it did not run the request.
    Refuse,
    /// Reads the request and resets the connection.
    Reset,
    /// Reads the request and stays silent.
    Silent,
    /// Answers, and sends an answer to another request right after.
    Surplus(&'static str),
    /// Answers with the id of another request.
    Foreign,
    /// Sends these bytes as events and ends the answer properly.
    Events(Vec<String>),
    /// Sends these bytes as events and breaks off.
    Broken(Vec<String>),
    /// Sends an event at a time with a pause between them.
    Paced(Vec<String>, Duration),
    /// Answers without the proof that the answer is its own.
    Unsealed,
    /// Sends fewer bytes than announced and closes.
    Short,
    /// Sends bytes that are no event until the gateway closes the connection.
    EndlessBody,
    /// Sends header lines until the gateway closes the connection.
    EndlessHead,
}

/// One request as an upstream got it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Seen {
    /// Returns a header by its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

#[derive(Default)]
struct Shared {
    replies: Mutex<VecDeque<Reply>>,
    seen: Mutex<Vec<Seen>>,
    connections: AtomicU32,
    /// Requests whose connection the gateway closed before the answer.
    abandoned: AtomicU32,
    /// Bytes of endless answers that were sent.
    endless_bytes: AtomicUsize,
}

pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeUpstream {
    /// Starts an upstream that answers 200 unless other replies are queued.
    pub(crate) async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            replies: Mutex::new(replies.into()),
            ..Shared::default()
        });
        let state = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                state.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, Arc::clone(&state)));
            }
        });
        Self { address, shared }
    }

    /// Replaces the queued replies.
    pub(crate) fn script(&self, replies: Vec<Reply>) {
        *self.shared.replies.lock() = replies.into();
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().clone()
    }

    pub(crate) fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn endless_bytes(&self) -> usize {
        self.shared.endless_bytes.load(Ordering::SeqCst)
    }

    pub(crate) fn abandoned(&self) -> u32 {
        self.shared.abandoned.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let id = seen.header("t-attempt").unwrap_or("-").to_owned();
        shared.seen.lock().push(seen);
        let reply = shared.replies.lock().pop_front();
        let reply = reply.unwrap_or(Reply::Answer(200, "ok"));
        if !answer(&mut stream, &id, reply, &shared).await {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut seen = Seen {
        head,
        body: Vec::new(),
    };
    let length = seen
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < head_end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Some(seen)
}

fn whole(id: &str, status: u16, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nt-attempt: {id}\r\nt-seal: seal-{id}\r\nkeep-alive: timeout=5\r\n{extra}content-length: {length}\r\n\r\n{body}"
    )
}

/// Sends the answer and returns whether the connection goes on.
async fn answer(stream: &mut TcpStream, id: &str, reply: Reply, shared: &Shared) -> bool {
    let stream_head = format!(
        "HTTP/1.1 200 OK\r\nt-attempt: {id}\r\nt-seal: seal-{id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let text = match reply {
        Reply::Answer(status, body) => whole(id, status, "", body),
        Reply::Refuse => whole(id, 503, "t-not-run: 1\r\n", ""),
        Reply::Surplus(body) => {
            let second = whole("another", 200, "", "wrong");
            whole(id, 200, "", body) + &second
        }
        Reply::Unsealed => whole(id, 200, "", "x").replace("t-seal", "t-other"),
        Reply::Foreign => whole("another", 200, "", "wrong"),
        Reply::Reset => {
            // Unread or lingering data turns the close into a reset.
            let _ = stream.set_zero_linger();
            return false;
        }
        Reply::Silent => {
            let mut byte = [0];
            let _ = stream.read(&mut byte).await;
            shared.abandoned.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        Reply::Short => whole(id, 200, "", "complete body")
            .trim_end_matches("body")
            .to_owned(),
        Reply::Events(events) => {
            let chunks: String = events.iter().map(|event| chunk(event)).collect();
            stream_head + &chunks + "0\r\n\r\n"
        }
        Reply::Broken(events) => {
            let chunks: String = events.iter().map(|event| chunk(event)).collect();
            let _ = stream.write_all((stream_head + &chunks).as_bytes()).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = stream.set_zero_linger();
            return false;
        }
        Reply::EndlessBody => {
            return send_endless(stream, shared, &stream_head, &chunk(&"x".repeat(16_384))).await;
        }
        Reply::EndlessHead => {
            return send_endless(stream, shared, "HTTP/1.1 200 OK\r\n", "a: b\r\n").await;
        }
        Reply::Paced(events, pause) => {
            if stream.write_all(stream_head.as_bytes()).await.is_err() {
                return false;
            }
            for event in events {
                if stream.write_all(chunk(&event).as_bytes()).await.is_err() {
                    shared.abandoned.fetch_add(1, Ordering::SeqCst);
                    return false;
                }
                tokio::time::sleep(pause).await;
            }
            "0\r\n\r\n".to_owned()
        }
    };
    let is_short = text.ends_with("complete ");
    stream.write_all(text.as_bytes()).await.is_ok() && !is_short
}

/// Repeats `part` until the connection is closed; the connection does not go on.
async fn send_endless(stream: &mut TcpStream, shared: &Shared, start: &str, part: &str) -> bool {
    let mut text = start;
    while stream.write_all(text.as_bytes()).await.is_ok() {
        shared.endless_bytes.fetch_add(text.len(), Ordering::SeqCst);
        text = part;
    }
    shared.abandoned.fetch_add(1, Ordering::SeqCst);
    false
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
