//! Stand-ins of clients.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::connect,
    http::{Reader, find},
    record::Record,
    runner::STRIDE,
};

/// Time for which a client waits for a channel.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What requests are about, as at Quietud; each has a prompt part of its own.
const THINGS: usize = 189;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    pub host: String,
    pub path: String,
    pub key: String,
    /// Prompt tokens and most tokens of the answer; none for a plain service.
    pub tokens: (u64, u64),
    /// Events in the answer, of which each request has one number; by `tokens` if there is none.
    pub pieces: &'static [u64],
    pub parts: String,
    pub limit: Duration,
}

/// How a client attempt ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    /// Whole events that arrived.
    pub events: u64,
    pub is_complete: bool,
    pub retry_after: Option<Duration>,
    pub note: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request of this run has.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Returns a number below `limit`, spread evenly.
pub fn spread(limit: usize) -> usize {
    let mut x = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as usize % limit.max(1)
}

pub fn ask_ready(address: &str) -> bool {
    let Ok(mut stream) = connect(address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
    let head = format!("GET /v1/readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let sent = stream.write_all(head.as_bytes());
    sent.is_ok() && matches!(Reader::new(&stream).head(), Ok(Some(m)) if m.status() == 200)
}

/// Sends one client attempt on a channel of its own and reads the answer.
pub fn send(front: &str, id: &str, ask: &Ask) -> Answer {
    let until = Instant::now() + ask.limit;
    let mut answer = Answer::default();
    let mut stream = match connect(front, CONNECT_TIME.min(ask.limit)) {
        Ok(stream) => stream,
        Err(error) => {
            answer.note = format!("no channel: {error}");
            return answer;
        }
    };
    let body = b"{}";
    let (prompt, most) = ask.tokens;
    let model = match prompt {
        0 => String::new(),
        _ => format!(
            "Cornelarch-Model: m\r\nCornelarch-Token-Count: {prompt},{most}\r\n\
             Cornelarch-Prefix-Hash: {}\r\n",
            ask.parts
        ),
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nCornelarch-Attempt-Id: {id}\r\n{model}\
         Cornelarch-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n\r\n",
        ask.path,
        ask.host,
        ask.limit.as_millis(),
        ask.key,
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    if let Err(error) = stream.write_all(&bytes) {
        answer.note = format!("not sent: {error}");
        return answer;
    }
    if let Err(error) = read_answer(&stream, until, &mut answer) {
        answer.note = error.to_string();
    }
    answer
}

fn read_answer(
    stream: &std::net::TcpStream,
    until: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let left = || {
        until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1))
    };
    let mut reader = Reader::new(stream);
    stream.set_read_timeout(Some(left()))?;
    let Some(head) = reader.head()? else {
        answer.note = "closed without an answer".to_owned();
        return Ok(());
    };
    answer.status = head.status();
    let seconds = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    answer.retry_after = seconds.map(Duration::from_secs_f64);
    if head.header("transfer-encoding").is_none() {
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        reader.exact(length.unwrap_or(0))?;
        answer.is_complete = true;
        return Ok(());
    }
    let mut partial = Vec::new();
    loop {
        stream.set_read_timeout(Some(left()))?;
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            answer.is_complete = partial.is_empty();
            return Ok(());
        }
        partial.extend_from_slice(&chunk);
        while let Some(end) = find(&partial, b"\n\n") {
            partial.drain(..end + 2);
            answer.events += 1;
        }
    }
}

/// A tenant and what it has used: prompts of which an event arrived, and the tokens of these events.
pub struct Tenant {
    pub name: String,
    pub key: String,
    pub prepaid: u64,
    pub used: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

impl Tenant {
    pub fn new(number: usize, prepaid: u64) -> Self {
        Self {
            name: format!("tenant-{number}"),
            key: format!("key-of-tenant-{number}"),
            prepaid,
            used: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }
}

pub type Fronts = Arc<Vec<(String, Arc<AtomicBool>)>>;

/// Chooses a front that is ready; any one if none is.
fn choose(fronts: &Fronts) -> &str {
    let ready: Vec<&str> = fronts
        .iter()
        .filter(|front| front.1.load(Ordering::Relaxed))
        .map(|front| front.0.as_str())
        .collect();
    match ready.is_empty() {
        true => &fronts[spread(fronts.len())].0,
        false => ready[spread(ready.len())],
    }
}

/// Sends a request of a tenant, with one retry after a refusal that tells when to come back.
fn send_for(tenant: &Tenant, fronts: &Fronts, ask: &Ask, record: &Record) {
    for attempt in 0..2 {
        let (id, front) = (new_id(), choose(fronts));
        record.add(format!("sent id={id} tenant={} to={front}", tenant.name));
        let answer = send(front, &id, ask);
        record.add(format!(
            "answered id={id} status={} events={} complete={} {}",
            answer.status, answer.events, answer.is_complete, answer.note
        ));
        if answer.status == 200 && answer.events > 0 {
            let tokens = ask.tokens.0 + ask.tokens.1.min(answer.events * STRIDE);
            tenant.used.fetch_add(tokens, Ordering::Relaxed);
        }
        match answer.status {
            200 if answer.is_complete => {
                tenant.served.fetch_add(1, Ordering::Relaxed);
                return;
            }
            429 | 503 if attempt == 0 => {
                let wait = answer.retry_after.unwrap_or(Duration::from_millis(100));
                thread::sleep(wait.min(ask.limit / 3));
            }
            402 | 429 | 503 => {
                tenant.refused.fetch_add(1, Ordering::Relaxed);
                return;
            }
            _ => {
                tenant.failed.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Sends a request of each tenant every `pause` until `end`; the tenants take turns.
pub fn press(
    tenants: &Arc<Vec<Tenant>>,
    fronts: &Fronts,
    ask: &Ask,
    pause: Duration,
    end: Instant,
    record: &Arc<Record>,
) {
    let mut running = Vec::new();
    let step = pause / tenants.len() as u32;
    let mut next = Instant::now();
    'all: loop {
        for index in 0..tenants.len() {
            if Instant::now() >= end {
                break 'all;
            }
            let (tenants, fronts) = (Arc::clone(tenants), Arc::clone(fronts));
            let record = Arc::clone(record);
            let mut ask = ask.clone();
            ask.key = tenants[index].key.clone();
            // The first part belongs to what the request is about, the last one to the request.
            let (thing, own) = (spread(THINGS), NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
            ask.parts = format!("{:x}:6300,{own:x}:2890", 0x5c1e_07a2 + thing);
            if let Some(pieces) = ask.pieces.get(own as usize * 7 % ask.pieces.len().max(1)) {
                ask.tokens.1 = pieces * STRIDE;
            }
            running.push(thread::spawn(move || {
                send_for(&tenants[index], &fronts, &ask, &record);
            }));
            next += step;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        running.retain(|thread| !thread.is_finished());
    }
    running.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
}
