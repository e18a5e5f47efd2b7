//! Stand-in of a sound model runner that answers with streams of events.

use std::{
    io::Write,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, Reader, respond},
    json::{Json, table},
    record::Record,
    store::Store,
};

/// Tokens in an event of a stream.
pub const STRIDE: u64 = 6;
/// Requests that run at once.
const SLOTS: usize = 64;
/// The same at a runner of a plain service.
const PLAIN_SLOTS: usize = 6;
/// Time until the first event.
const FIRST_EVENT: Duration = Duration::from_millis(40);
/// Time that a request of a plain service takes.
const WORK: Duration = Duration::from_millis(60);
/// Size of the answer of a plain service, in bytes.
const ANSWER_BYTES: usize = 800;
/// Time between events.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// Time between two entries at the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a write that was turned away is repeated.
const WRITE_AGAIN: Duration = Duration::from_millis(250);
/// Time between two looks at the clock for the next entry.
const BEAT_STEP: Duration = Duration::from_millis(20);

pub struct Runner {
    pub id: String,
    service: String,
    is_engine: bool,
    zone: String,
    address: String,
    born: u128,
    sequence: AtomicU64,
    running: AtomicUsize,
    draining: AtomicBool,
    runs: AtomicUsize,
    next_beat: Mutex<Instant>,
    /// Set once the process would have ended.
    ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Runner {
    /// Starts a runner that registers at the store and writes there at each heartbeat.
    pub fn open(
        (id, (service, is_engine), zone): (&str, (&str, bool), &str),
        ip: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("address of a runner");
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            is_engine,
            zone: zone.to_owned(),
            address: listener.local_addr().expect("address").to_string(),
            born: since.map_or(0, |since| since.as_millis()),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            runs: AtomicUsize::new(0),
            next_beat: Mutex::new(Instant::now()),
            ended: AtomicBool::new(false),
            channels: Mutex::default(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let channel = stream.try_clone();
                serving.channels.lock().unwrap().extend(channel);
                let runner = Arc::clone(&serving);
                thread::spawn(move || runner.serve(&stream));
            }
        });
        let (beating, store) = (Arc::clone(&runner), Arc::clone(store));
        thread::spawn(move || {
            while !beating.ended.load(Ordering::Relaxed) {
                let next = *beating.next_beat.lock().unwrap();
                if Instant::now() >= next {
                    beating.register(&store);
                }
                thread::sleep(BEAT_STEP);
            }
        });
        runner
    }

    /// Reports that it is draining. The store has accepted that when this returns.
    pub fn drain(&self, store: &Store) {
        self.draining.store(true, Ordering::Relaxed);
        self.register(store);
        self.record.add(format!("draining runner={}", self.id));
    }

    /// Leaves: its channels are closed, its port refuses new ones, and its entry is removed.
    pub fn end(&self, store: &Store) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(&self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        store.remove("servers", &self.id);
        let running = self.running.load(Ordering::Relaxed);
        self.record
            .add(format!("end runner={} running={running}", self.id));
    }

    /// Returns the number of streams that it has run.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Runs a request of a plain service.
    fn run_plain(&self, stream: &TcpStream, id: &str) -> std::io::Result<()> {
        self.record.add(format!("run id={id} runner={}", self.id));
        thread::sleep(WORK);
        let headers = [
            ("Cornelarch-Attempt-Id", id.to_owned()),
            ("Cornelarch-Response-Seal", format!("{}.{id}", self.id)),
            ("Cornelarch-Server-Load", self.load()),
            ("Keep-Alive", "timeout=5".to_owned()),
        ];
        respond(stream, 200, &headers, &[b'x'; ANSWER_BYTES])
    }

    /// Tells the requests that run, those that wait, and the slots.
    fn load(&self) -> String {
        format!(
            "{},0,{}",
            self.running.load(Ordering::Relaxed),
            self.slots()
        )
    }

    /// Returns the slots, as the site file has them.
    fn slots(&self) -> usize {
        match self.is_engine {
            true => SLOTS,
            false => PLAIN_SLOTS,
        }
    }

    /// Writes the entry.
    pub fn register(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let entry = table([
            ("Service", Json::text(&*self.service)),
            ("Address", Json::text(&*self.address)),
            ("Zone", Json::text(&*self.zone)),
            ("Version", Json::text("v1")),
            ("Slots", Json::number(self.slots())),
            ("State", Json::text(state)),
            ("ColdLeftMs", Json::number(0)),
            ("Sequence", Json::number(sequence)),
            ("born", Json::number(self.born)),
        ]);
        let pause = match store.put("servers", &self.id, entry) {
            true => HEARTBEAT,
            false => WRITE_AGAIN,
        };
        *self.next_beat.lock().unwrap() = Instant::now() + pause;
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            if self.answer(stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let expected = request.header("cornelarch-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("Cornelarch-Instance-Id", self.id.clone())];
            return respond(stream, 421, &headers, b"");
        }
        let Some(id) = request.header("cornelarch-attempt-id").map(str::to_owned) else {
            let headers = [("Cornelarch-Not-Executed", "1".to_owned())];
            return respond(stream, 400, &headers, b"");
        };
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.run(stream, request, &id, running);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if result.is_err() {
            self.record.add(format!("cut id={id} runner={}", self.id));
        }
        stream.flush()?;
        result
    }

    fn run(
        &self,
        mut stream: &TcpStream,
        request: &Message,
        id: &str,
        running: usize,
    ) -> std::io::Result<()> {
        if running >= self.slots() {
            let headers = [
                ("Cornelarch-Attempt-Id", id.to_owned()),
                ("Cornelarch-Not-Executed", "1".to_owned()),
            ];
            return respond(stream, 503, &headers, b"");
        }
        let Some(counts) = request.header("cornelarch-token-count") else {
            return self.run_plain(stream, id);
        };
        let mut counts = counts
            .split(',')
            .map(|t| t.trim().parse::<u64>().unwrap_or(0));
        let (prompt, answer) = (counts.next().unwrap_or(0), counts.next().unwrap_or(0));
        let tenant = request.header("cornelarch-tenant").unwrap_or("-");
        self.record.add(format!(
            "run id={id} runner={} tenant={tenant} tokens={prompt},{answer}",
            self.id
        ));
        self.runs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(FIRST_EVENT);
        let channel = match self.draining.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "Keep-Alive: timeout=5\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCornelarch-Attempt-Id: {id}\r\n\
             Cornelarch-Response-Seal: {}.{id}\r\nCornelarch-Server-Load: {}\r\n{channel}Transfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.load()
        );
        stream.write_all(head.as_bytes())?;
        let events = answer.div_ceil(STRIDE).max(1);
        for number in 1..=events {
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            if number < events {
                thread::sleep(EVENT_PAUSE);
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
