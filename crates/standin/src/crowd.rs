//! Crowds of callers without manners, and measures of the process that they call.

use std::{fs, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Receive window of callers that read slowly, in bytes.
const SMALL_WINDOW: u32 = 4 * 1024;
/// Time after which a caller whose connection takes nothing more has sent what it can.
const SEND_WAIT: Duration = Duration::from_secs(20);
/// Interval at which the processor time of the daemon is compared.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Largest processor time of a daemon that has nothing to do, in ticks an interval.
const QUIET_TICKS: u64 = 2;
/// Time in which the daemon has handled all that a crowd has sent.
const QUIET_WAIT: Duration = Duration::from_secs(120);

/// Measures a process by its number.
#[derive(Clone, Copy, Debug)]
pub struct ProcessProbe {
    process: u32,
}

impl ProcessProbe {
    /// Creates a probe of the process with this number.
    #[must_use]
    pub const fn new(process: u32) -> Self {
        Self { process }
    }

    /// Returns the largest resident memory so far, in kB.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[must_use]
    pub fn peak_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process));
        let text = text.expect("the process lives");
        let line = text.lines().find(|line| line.starts_with("VmHWM"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.expect("the process lives").parse().expect("number")
    }

    /// Returns the processor time of the process, in ticks.
    fn ticks(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.process));
        let text = text.expect("the process lives");
        let fields = text.rsplit_once(')').expect("name").1;
        let fields = fields.split_whitespace().skip(11).take(2);
        fields
            .map(|field| field.parse::<u64>().expect("number"))
            .sum()
    }

    /// Waits until the process has handled what it was sent.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn wait_quiet(&self) {
        let began = Instant::now();
        loop {
            let before = self.ticks();
            sleep(QUIET_PERIOD).await;
            if self.ticks() - before <= QUIET_TICKS || began.elapsed() > QUIET_WAIT {
                return;
            }
        }
    }

    /// Returns the number of open descriptors.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.process));
        entries.expect("the process lives").count()
    }
}

/// Sends bytes and reads the whole answer. Returns its status and the size of its body.
pub async fn exchange(address: SocketAddr, text: Vec<u8>) -> Option<(u16, usize)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let (mut reader, mut writer) = stream.split();
    let mut answer = Vec::new();
    let (_, read) = tokio::join!(writer.write_all(&text), reader.read_to_end(&mut answer));
    read.ok()?;
    let end = answer.windows(4).position(|part| part == b"\r\n\r\n")?;
    let status = std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()?;
    let length = content_length(std::str::from_utf8(&answer[..end]).ok()?);
    let bytes = answer.len() - end - 4;
    length
        .is_none_or(|length| length == bytes)
        .then_some((status, bytes))
}

fn content_length(head: &str) -> Option<usize> {
    let lines = head.lines();
    let mut values = lines.filter_map(|line| line.strip_prefix("content-length: "));
    values.next()?.parse().ok()
}

/// Callers whose connections stay open until the crowd is dropped.
#[derive(Debug, Default)]
pub struct Crowd {
    callers: Vec<JoinHandle<Option<TcpStream>>>,
    streams: Vec<TcpStream>,
    window: Option<u32>,
}

impl Crowd {
    /// Creates a crowd that reads nothing and has a small window.
    #[must_use]
    pub fn slow_readers() -> Self {
        Self {
            window: Some(SMALL_WINDOW),
            ..Self::default()
        }
    }

    /// Sends a head and `count` times a piece, each in a write of its own.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be opened.
    pub fn send(&mut self, address: SocketAddr, head: String, piece: Vec<u8>, count: usize) {
        let window = self.window;
        self.callers.push(tokio::spawn(async move {
            let socket = TcpSocket::new_v4().expect("socket");
            if let Some(window) = window {
                socket.set_recv_buffer_size(window).expect("window");
            }
            let mut stream = socket.connect(address).await.ok()?;
            let sent = async {
                stream.write_all(head.as_bytes()).await?;
                for _ in 0..count {
                    stream.write_all(&piece).await?;
                }
                stream.flush().await
            };
            // Whether all of it is taken is up to the process.
            let _ = timeout(SEND_WAIT, sent).await;
            Some(stream)
        }));
    }

    /// Waits until every caller has sent what the process takes, and the process has handled it.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn settle(&mut self, process: &ProcessProbe) {
        let streams = join_all(self.callers.drain(..)).await;
        let streams = streams
            .into_iter()
            .filter_map(|stream| stream.expect("caller"));
        self.streams.extend(streams);
        process.wait_quiet().await;
    }
}
