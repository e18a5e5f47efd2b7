//! Stand-in of the platform's store: objects by kind and name, revisions, conditional writes, watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head, write_message},
    json::Json,
};

/// Maximum number of entries of one list page.
const PAGE: usize = 500;
/// Maximum size of the entries of one list page, in bytes, unless it is a single one.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Revision, kind and event.
    events: Vec<(u64, String, Json)>,
}

/// Handle of a running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl StoreState {
    fn revision_of(&self, key: &(String, String)) -> u64 {
        let object = self.objects.get(key);
        let revision = object.and_then(|o| o.get("Metadata")?.get("Revision")?.as_u64());
        revision.unwrap_or(0)
    }

    fn write(&mut self, key: (String, String), spec: Json) -> Json {
        let known = self.objects.get(&key);
        if let Some(known) = known.filter(|known| known.get("Spec") == Some(&spec)) {
            return known.clone();
        }
        self.revision += 1;
        let object = Json::object(vec![
            (
                "Metadata",
                Json::object(vec![
                    ("Name", Json::text(&key.1)),
                    ("Revision", Json::number(self.revision)),
                    ("Created", Json::number(1)),
                    ("Finalizers", Json::List(Vec::new())),
                    ("DeletionPending", Json::Bool(false)),
                ]),
            ),
            ("Spec", spec),
            ("Status", Json::Null),
        ]);
        self.record(&key, object.clone());
        self.objects.insert(key, object.clone());
        object
    }

    fn record(&mut self, key: &(String, String), object: Json) {
        let event = Json::object(vec![("Tombstone", Json::Bool(false)), ("Object", object)]);
        self.events.push((self.revision, key.0.clone(), event));
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("bind store");
        let store = Self {
            address: listener.local_addr().expect("address"),
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a runner does, without a condition.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let (state, changed) = &*self.state;
        let key = (kind.to_owned(), name.to_owned());
        state.lock().expect("store").write(key, spec);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, false);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (status, answer) = self.answer(request.method(), request.target(), &body);
            let start = format!("HTTP/1.1 {status} x");
            let headers = [("Content-Type", "application/json")];
            if write_message(&mut writer, &start, &headers, answer.write().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, Json) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, Json::Null);
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        match (method, name) {
            ("GET", None) => match field("Watch").and_then(|text| text.parse().ok()) {
                Some(revision) => {
                    let wait = field("WaitMs").and_then(|text| text.parse().ok());
                    (200, self.watch(kind, revision, wait.unwrap_or(0)))
                }
                None => (200, self.list(kind, &decode(field("After").unwrap_or("")))),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().expect("store");
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.clone()),
                    None => (404, Json::Null),
                }
            }
            ("POST" | "PUT", _) => self.write(kind, name, body),
            _ => (404, Json::Null),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let state = self.state.0.lock().expect("store");
        let objects = state.objects.iter();
        let rest = objects.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let mut rest = rest.map(|(_, object)| object).peekable();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some(object) = rest.peek() {
            bytes += object.write().len();
            let is_full = entries.len() == PAGE || bytes > PAGE_BYTES;
            if is_full && !entries.is_empty() {
                break;
            }
            entries.extend(rest.next().cloned());
        }
        Json::object(vec![
            ("Entries", Json::List(entries)),
            ("HasMore", Json::Bool(rest.peek().is_some())),
            ("AsOf", Json::number(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> Json {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        loop {
            let events = state.events.iter();
            let events = events.filter(|(at, k, _)| *at > revision && k == kind);
            let events: Vec<Json> = events.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Json::object(vec![
                    ("events", Json::List(events)),
                    ("AsOf", Json::number(state.revision)),
                ]);
            }
            state = changed.wait_timeout(state, left).expect("store").0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, Json) {
        let Some(object) = Json::read(body) else {
            return (400, Json::Null);
        };
        let metadata = object.get("Metadata");
        let stated = metadata.and_then(|m| m.get("Name")?.as_text());
        let Some(name) = name.or(stated) else {
            return (400, Json::Null);
        };
        let expected = metadata.and_then(|m| m.get("Revision")?.as_u64());
        let key = (kind.to_owned(), name.to_owned());
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        let known = state.objects.get(&key).cloned();
        let is_create = stated.is_some() && expected.is_none();
        match known {
            Some(known) if is_create => return (409, known),
            Some(known) if expected.is_some_and(|e| e != state.revision_of(&key)) => {
                return (409, known);
            }
            None if !is_create => return (404, Json::Null),
            _ => {}
        }
        let spec = object.get("Spec").cloned().unwrap_or(Json::Null);
        let written = state.write(key, spec);
        changed.notify_all();
        (200, written)
    }
}

/// Decodes the escapes of a query value.
fn decode(text: &str) -> String {
    let mut rest = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = rest.next() {
        let escape = || {
            let hex: Vec<u8> = rest.clone().take(2).collect();
            u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()
        };
        match (byte, escape()) {
            (b'%', Some(value)) => {
                decoded.push(value);
                rest.nth(1);
            }
            _ => decoded.push(byte),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
