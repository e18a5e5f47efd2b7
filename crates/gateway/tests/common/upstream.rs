//! Fake upstream on loopback with scripted replies.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Time from the begin of a shutdown to the end of a response.
const SHUTDOWN_TIME: Duration = Duration::from_millis(150);

/// Reaction of an upstream to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Responds with a status and a body.
    Answer(u16, &'static str),
    /// Responds with a status, additional header lines and a body.
    AnswerWith(u16, &'static str, &'static str),
    /// Responds that it did not run the request.
    Refuse,
    /// Reads the request and resets the connection.
    Reset,
    /// Reads the request and never responds.
    Silent,
    /// Responds and sends an unsolicited second response right after.
    Unsolicited(&'static str),
    /// Responds with the id of another request.
    WrongId,
    /// Runs the request, but sends an earlier refusal once more, with the id of the request that was
    /// refused.
    RefuseAgain,
    /// As [`Reply::RefuseAgain`], but the refusal names no request.
    RefuseAgainWithoutId,
    /// Sends the first bytes of the head of this response and closes the connection.
    PartialHead(usize),
    /// Sends these texts as chunks of an event stream and ends the response properly.
    Events(Vec<String>),
    /// As [`Reply::Events`], with additional header lines.
    EventsWith(&'static str, Vec<String>),
    /// Sends these texts as chunks of an event stream and resets the connection.
    Interrupted(Vec<String>),
    /// Sends these texts as chunks of an event stream with a pause after each.
    Paced(Vec<String>, Duration),
    /// As [`Reply::Paced`], but resets the connection in place of the end.
    PacedReset(Vec<String>, Duration),
    /// Responds without the header that proves that the upstream produced the response.
    WithoutProof,
    /// Sends fewer bytes than its `content-length` and closes the connection.
    Truncated,
    /// Sends bytes in this stage of a response until the gateway closes the connection.
    Endless(EndlessStage),
    /// Sends these additional header lines, and these texts without a length or chunks, and ends in
    /// this way.
    Unframed(&'static str, Vec<String>, UnframedEnd),
    /// Sends the head of an event stream; then the process ends: all connections are closed and the
    /// port refuses new ones.
    Crash,
}

/// Stage of a response that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndlessStage {
    /// Reason phrase of the status line.
    StatusLine,
    /// Informational responses, such as `100 Continue`.
    Informational,
    /// Header lines.
    HeaderLines,
    /// Value of one header.
    HeaderValue,
    /// Leading zeros of a chunk size.
    ChunkSize,
    /// Blanks after a chunk size.
    ChunkBlanks,
    /// Extension of a chunk.
    ChunkExtension,
    /// Large chunks without event boundaries.
    LargeChunks,
    /// Chunks of one byte without event boundaries.
    TinyChunks,
    /// Body with an absurd length.
    Length,
    /// Body without a length or chunks.
    Unframed,
    /// Blank lines, each of which ends an event.
    EmptyEvents,
    /// Body of an error response.
    ErrorBody,
    /// Trailer lines.
    Trailers,
}

impl EndlessStage {
    /// Returns the text before the endless part, with the head of a proper event stream given, and
    /// a piece of the endless part.
    fn texts(self, head: &str) -> (String, String) {
        let chunked = head.to_owned();
        let unframed = head.replace("transfer-encoding: chunked\r\n", "");
        let status = |line: &str| head.replacen("HTTP/1.1 200 OK\r\n", line, 1);
        let (start, unit) = match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "O".to_owned()),
            Self::Informational => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::HeaderLines => ("HTTP/1.1 200 OK\r\n".to_owned(), "a: b\r\n".to_owned()),
            Self::HeaderValue => ("HTTP/1.1 200 OK\r\na: ".to_owned(), "b".to_owned()),
            Self::ChunkSize => (chunked, "0".to_owned()),
            Self::ChunkBlanks => (chunked + "1", " ".to_owned()),
            Self::ChunkExtension => (chunked + "1;", "x".to_owned()),
            Self::LargeChunks => (chunked, encode_chunk(&"x".repeat(16_384))),
            Self::TinyChunks => (chunked, encode_chunk("x")),
            Self::Length => {
                let length = "content-length: 1000000000000\r\n";
                let head = head.replace("transfer-encoding: chunked\r\n", length);
                (head, "x".to_owned())
            }
            Self::Unframed => (unframed, "x".to_owned()),
            Self::EmptyEvents => (unframed, "\n\n".to_owned()),
            Self::ErrorBody => (
                status("HTTP/1.1 500 -\r\n"),
                encode_chunk(&"x\n".repeat(8_192)),
            ),
            Self::Trailers => (chunked + "0\r\n", "a: b\r\n".to_owned()),
        };
        let count = 16_384_usize.div_ceil(unit.len());
        (start, unit.repeat(count))
    }
}

/// How a response without a length or chunks ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnframedEnd {
    /// The upstream closes the connection.
    Closed,
    /// The upstream resets the connection.
    Reset,
    /// The process ends, which closes the connection as well.
    Crashed,
    /// The process ends, and another one accepts connections at its address at once.
    Restarted,
    /// The upstream refuses new connections, but sends the response to its end.
    Refusing,
    /// The upstream is shut down: it refuses new connections, closes those without a request, and
    /// sends its responses to their end.
    ShutDown,
    /// As [`UnframedEnd::ShutDown`], but connections without a request are closed a moment after the
    /// end of the response.
    ShutDownLater,
    /// As [`UnframedEnd::ShutDown`], but the process ends before its responses do.
    ShutDownCrashed,
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
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
struct UpstreamState {
    replies: Mutex<VecDeque<Reply>>,
    /// Reply once the queued ones are used up, if it is not the usual one.
    last_reply: Mutex<Option<Reply>>,
    requests: Mutex<Vec<ReceivedRequest>>,
    connections: AtomicU32,
    /// Requests whose connection the gateway closed before the response was complete.
    abandoned: AtomicU32,
    /// Bytes sent in endless responses.
    endless_bytes: AtomicUsize,
    /// Prompt part or path of the requests that crash the upstream.
    deadly: Mutex<Option<String>>,
    crashed: CancellationToken,
    /// Cancelled once the port refuses new connections.
    refusing: CancellationToken,
    /// Cancelled once connections are closed that have no request.
    shut_down: CancellationToken,
    address: OnceLock<SocketAddr>,
    /// Time from a deadly request until the upstream crashes, unless the connection is closed.
    crash_delay: Mutex<Duration>,
}

impl UpstreamState {
    /// Returns the reply to a request.
    fn choose_reply(&self, request: &ReceivedRequest) -> Reply {
        let is_deadly = self
            .deadly
            .lock()
            .as_ref()
            .is_some_and(|text| request.head.contains(text.as_str()));
        match is_deadly {
            true => Reply::Crash,
            false => self.replies.lock().pop_front().unwrap_or_else(|| {
                if let Some(reply) = self.last_reply.lock().clone() {
                    return reply;
                }
                let is_stream = request.head.contains(" /stream/");
                match (is_stream, self.deadly.lock().is_some()) {
                    (true, true) => Reply::Events(vec!["id: 1\ndata: t1\n\n".to_owned()]),
                    _ => Reply::Answer(200, "ok"),
                }
            }),
        }
    }
}

pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    state: Arc<UpstreamState>,
}

impl FakeUpstream {
    /// Starts an upstream that responds with 200 once the queued replies are used up.
    pub(crate) async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let state = Arc::new(UpstreamState {
            replies: Mutex::new(replies.into()),
            ..UpstreamState::default()
        });
        state.address.set(address).expect("is set once");
        tokio::spawn(accept(listener, Arc::clone(&state)));
        Self { address, state }
    }

    /// Starts an upstream that crashes when a request head contains `deadly`.
    pub(crate) async fn start_fragile(deadly: &str) -> Self {
        let upstream = Self::start(Vec::new()).await;
        *upstream.state.deadly.lock() = Some(deadly.to_owned());
        upstream
    }

    /// Makes deadly requests wait before they crash the upstream.
    pub(crate) fn delay_crash(&self, delay: Duration) {
        *self.state.crash_delay.lock() = delay;
    }

    /// Returns whether the upstream has crashed.
    pub(crate) fn has_crashed(&self) -> bool {
        self.state.crashed.is_cancelled()
    }

    /// Replaces the queued replies.
    pub(crate) fn set_replies(&self, replies: Vec<Reply>) {
        *self.state.replies.lock() = replies.into();
    }

    /// Sets the reply to all requests for which no reply is queued.
    pub(crate) fn set_last_reply(&self, reply: Reply) {
        *self.state.last_reply.lock() = Some(reply);
    }

    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.requests.lock().clone()
    }

    pub(crate) fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn endless_bytes(&self) -> usize {
        self.state.endless_bytes.load(Ordering::SeqCst)
    }

    pub(crate) fn abandoned(&self) -> u32 {
        self.state.abandoned.load(Ordering::SeqCst)
    }
}

/// Binds a listener whose connections have a receive buffer of this size, in bytes.
pub(crate) fn bind_with_buffer(bytes: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("socket");
    // Accepted connections have the buffer size of the listener.
    socket.set_recv_buffer_size(bytes).expect("buffer size");
    let any = "127.0.0.1:0".parse().expect("address");
    socket.bind(any).expect("bind");
    socket.listen(8).expect("listen")
}

/// Serves connections until the process ends or refuses them.
async fn accept(listener: TcpListener, state: Arc<UpstreamState>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.crashed.cancelled() => return,
            () = state.refusing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { return };
        state.connections.fetch_add(1, Ordering::SeqCst);
        let connection_state = Arc::clone(&state);
        tokio::spawn(async move {
            let crashed = connection_state.crashed.clone();
            tokio::select! {
                () = serve(stream, connection_state) => {}
                () = crashed.cancelled() => {}
            }
        });
    }
}

/// Ends the process and starts another one at its address.
async fn restart(state: &UpstreamState) {
    let address = *state.address.get().expect("is set");
    state.refusing.cancel();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.push(stream);
        }
    });
    state.crashed.cancel();
}

async fn serve(mut stream: TcpStream, state: Arc<UpstreamState>) {
    let mut buffer = Vec::new();
    loop {
        let request = tokio::select! {
            request = read_request(&mut stream, &mut buffer) => request,
            () = state.shut_down.cancelled() => None,
        };
        let Some(request) = request else { return };
        let id = request.header("t-attempt").unwrap_or("-").to_owned();
        let reply = state.choose_reply(&request);
        state.requests.lock().push(request);
        if !send_reply(&mut stream, &id, reply, &state).await {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut request = ReceivedRequest {
        head,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < head_end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Some(request)
}

fn response_text(id: &str, status: u16, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nt-attempt: {id}\r\nt-seal: seal-{id}\r\nkeep-alive: timeout=5\r\n{extra}content-length: {length}\r\n\r\n{body}"
    )
}

/// Sends the reply and returns whether the connection stays open.
async fn send_reply(stream: &mut TcpStream, id: &str, reply: Reply, state: &UpstreamState) -> bool {
    let stream_head = format!(
        "HTTP/1.1 200 OK\r\nt-attempt: {id}\r\nt-seal: seal-{id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let is_reset = matches!(reply, Reply::PacedReset(..));
    let text = match reply {
        Reply::Answer(status, body) => response_text(id, status, "", body),
        Reply::AnswerWith(status, headers, body) => response_text(id, status, headers, body),
        Reply::Refuse => response_text(id, 503, "t-not-run: 1\r\n", ""),
        Reply::Unsolicited(body) => {
            let second = response_text("another", 200, "", "wrong");
            response_text(id, 200, "", body) + &second
        }
        Reply::WithoutProof => response_text(id, 200, "", "x").replace("t-seal", "t-other"),
        Reply::WrongId => response_text("another", 200, "", "wrong"),
        Reply::RefuseAgain => response_text("earlier", 503, "t-not-run: 1\r\n", ""),
        Reply::RefuseAgainWithoutId => {
            let refusal = response_text("earlier", 503, "t-not-run: 1\r\n", "");
            refusal.replace("t-attempt: earlier\r\n", "")
        }
        Reply::PartialHead(bytes) => {
            let text = response_text(id, 200, "", "body");
            let head = text.split("\r\n\r\n").next().unwrap_or_default();
            let part = &head.as_bytes()[..bytes.min(head.len())];
            let _ = stream.write_all(part).await;
            let _ = stream.flush().await;
            return false;
        }
        Reply::Reset => {
            // With a linger time of zero, closing the socket resets the connection.
            let _ = stream.set_zero_linger();
            return false;
        }
        Reply::Silent => {
            let mut byte = [0];
            let _ = stream.read(&mut byte).await;
            state.abandoned.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        Reply::Truncated => response_text(id, 200, "", "complete body")
            .trim_end_matches("body")
            .to_owned(),
        Reply::Events(events) => {
            let chunks: String = events.iter().map(|event| encode_chunk(event)).collect();
            stream_head + &chunks + "0\r\n\r\n"
        }
        Reply::EventsWith(headers, events) => {
            let chunks: String = events.iter().map(|event| encode_chunk(event)).collect();
            let head =
                stream_head.replace("transfer-encoding", &format!("{headers}transfer-encoding"));
            head + &chunks + "0\r\n\r\n"
        }
        Reply::Interrupted(events) => {
            let chunks: String = events.iter().map(|event| encode_chunk(event)).collect();
            let _ = stream.write_all((stream_head + &chunks).as_bytes()).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = stream.set_zero_linger();
            return false;
        }
        Reply::Crash => {
            let delay = *state.crash_delay.lock();
            let mut byte = [0];
            // A request whose connection is closed or reset before it begins is dropped.
            let read = tokio::time::timeout(delay, stream.read(&mut byte)).await;
            if let Ok(Ok(0) | Err(_)) = read {
                state.abandoned.fetch_add(1, Ordering::SeqCst);
                return false;
            }
            let _ = stream.write_all(stream_head.as_bytes()).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            state.crashed.cancel();
            return false;
        }
        Reply::Unframed(headers, texts, end) => {
            let head = stream_head.replace("transfer-encoding: chunked\r\n", headers);
            let _ = stream.write_all((head + &texts.concat()).as_bytes()).await;
            let _ = stream.flush().await;
            // The gateway has received the head by then.
            tokio::time::sleep(Duration::from_millis(50)).await;
            match end {
                UnframedEnd::Refusing => state.refusing.cancel(),
                UnframedEnd::ShutDownLater => {
                    state.refusing.cancel();
                    let shut_down = state.shut_down.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(SHUTDOWN_TIME).await;
                        shut_down.cancel();
                    });
                }
                UnframedEnd::ShutDown | UnframedEnd::ShutDownCrashed => {
                    state.refusing.cancel();
                    state.shut_down.cancel();
                    tokio::time::sleep(SHUTDOWN_TIME).await;
                }
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            match end {
                UnframedEnd::Closed
                | UnframedEnd::Refusing
                | UnframedEnd::ShutDown
                | UnframedEnd::ShutDownLater => {}
                UnframedEnd::Restarted => restart(state).await,
                UnframedEnd::Reset => {
                    let _ = stream.set_zero_linger();
                }
                UnframedEnd::Crashed | UnframedEnd::ShutDownCrashed => state.crashed.cancel(),
            }
            return false;
        }
        Reply::Endless(stage) => {
            let (start, part) = stage.texts(&stream_head);
            return send_endless(stream, state, &start, &part).await;
        }
        Reply::Paced(events, pause) | Reply::PacedReset(events, pause) => {
            if stream.write_all(stream_head.as_bytes()).await.is_err() {
                return false;
            }
            for event in events {
                if stream
                    .write_all(encode_chunk(&event).as_bytes())
                    .await
                    .is_err()
                {
                    state.abandoned.fetch_add(1, Ordering::SeqCst);
                    return false;
                }
                tokio::time::sleep(pause).await;
            }
            if is_reset {
                let _ = stream.set_zero_linger();
                return false;
            }
            "0\r\n\r\n".to_owned()
        }
    };
    let is_truncated = text.ends_with("complete ");
    stream.write_all(text.as_bytes()).await.is_ok() && !is_truncated
}

/// Sends `start` and repeats `part` until the gateway closes the connection; returns `false`, as
/// the connection cannot be reused.
async fn send_endless(
    stream: &mut TcpStream,
    state: &UpstreamState,
    start: &str,
    part: &str,
) -> bool {
    let mut text = start;
    while stream.write_all(text.as_bytes()).await.is_ok() {
        state.endless_bytes.fetch_add(text.len(), Ordering::SeqCst);
        text = part;
    }
    state.abandoned.fetch_add(1, Ordering::SeqCst);
    false
}

fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
