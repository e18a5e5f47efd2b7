//! Stand-ins and scenarios of the review cases: a store, runners, clients and the script of each
//! case. Uses the standard library only; `review/build.sh` compiles it.
//!
//!     stand_in runner STORE ID SERVICE ADDRESS ZONE    one runner, controlled over its standard input
//!     stand_in CASE DIR EDGE                           one case, see `main`

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------- time

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn sleep_until(unix: u64) {
    sleep_ms(unix.saturating_sub(unix_ms()));
}

// ---------------------------------------------------------------------------------------- JSON

/// Returns the members of a JSON object as raw text.
fn json_members(text: &str) -> BTreeMap<String, String> {
    let bytes = text.as_bytes();
    let mut members = BTreeMap::new();
    let mut at = 1;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let key_end = json_end(bytes, at);
                let key = text[at + 1..key_end - 1].to_owned();
                let mut start = key_end;
                while bytes[start] != b':' {
                    start += 1;
                }
                start += 1;
                while bytes[start].is_ascii_whitespace() {
                    start += 1;
                }
                let end = json_end(bytes, start);
                members.insert(key, text[start..end].to_owned());
                at = end;
            }
            b'}' => break,
            _ => at += 1,
        }
    }
    members
}

/// Returns the end of the JSON value that starts at a position.
fn json_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut in_text, mut at) = (0, false, start);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_text => at += 1,
            b'"' => {
                in_text = !in_text;
                if !in_text && depth == 0 {
                    return at + 1;
                }
            }
            _ if in_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

fn unquote(text: &str) -> String {
    text.trim().trim_matches('"').to_owned()
}

// ---------------------------------------------------------------------------------------- HTTP

struct Head {
    first: String,
    headers: HashMap<String, String>,
}

impl Head {
    fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some(Head {
        first: first.trim_end().to_owned(),
        headers,
    }))
}

/// Reads a body with a length or in chunks. Returns whether it is complete. `seen` gets each part.
fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    mut seen: impl FnMut(&[u8]),
) -> io::Result<bool> {
    if head.get("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
            seen(&chunk[..size]);
        }
    }
    let length: usize = head.get("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return Ok(false);
    }
    seen(&body);
    Ok(true)
}

/// What a client saw.
#[derive(Clone, Debug, Default)]
struct Answer {
    /// 0 if no head arrived.
    status: u16,
    body: Vec<u8>,
    is_complete: bool,
    ended_ms: u64,
}

fn call(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let result = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        (&stream).write_all(request.as_bytes())?;
        let mut reader = BufReader::new(&stream);
        let Some(head) = read_head(&mut reader)? else {
            return Ok(());
        };
        answer.status = head
            .first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let mut body = Vec::new();
        let complete = read_body(&mut reader, &head, |part| body.extend_from_slice(part));
        answer.body = body;
        answer.is_complete = complete?;
        Ok(())
    })();
    let _ = result;
    answer.ended_ms = unix_ms();
    answer
}

// --------------------------------------------------------------------------------------- store

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    spec: Option<String>,
    at: Instant,
}

#[derive(Default)]
struct StoreState {
    changes: Vec<Change>,
}

/// The platform's store. Reads with `AllowStale` return the state of `lag` ago.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    lag_ms: AtomicU64,
    /// One of how many writes of the ledger is done without an answer, and one of how many seconds
    /// later; 0 for none.
    lost_every: AtomicU64,
    late_every: AtomicU64,
    writes: AtomicU64,
}

type Objects = BTreeMap<String, (u64, String)>;

impl Store {
    fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            lag_ms: AtomicU64::new(0),
            lost_every: AtomicU64::new(0),
            late_every: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address).expect("store address");
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || {
                    let _ = store.serve(&stream);
                });
            }
        });
        store
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = Vec::new();
            if !read_body(&mut reader, &head, |part| body.extend_from_slice(part))? {
                return Ok(());
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            if !head.first.starts_with("GET") && head.first.contains("/ledger") {
                let number = self.writes.fetch_add(1, Ordering::SeqCst);
                let falls = |every: &AtomicU64, rest: u64| match every.load(Ordering::SeqCst) {
                    0 => false,
                    every => number % every == rest,
                };
                if falls(&self.late_every, 1) {
                    sleep_ms(1_000 + number * 977 % 5_000);
                    self.answer(&head, &body);
                    return Ok(());
                }
                if falls(&self.lost_every, 0) {
                    self.answer(&head, &body);
                    sleep_ms(3_000);
                    return Ok(());
                }
            }
            let (status, text) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            (&mut &*stream).write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let mut words = head.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut parts = path.split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let is_stale = query.get("AllowStale") == Some(&"1");
        match (method, name) {
            ("GET", None) => match query.get("Watch").and_then(|text| text.parse().ok()) {
                Some(revision) => {
                    let wait = query.get("WaitMs").and_then(|text| text.parse().ok());
                    self.watch(kind, revision, wait.unwrap_or(0), is_stale)
                }
                None => self.list(kind, query.get("After").copied(), is_stale),
            },
            ("GET", Some(name)) => {
                let (_, objects) = self.objects(kind, is_stale);
                match objects.get(name) {
                    Some((revision, spec)) => (200, object(name, *revision, spec)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", name) => self.write(method == "POST", kind, name, body),
            ("DELETE", Some(name)) => {
                self.put(kind, name, None);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn visible_before(&self, is_stale: bool) -> Instant {
        let lag = match is_stale {
            true => self.lag_ms.load(Ordering::SeqCst),
            false => 0,
        };
        Instant::now()
            .checked_sub(Duration::from_millis(lag))
            .unwrap_or_else(Instant::now)
    }

    /// Returns the objects of a kind and the revision that they reflect.
    fn objects(&self, kind: &str, is_stale: bool) -> (u64, Objects) {
        let state = self.state.lock().unwrap();
        let until = self.visible_before(is_stale);
        let (mut as_of, mut objects) = (1, Objects::new());
        for change in state.changes.iter().take_while(|change| change.at <= until) {
            as_of = change.revision;
            if change.kind == kind {
                match &change.spec {
                    Some(spec) => {
                        objects.insert(change.name.clone(), (change.revision, spec.clone()));
                    }
                    None => {
                        objects.remove(&change.name);
                    }
                }
            }
        }
        (as_of, objects)
    }

    fn list(&self, kind: &str, after: Option<&str>, is_stale: bool) -> (u16, String) {
        let (as_of, objects) = self.objects(kind, is_stale);
        let entries = objects
            .iter()
            .filter(|(name, _)| after.is_none_or(|after| &***name > after));
        let entries: Vec<String> = entries
            .map(|(name, (revision, spec))| object(name, *revision, spec))
            .collect();
        let entries = entries.join(",");
        (
            200,
            format!("{{\"Entries\":[{entries}],\"HasMore\":false,\"AsOf\":{as_of}}}"),
        )
    }

    fn watch(&self, kind: &str, revision: u64, wait: u64, is_stale: bool) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let until = self.visible_before(is_stale);
            let visible = state.changes.iter().take_while(|change| change.at <= until);
            let as_of = visible
                .clone()
                .last()
                .map_or(1, |change| change.revision)
                .max(revision);
            let events: Vec<String> = visible
                .filter(|change| change.kind == kind && change.revision > revision)
                .map(|change| {
                    let spec = change.spec.as_deref().unwrap_or("null");
                    let object = object(&change.name, change.revision, spec);
                    format!(
                        "{{\"Tombstone\":{},\"Object\":{object}}}",
                        change.spec.is_none()
                    )
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (
                    200,
                    format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", events.join(",")),
                );
            }
            // A lagging reader sees a change later than the wake-up for it.
            let pause = (end - now).min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn write(&self, is_new: bool, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let members = json_members(body);
        let metadata = json_members(members.get("Metadata").map_or("{}", String::as_str));
        let named = metadata
            .get("Name")
            .map(|text| unquote(text))
            .unwrap_or_default();
        let name = name.map_or(named, str::to_owned);
        let expected: Option<u64> = metadata.get("Revision").and_then(|text| text.parse().ok());
        let spec = members
            .get("Spec")
            .cloned()
            .unwrap_or_else(|| "null".to_owned());
        let mut state = self.state.lock().unwrap();
        let present = state
            .changes
            .iter()
            .rev()
            .find(|c| c.kind == kind && c.name == name);
        let present = present.and_then(|c| c.spec.clone().map(|spec| (c.revision, spec)));
        match (&present, is_new) {
            (Some((revision, spec)), true) => return (409, object(&name, *revision, spec)),
            (None, false) => return (404, "{}".to_owned()),
            (Some((revision, spec)), false) if expected.is_some_and(|e| e != *revision) => {
                return (409, object(&name, *revision, spec));
            }
            _ => {}
        }
        let revision = push(&mut state, kind, &name, Some(spec.clone()));
        self.changed.notify_all();
        (200, object(&name, revision, &spec))
    }

    fn put(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let revision = push(&mut self.state.lock().unwrap(), kind, name, spec);
        self.changed.notify_all();
        revision
    }
}

fn push(state: &mut StoreState, kind: &str, name: &str, spec: Option<String>) -> u64 {
    let revision = state.changes.last().map_or(2, |change| change.revision + 1);
    state.changes.push(Change {
        revision,
        kind: kind.to_owned(),
        name: name.to_owned(),
        spec,
        at: Instant::now(),
    });
    revision
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\
         \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}

// -------------------------------------------------------------------------------------- runner

/// Prompt part that crashes each runner.
const POISON: &str = "dead0001:";

/// One of how many streams a runner with an even number answers without a length or chunks.
const UNFRAMED_EVERY: usize = 20;

struct Runner {
    store: SocketAddr,
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    sequence: AtomicU64,
    is_leaving: AtomicU64,
    streams: AtomicUsize,
    running: AtomicUsize,
}

/// Writes one line about what the runner did.
fn tell(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_ms());
    let _ = out.flush();
}

impl Runner {
    fn slots(&self) -> usize {
        if self.service == "model" { 64 } else { 6 }
    }

    /// Writes the own entry and returns whether the store accepted it.
    fn register(&self, is_new: bool) -> bool {
        let state = match self.is_leaving.load(Ordering::SeqCst) {
            0 => "ready",
            _ => "draining",
        };
        let spec = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots(),
            self.sequence.load(Ordering::SeqCst),
            self.born,
        );
        let body = format!(
            "{{\"Metadata\":{{\"Name\":\"{}\"}},\"Spec\":{spec}}}",
            self.id
        );
        let (method, path) = match is_new {
            true => ("POST", "servers".to_owned()),
            false => ("PUT", format!("servers/{}", self.id)),
        };
        let request = format!(
            "{method} /v1/objects/{path} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        call(self.store, &request, Duration::from_secs(2)).status == 200
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = Vec::new();
            if !read_body(&mut reader, &head, |part| body.extend_from_slice(part))? {
                return Ok(());
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            if !self.answer(stream, &head, &body)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the channel stays open.
    fn answer(&self, mut stream: &TcpStream, head: &Head, body: &str) -> io::Result<bool> {
        let expected = head.get("cornelarch-expect-instance");
        let mut common = format!("Cornelarch-Instance-Id: {}\r\n", self.id);
        let id = head.get("cornelarch-attempt-id");
        if !expected.is_empty() && expected != self.id {
            tell(&format!("MISDIRECTED {id}"));
            let text = format!("HTTP/1.1 421 -\r\n{common}Content-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let _ = write!(common, "Cornelarch-Attempt-Id: {id}\r\n");
        if self.is_leaving.load(Ordering::SeqCst) != 0 {
            common.push_str("Server-Leaving: 1\r\n");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots() {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 -\r\n{common}Cornelarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        tell(&format!(
            "RUN {id} {} after {}",
            head.first,
            head.get("last-event-id")
        ));
        if head.get("cornelarch-prefix-hash").contains(POISON) {
            // The prompt is read; the runner crashes as it begins to write its answer.
            sleep_ms(15);
            tell(&format!("CRASH {id}"));
            let seal = format!("Cornelarch-Response-Seal: {}.0\r\n", self.id);
            let text = format!(
                "HTTP/1.1 200 -\r\n{common}{seal}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            let _ = stream.write_all(text.as_bytes());
            std::process::exit(3);
        }
        let done = self.run(stream, head, body, &common, id);
        self.running.fetch_sub(1, Ordering::SeqCst);
        match &done {
            Ok(_) => tell(&format!("DONE {id}")),
            Err(_) => tell(&format!("CANCELLED {id}")),
        }
        done
    }

    /// Runs a request. Its body says `PIECES GAP_MS xID` for a stream and `WORK_MS` for a call.
    fn run(
        &self,
        mut stream: &TcpStream,
        head: &Head,
        body: &str,
        common: &str,
        id: &str,
    ) -> io::Result<bool> {
        let numbers: Vec<u64> = body
            .split(' ')
            .filter_map(|text| text.parse().ok())
            .collect();
        let &[pieces, gap] = &numbers[..] else {
            sleep_ms(numbers.first().copied().unwrap_or(10));
            let text = format!("answer to {id}");
            let seal = format!("Cornelarch-Response-Seal: {}.{}\r\n", self.id, text.len());
            let text = format!(
                "HTTP/1.1 200 -\r\n{common}{seal}Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        };
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        let is_case = std::env::var("UNFRAMED").is_ok();
        let has_unframed = is_case && self.id.ends_with(['0', '2', '4']);
        let is_unframed = has_unframed && number % UNFRAMED_EVERY == UNFRAMED_EVERY / 2;
        let framing = match is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n",
        };
        if is_unframed {
            tell(&format!("UNFRAMED {id}"));
        }
        let seal = format!("Cornelarch-Response-Seal: {}.{pieces}\r\n", self.id);
        let text = format!(
            "HTTP/1.1 200 -\r\n{common}{seal}Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        let first: u64 = head.get("last-event-id").parse().unwrap_or(0);
        let mut is_open = false;
        // The prompt is read first.
        sleep_ms(gap * 4);
        for piece in first + 1..=pieces {
            sleep_ms(gap);
            if !is_open {
                stream.write_all(text.as_bytes())?;
                is_open = true;
            }
            let event = format!("id: {piece}\ndata: piece {piece} of {pieces}\n\n");
            let event = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(event.as_bytes())?;
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!is_unframed)
    }
}

/// Runs a runner until its standard input ends or says `exit`. `drain` makes it report `draining`.
fn run_runner(arguments: &[String]) {
    let [store, id, service, address, zone] = arguments else {
        panic!("runner STORE ID SERVICE ADDRESS ZONE");
    };
    let runner = Arc::new(Runner {
        store: store.parse().unwrap(),
        id: id.clone(),
        service: service.clone(),
        address: address.parse().unwrap(),
        zone: zone.clone(),
        born: unix_ms(),
        sequence: AtomicU64::new(0),
        is_leaving: AtomicU64::new(0),
        streams: AtomicUsize::new(0),
        running: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind(runner.address).expect("runner address");
    let shared = Arc::clone(&runner);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = Arc::clone(&shared);
            thread::spawn(move || {
                let _ = runner.serve(&stream);
            });
        }
    });
    if !runner.register(true) {
        runner.register(false);
    }
    tell("REGISTERED");
    let beating = Arc::clone(&runner);
    thread::spawn(move || {
        loop {
            sleep_ms(1_200);
            // The sequence alone changes, which the store does not report to watchers.
            beating.sequence.fetch_add(1, Ordering::SeqCst);
        }
    });
    for line in io::stdin().lines().map_while(Result::ok) {
        match line.as_str() {
            "drain" => {
                runner.is_leaving.store(1, Ordering::SeqCst);
                let is_accepted = runner.register(false);
                tell(&format!("DRAINING accepted={is_accepted}"));
            }
            "exit" => break,
            _ => {}
        }
    }
    tell("EXIT");
    std::process::exit(0);
}

// --------------------------------------------------------------------------------------- fleet

fn send_signal(name: &str, pid: u32) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
}

/// Processes that run, so that none is left if the case takes too long.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process of a case.
struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
}

impl Process {
    fn say(&mut self, line: &str) {
        if let Some(stdin) = &mut self.stdin {
            let _ = writeln!(stdin, "{line}");
        }
    }

    fn new(mut child: Child) -> Self {
        PROCESSES.lock().unwrap().push(child.id());
        let stdin = child.stdin.take();
        Self { child, stdin }
    }

    /// Kills the process and waits until it has ended.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }

    fn signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }
}

/// What happened, in the order of time.
#[derive(Clone)]
struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    fn add(&self, text: impl Into<String>) {
        self.add_at(unix_ms(), text);
    }

    fn add_at(&self, at: u64, text: impl Into<String>) {
        self.0.lock().unwrap().push((at, text.into()));
    }

    /// Returns the lines that contain a text, with their times.
    fn find(&self, text: &str) -> Vec<(u64, String)> {
        let lines = self.0.lock().unwrap();
        lines
            .iter()
            .filter(|(_, line)| line.contains(text))
            .cloned()
            .collect()
    }
}

struct Fleet {
    dir: String,
    edge: String,
    network: [u8; 2],
    store: Arc<Store>,
    edges: Vec<Process>,
    runners: BTreeMap<String, Process>,
    record: Record,
    next_id: AtomicU64,
    /// Number of the tenant that sends.
    tenant: AtomicU64,
    writes_per_s: AtomicU64,
    /// Whether runners answer some streams without a length or chunks.
    has_unframed: bool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.edges.iter_mut().chain(self.runners.values_mut()) {
            process.kill();
        }
    }
}

/// First part of the prompts of one application.
const COMMON_PART: u64 = 0x5c1e_07a2;
/// Part that crashes each runner which begins to answer on it.
const POISONED_PART: u64 = 0xdead_0001;
/// Key of the first tenant without its last digit; that of the others ends with their number.
const KEY: &str = "xd9dnn2ctnfzs989anu";
const TENANTS: u64 = 10;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
    fn new(dir: &str, edge: &str) -> Self {
        // A loopback network of its own for each run, with the ports free on it.
        let pid = std::process::id();
        let network = [100 + (pid % 100) as u8, (pid / 100 % 250) as u8];
        let address = SocketAddr::new(ip(network, 250), 8742);
        let temporary = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&temporary).unwrap();
        Self {
            dir: dir.to_owned(),
            edge: edge.to_owned(),
            network,
            store: Store::start(address),
            edges: Vec::new(),
            runners: BTreeMap::new(),
            record: Record(Arc::default()),
            next_id: AtomicU64::new(0x9c41_0000),
            tenant: AtomicU64::new(0),
            writes_per_s: AtomicU64::new(400),
            has_unframed: false,
        }
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::new(ip(self.network, 250), 8742)
    }

    fn front(&self, edge: usize) -> SocketAddr {
        SocketAddr::new(ip(self.network, 10 + edge as u8), 8740)
    }

    fn publish(&self, version: u64) {
        self.publish_with(version, 39_767_170);
    }

    fn publish_with(&self, version: u64, prepaid: u64) {
        let route = |name: &str, prefix: &str, rest: &str| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"app.example\",\"PathPrefix\":\"{prefix}\",\
                 \"Public\":false,{rest}}}"
            )
        };
        let routes = [
            route(
                "ask",
                "/ask/",
                "\"RouteKind\":\"streaming\",\"TimeoutMs\":12000,\"LatencySloMs\":300,\"Priority\":0,\
                 \"Service\":\"model\",\"Attempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":300",
            ),
            route(
                "plan",
                "/plan/",
                "\"RouteKind\":\"streaming\",\"TimeoutMs\":12000,\"LatencySloMs\":500,\"Priority\":1,\
                 \"Service\":\"model\",\"Attempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":300",
            ),
            route(
                "order",
                "/order/",
                "\"RouteKind\":\"non_idempotent\",\"TimeoutMs\":1500,\"LatencySloMs\":300,\"Priority\":2,\
                 \"Service\":\"orders\",\"Attempts\":2",
            ),
            route(
                "stock",
                "/stock/",
                "\"RouteKind\":\"idempotent\",\"TimeoutMs\":1500,\"LatencySloMs\":300,\"Priority\":2,\
                 \"Service\":\"orders\",\"Attempts\":2",
            ),
        ];
        let tenants: Vec<String> = (0..TENANTS)
            .map(|number| {
                format!(
                    "{{\"Name\":\"huka27{number}\",\"ApiKeys\":[\"{KEY}{number}\"],\"Priority\":1,\
                     \"Prepaid\":{prepaid}}}"
                )
            })
            .collect();
        let spec = format!(
            "{{\"Version\":{version},\"RouteTable\":[{}],\"Services\":[{{\"Name\":\"model\",\
             \"HealthPath\":\"/healthz\",\"ConnLimit\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":\
             {{\"Slots\":64,\"KvCapacity\":400328,\"KvBytes\":18432,\"Stride\":6,\"Models\":[{{\"Name\":\"m\"}}]}}}},\
             {{\"Name\":\"orders\",\"HealthPath\":\"/healthz\",\"ConnLimit\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
             \"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
             \"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
            routes.join(","),
            tenants.join(",")
        );
        self.store.put("config", "main", Some(spec));
    }

    /// Writes the settings file of an instance and returns its path.
    fn write_settings(&self, number: usize, zone: &str) -> std::path::PathBuf {
        let own = ip(self.network, 10 + number as u8);
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("{}:8748", ip(self.network, 10 + n)))
            .collect();
        let mut text = format!(
            "Node=edge-{number}\nRole=edge\nMachineClass=edge\nServes=edge,control_plane\nIp={own}\n\
             Zone={zone}\nRegion=region\nListen.Front={own}:8740\nListen.Ready={own}:8749\n\
             Listen.Control={own}:8748\nPortRange=7200,7215\nSeeds={}\nBootstrap=true\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.FdLimit=4100\n\
             Discovery=platform\nEntry=vip\nHeartbeatMs=1200\nBounds.ContactMs=3000\n\
             Bounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigMs=2000\n\
             Bounds.RevertMs=250\nBounds.RetryRatio=0.2\nBounds.BudgetWindowS=10\n\
             Bounds.RetrySlack=56\nBounds.RecoverS=12\nPlatform.Address={}\nPlatform.form=objects\n\
             Platform.WritesPerS={}\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n\
             Platform.ValueBytes=1048576\n",
            seeds.join(","),
            self.store_address(),
            self.writes_per_s.load(Ordering::SeqCst)
        );
        for zone in ZONES {
            let _ = writeln!(text, "Zones.{zone}=region");
        }
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let path = temporary.join(format!("edge-{number}.conf"));
        fs::write(&path, text).unwrap();
        path
    }

    fn start_edge(&mut self, zone: &str) {
        let number = self.edges.len();
        let path = self.write_settings(number, zone);
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let log = File::create(temporary.join(format!("edge-{number}.log"))).unwrap();
        let child = Command::new(&self.edge)
            .env("CORNELARCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("cornelarch-edge");
        self.record.add(format!("edge-{number} started in {zone}"));
        self.edges.push(Process::new(child));
    }

    /// Stops an instance with SIGTERM and starts it again.
    fn roll_edge(&mut self, number: usize) {
        self.record.add(format!("edge-{number} gets SIGTERM"));
        self.edges[number].signal("TERM");
        let end = unix_ms() + 8_000;
        while unix_ms() < end && matches!(self.edges[number].child.try_wait(), Ok(None)) {
            sleep_ms(20);
        }
        self.restart_edge(number);
    }

    /// Kills an instance, if it still runs, and starts it again.
    fn restart_edge(&mut self, number: usize) {
        self.edges[number].kill();
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let path = temporary.join(format!("edge-{number}.conf"));
        let log = File::options()
            .append(true)
            .open(temporary.join(format!("edge-{number}.log")));
        let log = log.unwrap();
        let child = Command::new(&self.edge)
            .env("CORNELARCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("cornelarch-edge");
        self.edges[number] = Process::new(child);
        self.record.add(format!("edge-{number} started again"));
    }

    /// Starts a runner, or one that was killed again under its id.
    fn start_runner(&mut self, id: &str, service: &str, zone: &str, host: u8) {
        let address = SocketAddr::new(ip(self.network, host), 8080);
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["runner", &self.store_address().to_string(), id, service])
            .args([&address.to_string(), zone])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .envs(self.has_unframed.then_some(("UNFRAMED", "1")))
            .spawn()
            .expect("runner");
        let stdout = child.stdout.take().unwrap();
        let (record, name) = (self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let (at, text) = line.split_once(' ').unwrap_or(("0", &line));
                record.add_at(at.parse().unwrap_or(0), format!("runner {name}: {text}"));
            }
        });
        if let Some(mut old) = self.runners.insert(id.to_owned(), Process::new(child)) {
            old.kill();
        }
    }

    fn kill_runner(&mut self, id: &str) {
        let runner = self.runners.get_mut(id).unwrap();
        self.record.add(format!("runner {id}: KILLED"));
        runner.kill();
        // The entry of a silent runner is removed after three ping intervals.
        let (store, id) = (Arc::clone(&self.store), id.to_owned());
        let entry = store.objects("servers", false).1.get(&id).cloned();
        thread::spawn(move || {
            sleep_ms(3_600);
            if store.objects("servers", false).1.get(&id).cloned() == entry {
                store.put("servers", &id, None);
            }
        });
    }

    /// Ends a runner that has reported `draining`, whose entry is removed.
    fn end_runner(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().say("exit");
        self.store.put("servers", id, None);
    }

    /// Waits until all instances are ready and have been so for some seconds.
    fn wait_ready(&self) -> bool {
        let end = unix_ms() + 20_000;
        for number in 0..self.edges.len() {
            let address = SocketAddr::new(ip(self.network, 10 + number as u8), 8749);
            let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            while call(address, request, Duration::from_secs(1)).status != 200 {
                if unix_ms() > end {
                    return false;
                }
                sleep_ms(100);
            }
        }
        self.record.add("all edges are ready");
        // Traffic starts 10 s after the machines do.
        sleep_ms(8_000);
        true
    }

    /// Sends a request in a thread of its own. The receiver gets its id and answer.
    fn send(
        &self,
        edge: usize,
        (method, path): (&str, &str),
        headers: &str,
        body: &str,
        deadline_ms: u64,
    ) -> mpsc::Receiver<(String, Answer)> {
        let id = format!(
            "{:016x}",
            self.next_id.fetch_add(1, Ordering::SeqCst) * 0x1_0001
        );
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: app.example\r\nCornelarch-Attempt-Id: {id}\r\n\
             Cornelarch-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}{}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            self.tenant.load(Ordering::SeqCst),
            body.len()
        );
        let (sender, receiver) = mpsc::channel();
        let (record, address) = (self.record.clone(), self.front(edge));
        record.add(format!("client {id}: SENT to edge-{edge} {method} {path}"));
        thread::spawn(move || {
            let answer = call(address, &request, Duration::from_millis(deadline_ms));
            record.add_at(
                answer.ended_ms,
                format!(
                    "client {id}: ENDED status={} complete={} bytes={}",
                    answer.status,
                    answer.is_complete,
                    answer.body.len()
                ),
            );
            let _ = sender.send((id, answer));
        });
        receiver
    }

    /// Sends a stream request of `pieces` events, `gap` ms apart. `part` is the first prompt part.
    fn send_stream(
        &self,
        edge: usize,
        path: &str,
        (part, pieces, gap): (u64, u64, u64),
    ) -> mpsc::Receiver<(String, Answer)> {
        let own = self.next_id.load(Ordering::SeqCst);
        let subject = 0x91bd_0000 + own % 89;
        let headers = format!(
            "Cornelarch-Model: m\r\nCornelarch-Token-Count: 826,{}\r\n\
             Cornelarch-Prefix-Hash: {part:x}:198,{subject:x}:100,{own:x}:528\r\n",
            pieces * 6
        );
        self.send(
            edge,
            ("POST", path),
            &headers,
            &format!("{pieces} {gap} x{own:x}"),
            12_000,
        )
    }

    /// Writes the record, in the order of time, with `verdict` at its end.
    fn write_record(&self, verdict: &str) {
        let mut lines = self.record.0.lock().unwrap().clone();
        lines.sort();
        let start = lines.first().map_or(0, |line| line.0);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} {line}", at.saturating_sub(start) as f64 / 1e3);
        }
        let _ = writeln!(text, "{verdict}");
        fs::write(format!("{}/record.txt", self.dir), text).unwrap();
        print!("{verdict}\n");
    }
}

fn ip(network: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], host))
}

/// Returns the ids of the events that a client got.
fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.trim().parse().ok())
        .collect()
}

/// Result of a case: whether the rule held, and what to note.
type Verdict = Result<(bool, String), String>;

// --------------------------------------------------------------------------------------- cases

/// Returns what is wrong with the answers to streams: those that look complete and lack events, and
/// those with an event that is missing in the middle or comes twice.
fn check_streams(
    fleet: &Fleet,
    streams: Vec<(u64, mpsc::Receiver<(String, Answer)>)>,
) -> (usize, usize, usize) {
    let (mut whole, mut broken, mut wrong) = (0, 0, 0);
    for (pieces, receiver) in streams {
        let Ok((id, answer)) = receiver.recv() else {
            continue;
        };
        let ids = event_ids(&answer.body);
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        let is_short = answer.status == 200 && answer.is_complete && ids.len() as u64 != pieces;
        if is_short || ids != expected {
            wrong += 1;
            fleet.record.add(format!(
                "BREACH client {id}: status {} complete={} with {} of {pieces} events",
                answer.status,
                answer.is_complete,
                ids.len()
            ));
        } else if answer.status == 200 && answer.is_complete {
            whole += 1;
        } else {
            broken += 1;
        }
    }
    (whole, broken, wrong)
}

/// A runner that leaves is gone 2 s after its notice, while it writes streams, one of them without a
/// length or chunks.
fn case_leaving(fleet: &mut Fleet, trouble: bool) -> Verdict {
    fleet.has_unframed = true;
    fleet.publish(7);
    ZONES.into_iter().for_each(|zone| fleet.start_edge(zone));
    for number in 0..6 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    let (pieces, gap) = (49, 120);
    let mut streams = Vec::new();
    for number in 0..180 {
        let path = ["/ask/a", "/plan/a"][number % 2];
        let part = 0x5c1e_0000 + number as u64;
        streams.push((
            pieces,
            fleet.send_stream(number % 3, path, (part, pieces, gap)),
        ));
        sleep_ms(8);
    }
    if trouble {
        fleet
            .record
            .add("TROUBLE runner i-m2 reports that it is draining");
        fleet.runners.get_mut("i-m2").unwrap().say("drain");
        sleep_ms(2_000);
        fleet.record.add("TROUBLE runner i-m2 is gone");
        fleet.kill_runner("i-m2");
    }
    let (whole, broken, wrong) = check_streams(fleet, streams);
    let unframed = fleet.record.find("UNFRAMED").len();
    Ok((
        wrong == 0 && (trouble || broken == 0),
        format!(
            "{whole} streams whole, {broken} broken off visibly, {wrong} look complete and are not \
             ({unframed} of 180 streams had neither a length nor chunks)"
        ),
    ))
}

/// A runner crashes and starts again under its id while an instance is suspended.
fn case_suspended(fleet: &mut Fleet, trouble: bool) -> Verdict {
    fleet.has_unframed = true;
    fleet.publish(7);
    ZONES.into_iter().for_each(|zone| fleet.start_edge(zone));
    for number in 0..6 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    let (pieces, gap) = (49, 160);
    let mut streams = Vec::new();
    for number in 0..180 {
        let path = ["/ask/a", "/plan/a"][number % 2];
        let part = 0x5c1e_0000 + number as u64;
        streams.push((pieces, fleet.send_stream(1, path, (part, pieces, gap))));
        sleep_ms(8);
    }
    if trouble {
        sleep_ms(500);
        fleet.record.add("TROUBLE edge-1 is suspended");
        fleet.edges[1].signal("STOP");
        sleep_ms(200);
        fleet.kill_runner("i-m2");
        sleep_ms(2_000);
        fleet.start_runner("i-m2", "model", ZONES[2], 52);
        sleep_ms(800);
        fleet.record.add("TROUBLE edge-1 goes on");
        fleet.edges[1].signal("CONT");
    }
    let (whole, broken, wrong) = check_streams(fleet, streams);
    let unframed = fleet.record.find("UNFRAMED").len();
    Ok((
        wrong == 0 && (trouble || broken == 0),
        format!(
            "{whole} streams whole, {broken} broken off visibly, {wrong} look complete and are not \
             ({unframed} of 180 streams had neither a length nor chunks)"
        ),
    ))
}

/// The store's stale reads are seconds old; a runner drains and ends.
fn case_stale(fleet: &mut Fleet, trouble: bool) -> Verdict {
    fleet.publish(7);
    for _ in 0..4 {
        fleet.start_edge(ZONES[0]);
    }
    for number in 0..6 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if trouble {
        fleet.store.lag_ms.store(3_000, Ordering::SeqCst);
        fleet
            .record
            .add("TROUBLE reads with AllowStale return what was 3 s ago");
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    for edge in 0..4 {
        let part = 0x5c1e_0000 + edge as u64;
        let stream = fleet.send_stream(edge, "/plan/a", (part, 5, 20));
        let (_, answer) = stream.recv().unwrap();
        if answer.status != 200 {
            return Err(format!("edge-{edge} does not serve: {}", answer.status));
        }
    }
    sleep_ms(4_000);
    fleet.runners.get_mut("i-m0").unwrap().say("drain");
    let end = unix_ms() + 2_000;
    let acked = loop {
        if let Some((at, _)) = fleet
            .record
            .find("runner i-m0: DRAINING accepted=true")
            .first()
        {
            break *at;
        }
        if unix_ms() > end {
            return Err("the store did not accept the entry".to_owned());
        }
        sleep_ms(5);
    };
    // Eight streams at each instance, 200 ms after `DrainMs`; the runner ends 1.5 s after `DrainMs`.
    sleep_until(acked + 2_200);
    let mut streams = Vec::new();
    for number in 0..32 {
        let part = 0x5c1e_0100 + number as u64;
        streams.push(fleet.send_stream(number % 4, "/plan/a", (part, 49, 100)));
    }
    sleep_until(acked + 3_500);
    fleet.end_runner("i-m0");
    let mut lost = 0;
    for stream in streams {
        let (_, answer) = stream.recv().unwrap();
        lost += usize::from(answer.status != 200 || !answer.is_complete);
    }
    let ran = fleet.record.find("runner i-m0: RUN");
    let late: Vec<u64> = ran
        .iter()
        .map(|(at, _)| *at)
        .filter(|at| *at > acked + 2_000)
        .map(|at| at - acked)
        .collect();
    Ok((
        late.is_empty(),
        format!(
            "{} requests ran on the runner later than DrainMs after the store's ack, at {late:?} ms; \
             {lost} of 32 streams were not served whole",
            late.len()
        ),
    ))
}

/// Three runners of twelve crash one after the other while all streams share a prompt part.
fn case_blocked(fleet: &mut Fleet, trouble: bool) -> Verdict {
    fleet.publish(7);
    for zone in ZONES {
        fleet.start_edge(zone);
    }
    for number in 0..12 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    let (pieces, gap, part) = (44, 240, COMMON_PART);
    // A request with the part is served well before the crashes.
    let first = fleet
        .send_stream(0, "/ask/a", (part, 5, 50))
        .recv()
        .unwrap()
        .1;
    if first.status != 200 || !first.is_complete {
        return Err(format!("edge-0 does not serve: {}", first.status));
    }
    let mut answers = Vec::new();
    let start = unix_ms();
    // Two streams per second at each instance, for 12 s.
    for number in 0..72 {
        answers.push(fleet.send_stream(number % 3, "/ask/a", (part, pieces, gap)));
        for (crash, index) in [0, 4, 8].into_iter().enumerate() {
            let id = format!("i-m{index}");
            if trouble && number == 18 + 9 * crash {
                fleet.record.add(format!("TROUBLE runner {id} crashes"));
                fleet.kill_runner(&id);
            }
            // Down for 4 s.
            if trouble && number == 42 + 9 * crash {
                fleet.start_runner(&id, "model", ZONES[index % 3], 50 + index as u8);
            }
        }
        sleep_until(start + 166 * (number as u64 + 1));
    }
    let answers: Vec<(String, Answer)> = answers
        .into_iter()
        .map(|answer| answer.recv().unwrap())
        .collect();
    // A runner notices that its channel is closed with its next event.
    sleep_ms(2_000);
    let (mut denied, mut total, mut withdrawn) = (0, 0, 0);
    for (id, answer) in answers {
        total += 1;
        if (300..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status) {
            denied += 1;
            fleet
                .record
                .add(format!("BREACH client {id}: denied with {}", answer.status));
        }
        // The request had reached a runner that lives, and the gateway closed its channel.
        let cancelled = fleet.record.find(&format!("CANCELLED {id}"));
        let is_whole = answer.status == 200 && answer.is_complete;
        let sent = fleet.record.find(&format!("client {id}: SENT"))[0].0;
        let is_in_time = answer.ended_ms < sent + 11_500;
        let is_cut = !cancelled.is_empty() && !is_whole && is_in_time;
        withdrawn += u32::from(is_cut);
    }
    Ok((
        f64::from(denied) <= 5.0 + f64::from(total) / 500.0,
        format!(
            "{denied} of {total} proper requests were denied with a 4xx of the gateway's own; \
             {withdrawn} were taken back from runners that had begun them"
        ),
    ))
}

/// Batches of prompts have a part that crashes each runner which begins to answer on it.
fn case_poisoned(fleet: &mut Fleet, trouble: bool) -> Verdict {
    const RUNNERS: usize = 12;
    fleet.publish(7);
    ZONES.into_iter().for_each(|zone| fleet.start_edge(zone));
    for number in 0..RUNNERS {
        let id = format!("i-m{number:02}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    let (mut sound, mut batch) = (Vec::new(), Vec::new());
    let mut down: Vec<(usize, u64)> = Vec::new();
    let start = unix_ms();
    // Ten sound requests a second for 20 s, and a batch of six every 3.2 s from the fourth second on.
    for tick in 0..200_u64 {
        let path = ["/ask/a", "/plan/a"][tick as usize / 3 % 2];
        sound.push(fleet.send_stream(tick as usize % 3, path, (COMMON_PART, 49, 60)));
        if tick >= 40 && (tick - 40) % 32 == 0 {
            let part = if trouble { POISONED_PART } else { COMMON_PART };
            for number in 0..6 {
                batch.push(fleet.send_stream(number % 3, "/ask/a", (part, 49, 60)));
            }
        }
        // A runner is back 3 s after its crash.
        let at = unix_ms();
        for index in 0..RUNNERS {
            let runner = fleet.runners.get_mut(&format!("i-m{index:02}")).unwrap();
            let is_known = down.iter().any(|(other, _)| *other == index);
            if !is_known && matches!(runner.child.try_wait(), Ok(Some(_))) {
                down.push((index, at));
            }
        }
        while let Some(place) = down.iter().position(|(_, since)| at > since + 3_000) {
            let (index, _) = down.remove(place);
            let id = format!("i-m{index:02}");
            fleet.start_runner(&id, "model", ZONES[index % 3], 50 + index as u8);
        }
        sleep_until(start + 100 * (tick + 1));
    }
    let read = |requests: Vec<mpsc::Receiver<(String, Answer)>>| -> Vec<Answer> {
        requests
            .into_iter()
            .map(|request| request.recv().unwrap().1)
            .collect()
    };
    let (sound, batch) = (read(sound), read(batch));
    let is_whole = |answer: &&Answer| answer.status == 200 && answer.is_complete;
    let whole = batch.iter().filter(is_whole).count();
    let mut crashes = fleet.record.find("CRASH ");
    crashes.sort();
    // Several requests with the part may reach one runner before it ends: that is one crash.
    let mut ends: Vec<(u64, String)> = Vec::new();
    for (at, line) in &crashes {
        let runner = line.split("CRASH").next().unwrap_or_default().to_owned();
        if !ends
            .iter()
            .any(|(end, other)| *other == runner && at - end < 1_000)
        {
            ends.push((*at, runner));
        }
    }
    let bound = ends.get(4).map_or(u64::MAX, |(fifth, _)| fifth + 3_000);
    // The request reached its runner when it began there, 15 ms before the crash.
    let late = crashes
        .iter()
        .filter(|(at, _)| *at > bound.saturating_add(15))
        .count();
    let mut lost = sound.iter().filter(|answer| !is_whole(answer));
    let lost = lost
        .by_ref()
        .filter(|answer| answer.ended_ms > bound)
        .count();
    Ok((
        late <= 3 && (trouble || whole == batch.len()),
        format!(
            "{} requests with the part reached runners, in {} crashes, {late} of them later than \
             ContactMs after the fifth crash; {lost} of {} sound streams were lost in that time; \
             {whole} of {} requests of the batches were served whole",
            crashes.len(),
            ends.len(),
            sound.len(),
            batch.len()
        ),
    ))
}

/// Instances are killed and answers of the store are lost while a tenant uses up its budget.
fn case_budget(fleet: &mut Fleet, trouble: bool) -> Verdict {
    let mut prepaid = 120_000;
    fleet.publish_with(7, prepaid);
    for number in 0..6 {
        fleet.start_edge(ZONES[number % 3]);
    }
    for number in 0..6 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number % 3], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    if trouble {
        fleet.store.lost_every.store(3, Ordering::SeqCst);
        fleet.store.late_every.store(5, Ordering::SeqCst);
    }
    let mut streams = Vec::new();
    let start = unix_ms();
    for tick in 0..600_u64 {
        streams.push(fleet.send_stream(tick as usize % 6, "/plan/a", (COMMON_PART, 20, 20)));
        if trouble && tick % 60 == 59 {
            fleet.restart_edge((tick as usize / 60) % 6);
        }
        if tick == 300 {
            prepaid = 180_000;
            fleet.publish_with(9, prepaid);
        }
        sleep_until(start + 60 * (tick + 1));
    }
    let mut tokens = 0;
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for stream in streams {
        let (_, answer) = stream.recv().unwrap();
        *statuses.entry(answer.status).or_default() += 1;
        let events = event_ids(&answer.body).len() as u64;
        tokens += if events > 0 { 826 + events * 6 } else { 0 };
    }
    Ok((
        tokens <= prepaid,
        format!("{tokens} of {prepaid} tokens used; {statuses:?}"),
    ))
}

/// The settings name another rate of the store, and the instances are restarted in turn.
fn case_rates(fleet: &mut Fleet, trouble: bool) -> Verdict {
    let prepaid = 20_000;
    fleet.publish_with(7, prepaid);
    ZONES.into_iter().for_each(|zone| fleet.start_edge(zone));
    for number in 0..3 {
        let id = format!("i-m{number}");
        fleet.start_runner(&id, "model", ZONES[number], 50 + number as u8);
    }
    if !fleet.wait_ready() {
        return Err("not ready".to_owned());
    }
    let mut used = [0; TENANTS as usize];
    // Every tenant asks for more than it has paid for, before the restarts and after them.
    let spend = |fleet: &Fleet, used: &mut [u64]| {
        let mut streams = Vec::new();
        for round in 0..40 {
            for tenant in 0..TENANTS {
                fleet.tenant.store(tenant, Ordering::SeqCst);
                let stream = fleet.send_stream(round % 3, "/plan/a", (COMMON_PART, 20, 10));
                streams.push((tenant as usize, stream));
            }
            sleep_ms(250);
        }
        for (tenant, stream) in streams {
            let events = event_ids(&stream.recv().unwrap().1.body).len() as u64;
            used[tenant] += if events > 0 { 826 + events * 6 } else { 0 };
        }
    };
    spend(fleet, &mut used);
    fleet
        .record
        .add(format!("used before the restarts: {used:?}"));
    let before = used;
    if trouble {
        fleet
            .record
            .add("TROUBLE the settings name 3,200 writes a second instead of 400");
        fleet.writes_per_s.store(3_200, Ordering::SeqCst);
        for (number, zone) in ZONES.into_iter().enumerate() {
            fleet.write_settings(number, zone);
            fleet.edges[number].signal("HUP");
        }
    }
    for number in 0..3 {
        fleet.roll_edge(number);
        sleep_ms(1_500);
    }
    if !fleet.wait_ready() {
        return Err("not ready after the restarts".to_owned());
    }
    spend(fleet, &mut used);
    let excess = used.iter().filter(|used| **used > prepaid).count();
    Ok((
        excess == 0,
        format!(
            "{excess} of {TENANTS} tenants got more than their Prepaid of {prepaid}: {used:?} tokens, \
             {before:?} of them before the restarts"
        ),
    ))
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|verb| verb == "runner") {
        return run_runner(&arguments[1..]);
    }
    let [case, dir, edge] = &arguments[..] else {
        panic!("stand_in CASE DIR EDGE");
    };
    thread::spawn(|| {
        sleep_ms(110_000);
        for pid in PROCESSES.lock().unwrap().iter() {
            send_signal("KILL", *pid);
        }
        println!("NOT RUN: the time is over");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut fleet = Fleet::new(dir, edge);
    fleet.record.add(format!("case {case}, trouble={trouble}"));
    let verdict = match case.as_str() {
        "leaving" => case_leaving(&mut fleet, trouble),
        "suspended" => case_suspended(&mut fleet, trouble),
        "stale" => case_stale(&mut fleet, trouble),
        "poisoned" => case_poisoned(&mut fleet, trouble),
        "rates" => case_rates(&mut fleet, trouble),
        "budget" => case_budget(&mut fleet, trouble),
        "blocked" => case_blocked(&mut fleet, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Ok((true, text)) => (0, format!("HELD: {text}")),
        Ok((false, text)) => (1, format!("BROKEN: {text}")),
        Err(text) => (2, format!("NOT RUN: {text}")),
    };
    fleet.write_record(&text);
    if std::env::var("KEEP_LOGS").is_err() {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let _ = fs::remove_dir_all(temporary);
    }
    drop(fleet);
    std::process::exit(code);
}
