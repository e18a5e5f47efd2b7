//! Clients begin to read their answers after some seconds: their channels are closed instead.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    edge::SIGHUP,
    http::{read_body, read_head, write_message},
    runner::{ENGINE_EVENTS_MAX, Reply, STRIDE},
    socket,
    world::{ENGINES, HOST, LOOK_PATH, ORDER_PATH, ORDERS, STREAM_PATH, Tenant, World},
};

/// Time for which clients do not read, well below their time limit.
const PAUSE: Duration = Duration::from_millis(3_500);
/// `GapTargetMs` of the streams. Clients abandon one after a gap of eight times this, 4 s.
const GAP_MS: u64 = 500;
const LIMIT_MS: u64 = 12_000;
/// Channels of each kind in each phase.
const CHANNELS: usize = 6;
/// The rule allows three.
const CLOSED_MAX: usize = 3;
/// Receive buffer of clients with a small window, in bytes.
const SMALL_BUFFER: i32 = 4_096;
/// Body of the answer to an order, in bytes.
const ORDER_BYTES: usize = 400_000;

/// A request on a kept channel.
#[derive(Clone, Copy)]
enum Asked {
    /// An answer as on the sheet of the site, read by a client with a small window.
    Stream,
    /// A larger answer, read by a client with the usual buffers.
    Order,
}

/// Sends one request on a kept channel and reads its answer, after a pause if `is_slow`. Returns
/// whether a complete answer came.
fn ask(world: &World, front: SocketAddr, key: &str, asked: Asked, is_slow: bool) -> bool {
    let buffer = match asked {
        Asked::Stream => Some(SMALL_BUFFER),
        Asked::Order => None,
    };
    let stream = socket::open(front, buffer).expect("channel");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("time limit");
    stream.set_nodelay(true).expect("option");
    let mut writer = stream.try_clone().expect("clone");
    let mut reader = BufReader::new(stream);
    let first = world.new_id();
    send(
        &mut writer,
        &format!("GET {LOOK_PATH} HTTP/1.1"),
        &first,
        key,
        &[],
    );
    let mut answer = read_head(&mut reader).expect("answer").expect("answer");
    read_body(&mut reader, &mut answer, true);
    assert!(
        answer.status() == 200 && answer.is_complete,
        "channel is not kept"
    );
    let id = world.new_id();
    let tokens = format!("100,{}", ENGINE_EVENTS_MAX * STRIDE);
    let parts = format!("{id}:100");
    let (start, more) = match asked {
        Asked::Stream => (
            format!("POST {STREAM_PATH} HTTP/1.1"),
            vec![
                ("Cornelarch-Model", "m"),
                ("Cornelarch-Token-Count", tokens.as_str()),
                ("Cornelarch-Prefix-Hash", parts.as_str()),
            ],
        ),
        Asked::Order => (format!("POST {ORDER_PATH} HTTP/1.1"), Vec::new()),
    };
    send(&mut writer, &start, &id, key, &more);
    world.note(format!("{id}: {start} sent on a kept channel"));
    if is_slow {
        thread::sleep(PAUSE);
    }
    let answer = read_head(&mut reader).ok().flatten().map(|mut answer| {
        read_body(&mut reader, &mut answer, true);
        answer
    });
    let (status, bytes, is_complete) = match &answer {
        Some(answer) => (answer.status(), answer.body.len(), answer.is_complete),
        None => (0, 0, false),
    };
    let arrivals = world.arrivals.lock().expect("arrivals");
    let ran = arrivals
        .iter()
        .any(|a| a.has_run && a.header("cornelarch-attempt-id") == id);
    drop(arrivals);
    world.note(format!(
        "{id}: status {status}, {bytes} bytes of the body, complete {is_complete}; ran at a runner {ran}"
    ));
    is_complete || !ran
}

fn send(writer: &mut TcpStream, start: &str, id: &str, key: &str, more: &[(&str, &str)]) {
    let limit = LIMIT_MS.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Cornelarch-Attempt-Id", id),
        ("Cornelarch-Deadline-Ms", limit.as_str()),
        ("X-Api-Key", key),
    ];
    headers.extend_from_slice(more);
    write_message(writer, start, &headers, b"").expect("request");
}

/// Returns how many channels ended without a complete answer, of streams and of orders.
fn phase(world: &Arc<World>, front: SocketAddr, key: &str, is_slow: bool) -> [usize; 2] {
    let asking = [Asked::Stream, Asked::Order].map(|asked| {
        let ask_one = |_| {
            let (world, key) = (Arc::clone(world), key.to_owned());
            thread::spawn(move || ask(&world, front, &key, asked, is_slow))
        };
        (0..CHANNELS).map(ask_one).collect::<Vec<_>>()
    });
    asking.map(|asking| {
        let answered = asking
            .into_iter()
            .map(|asking| asking.join().expect("client"));
        answered.filter(|is_answered| !is_answered).count()
    })
}

pub fn play(trouble: bool) -> bool {
    let world = Arc::new(World::start("7"));
    let tenant = Tenant::new("huka270", "xd9dnn2ctnfzs989anu6", 100_000_000);
    world.publish_limits(7, std::slice::from_ref(&tenant), LIMIT_MS, GAP_MS);
    let engine = world.runner("i-7f3a91c2", ENGINES, "zone-a");
    engine.start(&world.store, Arc::new(|_, _| Reply::Sound));
    let orders = world.runner("i-51c07a3e", ORDERS, "zone-a");
    orders.start(
        &world.store,
        Arc::new(|request, writer| {
            if request.method() == "GET" {
                return Reply::Sound;
            }
            let keep = crate::runner::write_answer(request, writer, ORDER_BYTES).is_ok();
            Reply::Written {
                has_run: true,
                keep,
            }
        }),
    );
    let spec = world.edge("edge-zone-a-1", "zone-a");
    let edge = spec.start();
    // In touch from here on.
    thread::sleep(Duration::from_secs(4));
    world.note("first phase: no planned work");
    let calm = phase(&world, spec.front(), &tenant.key, trouble);
    spec.write_settings();
    edge.signal(SIGHUP);
    world.note("second phase: SIGHUP; the settings are the same");
    let planned = phase(&world, spec.front(), &tenant.key, trouble);
    drop(edge);
    world.note_runs();
    for (name, closed) in [("without planned work", calm), ("after a SIGHUP", planned)] {
        world.conclude(format!(
            "{name}: {} of {CHANNELS} streams and {} of {CHANNELS} orders that had run ended \
             without a complete answer",
            closed[0], closed[1]
        ));
    }
    let is_broken = calm.iter().sum::<usize>() > CLOSED_MAX || planned.iter().sum::<usize>() > 0;
    world.conclude(if is_broken {
        "LOST broken"
    } else {
        "LOST held"
    });
    is_broken
}
