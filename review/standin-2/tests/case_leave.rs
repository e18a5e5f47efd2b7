//! Runners that leave finish their streams, which have no length and end with their channels: the
//! gateway takes them for broken off.

use std::{
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    edge::SIGHUP,
    http::{read_body, read_head, write_message},
    json::Json,
    runner::{Reply, STRIDE, token_count},
    world::{ENGINES, HOST, LOOK_PATH, ORDERS, PLAN_PATH, Tenant, World},
};

const ENGINES_COUNT: usize = 6;
/// Runners that leave: a third; a `release` of the site with this gap replaces 0.36.
const LEAVING: usize = 2;
const STREAMS: usize = 300;
/// One answer in this many of a runner with `unframed` answers has no length.
const UNFRAMED: usize = 20;
const EVENTS: u64 = 33;
const PAUSE: Duration = Duration::from_millis(110);
/// `DrainMs`, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_400);
/// Time between two runners that leave, as `gap_s` of a `release` of the site.
const GAP: Duration = Duration::from_millis(760);
const CLOSED_MAX: usize = 3;

struct Channel {
    stream: TcpStream,
    is_busy: Arc<AtomicBool>,
}

struct Engine {
    id: String,
    address: SocketAddr,
    has_unframed: bool,
    is_leaving: AtomicBool,
    is_closed: AtomicBool,
    channels: Mutex<Vec<Channel>>,
    count: AtomicUsize,
    /// Ids, events and framing of the answers that were written to their end.
    ran: Mutex<Vec<(String, u64, bool)>>,
    /// Ids of requests whose answer without a length was written to its end.
    whole: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    fn entry(&self, sequence: u64) -> Json {
        let state = match self.is_leaving.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        Json::object(vec![
            ("Service", Json::text(ENGINES)),
            ("Address", Json::text(&self.address.to_string())),
            ("Zone", Json::text("zone-a")),
            ("Version", Json::text("v1")),
            ("Slots", Json::number(64)),
            ("State", Json::text(state)),
            ("ColdLeftMs", Json::number(0)),
            ("Sequence", Json::number(sequence)),
            ("born", Json::number(1_790_000_000_000)),
        ])
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("option");
        while !self.is_closed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("option");
            let _ = stream.set_nodelay(true);
            let is_busy = Arc::new(AtomicBool::new(false));
            self.channels.lock().expect("channels").push(Channel {
                stream: stream.try_clone().expect("clone"),
                is_busy: Arc::clone(&is_busy),
            });
            let engine = Arc::clone(self);
            thread::spawn(move || engine.serve(stream, &is_busy));
        }
    }

    /// Takes no more channels, closes those without a request, and finishes the others.
    fn shut_down(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        for channel in self.channels.lock().expect("channels").drain(..) {
            if !channel.is_busy.load(Ordering::Relaxed) {
                let _ = channel.stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn serve(&self, stream: TcpStream, is_busy: &AtomicBool) {
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            is_busy.store(true, Ordering::Relaxed);
            read_body(&mut reader, &mut request, false);
            let id = request
                .header("cornelarch-attempt-id")
                .unwrap_or("")
                .to_owned();
            if request.header("cornelarch-expect-instance") != Some(&self.id) {
                let start = "HTTP/1.1 421 Misdirected Request";
                let _ = write_message(
                    &mut writer,
                    start,
                    &[("Cornelarch-Instance-Id", &self.id)],
                    b"",
                );
                is_busy.store(false, Ordering::Relaxed);
                continue;
            }
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let is_unframed = self.has_unframed && number % UNFRAMED == 0;
            let events = token_count(&request).map_or(0, |(_, answer)| answer / STRIDE);
            if self.answer(&mut writer, &id, events, is_unframed).is_err() {
                return;
            }
            let ran = (id.clone(), events, is_unframed);
            self.ran.lock().expect("ran").push(ran);
            if is_unframed {
                let _ = writer.shutdown(std::net::Shutdown::Write);
                self.whole.lock().expect("whole").push(id);
                return;
            }
            is_busy.store(false, Ordering::Relaxed);
            if self.is_closed.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, id: &str, events: u64, bare: bool) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCornelarch-Attempt-Id: {id}\r\n\
             Cornelarch-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        );
        if self.is_leaving.load(Ordering::Relaxed) {
            head += "Server-Leaving: 1\r\n";
        }
        head += match bare {
            true => "Connection: close\r\n\r\n",
            false => "Transfer-Encoding: chunked\r\n\r\n",
        };
        writer.write_all(head.as_bytes())?;
        for number in 1..=events {
            thread::sleep(PAUSE);
            let event = format!("id: {number}\ndata: {}\n\n", "tokens".repeat(8));
            let text = match bare {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            writer.write_all(text.as_bytes())?;
        }
        match bare {
            true => Ok(()),
            false => writer.write_all(b"0\r\n\r\n"),
        }
    }
}

/// Sends a stream on a kept channel. Returns its id, the events that came and whether it is complete.
fn ask(world: &World, front: SocketAddr, key: &str) -> (String, u64, bool) {
    let stream = TcpStream::connect(front).expect("channel");
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .expect("option");
    let mut writer = stream.try_clone().expect("clone");
    let mut reader = BufReader::new(stream);
    let first = world.new_id();
    let base = |id: &str| {
        vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Cornelarch-Attempt-Id".to_owned(), id.to_owned()),
            ("Cornelarch-Deadline-Ms".to_owned(), "4000".to_owned()),
            ("X-Api-Key".to_owned(), key.to_owned()),
        ]
    };
    let mut send = |start: &str, headers: &[(String, String)]| {
        let headers: Vec<_> = headers
            .iter()
            .map(|(k, v)| (k.as_str(), v.as_str()))
            .collect();
        write_message(&mut writer, start, &headers, b"").expect("request");
    };
    send(&format!("GET {LOOK_PATH} HTTP/1.1"), &base(&first));
    let mut answer = read_head(&mut reader).expect("answer").expect("answer");
    read_body(&mut reader, &mut answer, true);
    let id = world.new_id();
    let mut headers = base(&id);
    headers.push(("Cornelarch-Model".to_owned(), "m".to_owned()));
    headers.push((
        "Cornelarch-Token-Count".to_owned(),
        format!("100,{}", EVENTS * STRIDE),
    ));
    headers.push(("Cornelarch-Prefix-Hash".to_owned(), format!("{id}:100")));
    send(&format!("POST {PLAN_PATH} HTTP/1.1"), &headers);
    let answer = read_head(&mut reader).ok().flatten().map(|mut answer| {
        read_body(&mut reader, &mut answer, true);
        answer
    });
    let Some(answer) = answer else {
        return (id, 0, false);
    };
    let text: String = answer.body.iter().map(|byte| char::from(*byte)).collect();
    let is_refused = answer.status() != 200 && answer.is_complete;
    (
        id,
        text.matches("\n\n").count() as u64,
        answer.is_complete || is_refused,
    )
}

pub fn play(trouble: bool) -> bool {
    let world = Arc::new(World::start("9"));
    let tenant = Tenant::new("huka270", "xd9dnn2ctnfzs989anu6", 100_000_000);
    world.publish(7, std::slice::from_ref(&tenant));
    let orders = world.runner("i-51c07a3e", ORDERS, "zone-a");
    orders.start(&world.store, Arc::new(|_, _| Reply::Sound));
    let whole = Arc::new(Mutex::new(Vec::new()));
    let mut engines = Vec::new();
    for number in 0..ENGINES_COUNT {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let engine = Arc::new(Engine {
            id: format!("i-m{number}"),
            address: listener.local_addr().expect("address"),
            has_unframed: number < LEAVING,
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            channels: Mutex::default(),
            count: AtomicUsize::new(0),
            ran: Mutex::default(),
            whole: Arc::clone(&whole),
        });
        world.store.put("servers", &engine.id, engine.entry(1));
        let accepting = Arc::clone(&engine);
        thread::spawn(move || accepting.accept(&listener));
        engines.push(engine);
    }
    let spec = world.edge("edge-zone-a-1", "zone-a");
    let edge = spec.start();
    thread::sleep(Duration::from_secs(4));
    let front = spec.front();
    spec.write_settings();
    edge.signal(SIGHUP);
    world.note("SIGHUP; the settings are the same");
    let asking: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (world, key) = (Arc::clone(&world), tenant.key.clone());
            thread::sleep(Duration::from_millis(1));
            thread::spawn(move || ask(&world, front, &key))
        })
        .collect();
    thread::sleep(Duration::from_millis(150));
    if trouble {
        let leaving: Vec<_> = engines[..LEAVING]
            .iter()
            .enumerate()
            .map(|(turn, engine)| {
                let (world, engine) = (Arc::clone(&world), Arc::clone(engine));
                thread::spawn(move || {
                    thread::sleep(GAP * turn as u32);
                    engine.is_leaving.store(true, Ordering::Relaxed);
                    world.store.put("servers", &engine.id, engine.entry(2));
                    world.note(format!("{} reports draining", engine.id));
                    thread::sleep(SERVES_ON);
                    engine.shut_down();
                    world.note(format!("{} takes no more channels and finishes", engine.id));
                })
            })
            .collect();
        leaving
            .into_iter()
            .for_each(|leaving| leaving.join().expect("runner"));
    }
    let seen: Vec<_> = asking
        .into_iter()
        .map(|asking| asking.join().expect("client"))
        .collect();
    drop(edge);
    let whole = whole.lock().expect("whole").clone();
    let mut cut = 0;
    for engine in &engines {
        for (id, events, bare) in engine.ran.lock().expect("ran").iter() {
            let id_ran = &engine.id;
            world.note(format!(
                "{id}: run by {id_ran} to its end, {events} events, without a length {bare}"
            ));
        }
    }
    for (id, events, is_complete) in &seen {
        let is_whole = whole.contains(id);
        world.note(format!(
            "{id}: sent; answered with {events} events, complete {is_complete}"
        ));
        cut += usize::from(is_whole && !is_complete);
    }
    let other = seen
        .iter()
        .filter(|(id, _, complete)| !complete && !whole.contains(id))
        .count();
    world.conclude(format!(
        "{STREAMS} streams; {} without a length were finished by their runners, of these {cut} were \
         cut off at their clients; {other} others not complete",
        whole.len()
    ));
    // All requests were sent within `ConfigMs` after a SIGHUP and cut after it, so that one is enough for
    // the rule around planned work; the one for any time allows three.
    let is_broken = cut > CLOSED_MAX;
    world.conclude(if is_broken {
        "LOST broken"
    } else {
        "LOST held"
    });
    is_broken
}
