//! One deployment on loopback addresses, its clients, and the record of a play.

use std::{
    env,
    fmt::Display,
    fs,
    io::BufReader,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    edge::{EdgeSpec, free_ip},
    http::{Message, read_body, read_head, write_message},
    json::Json,
    runner::{Arrival, Arrivals, Reply, Runner},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const STREAM_PATH: &str = "/lohu930/2f";
/// Streams that may not be resumed.
pub const PLAN_PATH: &str = "/huvo414/2f";
pub const ORDER_PATH: &str = "/pule252/2f";
pub const LOOK_PATH: &str = "/puxa403/2f";
pub const ENGINES: &str = "huvo11a";
pub const ORDERS: &str = "wuno96b";

/// A customer of the deployment.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub key: String,
    pub prepaid: u64,
}

impl Tenant {
    pub fn new(name: &str, key: &str, prepaid: u64) -> Self {
        Self {
            name: name.to_owned(),
            key: key.to_owned(),
            prepaid,
        }
    }
}

pub struct World {
    pub store: Store,
    pub arrivals: Arrivals,
    pub folder: PathBuf,
    seed: u32,
    record: Mutex<fs::File>,
    began: Instant,
    next_id: AtomicU64,
    number: AtomicU64,
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// `None` if no whole head of an answer came.
    pub answer: Option<Message>,
}

impl Seen {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    /// Returns the whole events that the client got.
    pub fn events(&self) -> u64 {
        let body = self.answer.iter().flat_map(|answer| &answer.body);
        let text: String = body.map(|byte| char::from(*byte)).collect();
        text.matches("\n\n").count() as u64
    }
}

impl World {
    /// Starts the store. The record of the play is written to `review/CASE/record.txt`.
    pub fn start(case: &str) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH);
        let seed = nanos.map_or(1, |nanos| nanos.subsec_nanos()) ^ process::id();
        let folder = env::temp_dir().join(format!("cornelarch-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let record = fs::File::create(format!("review/{case}/record.txt")).expect("record");
        Self {
            store: Store::start(SocketAddr::from(([127, 0, 0, 1], 0))),
            arrivals: Arrivals::default(),
            folder,
            seed,
            record: Mutex::new(record),
            began: Instant::now(),
            next_id: AtomicU64::new(1),
            number: AtomicU64::new(0),
        }
    }

    pub fn note(&self, line: impl Display) {
        let at = self.began.elapsed().as_secs_f64();
        let mut record = self.record.lock().expect("record");
        writeln!(record, "{at:8.3} {line}").expect("record");
    }

    /// Writes to the record what reached the runners.
    pub fn note_runs(&self) {
        for arrival in self.arrivals.lock().expect("arrivals").iter() {
            let id = arrival.header("cornelarch-attempt-id");
            let Arrival {
                runner,
                has_run,
                events,
                ..
            } = arrival;
            let start = &arrival.request.start;
            self.note(format!(
                "{id}: {start} reached {runner}; run {has_run}, events {events}"
            ));
        }
    }

    /// Writes the outcome to the record and to standard output.
    pub fn conclude(&self, line: impl Display) {
        println!("{line}");
        self.note(line);
    }

    pub fn edge(&self, name: &str, zone: &str) -> EdgeSpec {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        EdgeSpec {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip: free_ip(self.seed, number as u8),
            store: self.store.address,
            seeds: Vec::new(),
            writes_per_s: 400,
            folder: self.folder.clone(),
        }
    }

    /// Returns a runner that is not started yet.
    pub fn runner(&self, id: &str, service: &str, zone: &str) -> Runner {
        Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work: Duration::from_millis(2),
            arrivals: Arc::clone(&self.arrivals),
        }
    }

    /// Starts sound runners: two engines and two of the order service.
    pub fn start_runners(&self) {
        for (id, service, zone) in [
            ("i-7f3a91c2", ENGINES, "zone-a"),
            ("i-02d9e6b4", ENGINES, "zone-b"),
            ("i-51c07a3e", ORDERS, "zone-a"),
            ("i-b8e2460d", ORDERS, "zone-b"),
        ] {
            let runner = self.runner(id, service, zone);
            runner.start(&self.store, Arc::new(|_, _| Reply::Sound));
        }
    }

    /// Writes a manifest with the time limits of the small sites.
    pub fn publish(&self, version: u64, tenants: &[Tenant]) {
        self.publish_limits(version, tenants, 800, 300);
    }

    /// Writes a manifest, as the operator does. The answer of the store is its ack. Calls of the order
    /// service may take `call_ms`, and a resumable stream pauses for `gap_ms` at most.
    pub fn publish_limits(&self, version: u64, tenants: &[Tenant], call_ms: u64, gap_ms: u64) {
        let route = |name: &str, path: &str, kind: &str, service: &str, timeout: u64, more| {
            let mut fields = vec![
                ("Name", Json::text(name)),
                ("Host", Json::text(HOST)),
                ("PathPrefix", Json::text(path)),
                ("RouteKind", Json::text(kind)),
                ("TimeoutMs", Json::number(timeout)),
                ("LatencySloMs", Json::number(300)),
                ("Priority", Json::number(1)),
                ("Service", Json::text(service)),
                ("Public", Json::Bool(false)),
            ];
            fields.extend::<Vec<(&str, Json)>>(more);
            Json::object(fields)
        };
        let stream = vec![
            ("Attempts", Json::number(2)),
            ("Sticky", Json::Bool(true)),
            ("Resumable", Json::Bool(true)),
            ("GapTargetMs", Json::number(gap_ms)),
        ];
        let once = vec![("Attempts", Json::number(1))];
        let twice = vec![("Attempts", Json::number(2))];
        let routes = vec![
            route(
                "r-lohu930",
                "/lohu930/",
                "streaming",
                ENGINES,
                12_000,
                stream,
            ),
            route(
                "r-huvo414",
                "/huvo414/",
                "streaming",
                ENGINES,
                4_000,
                vec![
                    ("Attempts", Json::number(1)),
                    ("Sticky", Json::Bool(true)),
                    ("Resumable", Json::Bool(false)),
                    ("GapTargetMs", Json::number(300)),
                ],
            ),
            route(
                "r-pule252",
                "/pule252/",
                "non_idempotent",
                ORDERS,
                call_ms,
                once,
            ),
            route(
                "r-puxa403",
                "/puxa403/",
                "idempotent",
                ORDERS,
                call_ms,
                twice,
            ),
        ];
        let engine = Json::object(vec![
            ("Slots", Json::number(64)),
            ("KvCapacity", Json::number(400_328)),
            ("Stride", Json::number(crate::runner::STRIDE)),
        ]);
        let service = |name, more: Vec<(&str, Json)>| {
            let mut fields = vec![
                ("Name", Json::text(name)),
                ("HealthPath", Json::text("/healthz")),
                ("ConnLimit", Json::number(370)),
                ("Protocol", Json::text("h1")),
                ("Tls", Json::Bool(false)),
            ];
            fields.extend(more);
            Json::object(fields)
        };
        let tenant = |tenant: &Tenant| {
            Json::object(vec![
                ("Name", Json::text(&tenant.name)),
                ("ApiKeys", Json::List(vec![Json::text(&tenant.key)])),
                ("Priority", Json::number(1)),
                ("Prepaid", Json::number(tenant.prepaid)),
            ])
        };
        let limits = Json::object(vec![
            ("HeaderBytes", Json::number(16_384)),
            ("BodyBytes", Json::number(4_194_304)),
            ("HeaderTimeoutMs", Json::number(3_000)),
            ("IdleTimeoutMs", Json::number(15_000)),
        ]);
        let manifest = Json::object(vec![
            ("Version", Json::number(version)),
            ("RouteTable", Json::List(routes)),
            (
                "Services",
                Json::List(vec![
                    service(ENGINES, vec![("Engine", engine)]),
                    service(ORDERS, Vec::new()),
                ]),
            ),
            ("Limits", limits),
            ("Tenants", Json::List(tenants.iter().map(tenant).collect())),
        ]);
        self.store.put("config", "main", manifest);
        self.note(format!("manifest {version} acknowledged"));
    }

    /// Returns a new id of a client attempt.
    pub fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", self.seed)
    }

    /// Sends a model request of one tenant on a new channel and reads its answer.
    pub fn ask(&self, front: SocketAddr, key: &str, tokens: (u64, u64)) -> (String, Seen) {
        let id = self.new_id();
        let (prompt, answer) = tokens;
        let count = format!("{prompt},{answer}");
        let parts = format!("{id}:{prompt}");
        let headers = [
            ("Host", HOST),
            ("Cornelarch-Attempt-Id", &id),
            ("Cornelarch-Model", "m"),
            ("Cornelarch-Token-Count", &count),
            ("Cornelarch-Prefix-Hash", &parts),
            ("Cornelarch-Deadline-Ms", "5000"),
            ("X-Api-Key", key),
        ];
        let start = format!("POST {STREAM_PATH} HTTP/1.1");
        self.note(format!("{id}: {start} sent to {front}, tokens {count}"));
        let seen = send(front, &start, &headers, b"{}", Duration::from_secs(6));
        self.note(format!(
            "{id}: answered {}, {} events",
            seen.status(),
            seen.events()
        ));
        (id, seen)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a request on a new channel and reads the answer, which may break off.
pub fn send(
    front: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Seen {
    let failed = || Seen { answer: None };
    let stream = match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(_) => return failed(),
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("clone");
    if write_message(&mut writer, start, headers, body).is_err() {
        return failed();
    }
    let mut reader = BufReader::new(stream);
    match read_head(&mut reader) {
        Ok(Some(mut answer)) => {
            read_body(&mut reader, &mut answer, true);
            Seen {
                answer: Some(answer),
            }
        }
        Ok(None) | Err(_) => failed(),
    }
}
