//! Stand-in of a runner: answers requests as the users' pages say, and writes its entry in the store.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Message, read_body, read_head, write_message},
    json::Json,
    store::Store,
};

/// Tokens in one event of a stream.
pub const STRIDE: u64 = 6;
/// Most events of a stream on the sheet of the small site.
pub const ENGINE_EVENTS_MAX: u64 = 159;
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// One request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub runner: String,
    pub request: Message,
    /// Whether the runner began to work on it.
    pub has_run: bool,
    /// Events of a stream that were written.
    pub events: u64,
}

impl Arrival {
    pub fn header(&self, name: &str) -> &str {
        self.request.header(name).unwrap_or("")
    }
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a runner does with a request that it is to run.
pub type Behaviour = dyn Fn(&Message, &mut TcpStream) -> Reply + Send + Sync;

pub enum Reply {
    /// Answers as a sound runner.
    Sound,
    /// The behaviour has written the answer. Tells whether the request has run and whether the
    /// connection is kept.
    Written { has_run: bool, keep: bool },
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Work on a call, or pause between two events.
    pub work: Duration,
    pub arrivals: Arrivals,
}

impl Runner {
    /// Starts to serve and writes the entry in the store.
    pub fn start(self, store: &Store, behaviour: Arc<Behaviour>) -> Self {
        let listener = TcpListener::bind(self.address).expect("bind runner");
        let runner = Self {
            address: listener.local_addr().expect("address"),
            ..self
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runner, behaviour) = (served.clone(), Arc::clone(&behaviour));
                thread::spawn(move || runner.serve(stream, &*behaviour));
            }
        });
        let (beating, store) = (runner.clone(), store.clone());
        store.put("servers", &beating.id, beating.entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                store.put("servers", &beating.id, beating.entry(sequence));
            }
        });
        runner
    }

    fn entry(&self, sequence: u64) -> Json {
        Json::object(vec![
            ("Service", Json::text(&self.service)),
            ("Address", Json::text(&self.address.to_string())),
            ("Zone", Json::text(&self.zone)),
            ("Version", Json::text("v1")),
            ("Slots", Json::number(64)),
            ("State", Json::text("ready")),
            ("ColdLeftMs", Json::number(0)),
            ("Sequence", Json::number(sequence)),
            ("born", Json::number(1_790_000_000_000)),
        ])
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, false);
            if !request.is_complete {
                return;
            }
            let expected = request.header("cornelarch-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let headers = [("Cornelarch-Instance-Id", self.id.as_str())];
                let start = "HTTP/1.1 421 Misdirected Request";
                self.record(&request, false);
                if write_message(&mut writer, start, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let index = self.record(&request, true);
            let keep = match behaviour(&request, &mut writer) {
                Reply::Sound => self.answer(&request, &mut writer, index).is_ok(),
                Reply::Written { has_run, keep } => {
                    self.arrivals.lock().expect("arrivals")[index].has_run = has_run;
                    keep
                }
            };
            if !keep {
                return;
            }
        }
    }

    fn record(&self, request: &Message, has_run: bool) -> usize {
        let mut arrivals = self.arrivals.lock().expect("arrivals");
        arrivals.push(Arrival {
            runner: self.id.clone(),
            request: request.clone(),
            has_run,
            events: 0,
        });
        arrivals.len() - 1
    }

    /// Answers a model request with a stream of events, and any other with a body of 800 bytes.
    fn answer(&self, request: &Message, writer: &mut TcpStream, index: usize) -> io::Result<()> {
        let id = request.header("cornelarch-attempt-id").unwrap_or("");
        let headers = [
            ("Cornelarch-Attempt-Id", id),
            ("Cornelarch-Response-Seal", SEAL),
        ];
        let Some((_, output)) = token_count(request) else {
            thread::sleep(self.work);
            return write_answer(request, writer, 800);
        };
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (key, value) in headers {
            head += &format!("{key}: {value}\r\n");
        }
        head += "Transfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        for number in 1..=output / STRIDE {
            thread::sleep(self.work);
            let event = format!("id: {number}\ndata: {}\n\n", "tokens".repeat(8));
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            self.arrivals.lock().expect("arrivals")[index].events = number;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Writes the complete answer of a call.
pub fn write_answer(request: &Message, writer: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let id = request.header("cornelarch-attempt-id").unwrap_or("");
    let headers = [
        ("Cornelarch-Attempt-Id", id),
        ("Cornelarch-Response-Seal", SEAL),
    ];
    write_message(writer, "HTTP/1.1 200 OK", &headers, &vec![b'x'; bytes])
}

/// Returns the tokens of the prompt and the most tokens of the answer that a request states.
pub fn token_count(request: &Message) -> Option<(u64, u64)> {
    let (prompt, answer) = request.header("cornelarch-token-count")?.split_once(',')?;
    Some((prompt.parse().ok()?, answer.parse().ok()?))
}
