//! Another writer puts large entries beside those of the runners. After a kill of all processes no
//! instance becomes ready again, and each takes more memory than its machine has.

use std::{thread, time::Duration, time::Instant};

use crate::{
    edge::{Edge, SIGKILL},
    json::Json,
    world::{Tenant, World},
};

/// Size of an entry of the other writer, in bytes. `ValueBytes` is 1,048,576.
const ENTRY_BYTES: usize = 700_000;
const ENTRIES: usize = 2;
/// `RecoverS`.
const RECOVER: Duration = Duration::from_secs(12);
const REQUESTS: usize = 40;
/// `Limits.MemoryMb` of the instances.
const MEMORY_MB: u64 = 195;

/// Sends requests to the instances in turn, as the platform does when none of them is in rotation, and
/// returns how many were served.
fn ask_all(world: &World, edges: &[Edge], tenant: &Tenant) -> usize {
    let served = (0..REQUESTS).filter(|turn| {
        let front = edges[turn % edges.len()].spec.front();
        let (_, seen) = world.ask(front, &tenant.key, (100, 60));
        thread::sleep(Duration::from_millis(100));
        seen.status() == 200 && seen.events() == 10
    });
    served.count()
}

pub fn play(trouble: bool) -> bool {
    let world = World::start("8");
    let tenant = Tenant::new("huka270", "xd9dnn2ctnfzs989anu6", 100_000_000);
    world.publish(7, std::slice::from_ref(&tenant));
    world.start_runners();
    let mut specs = vec![
        world.edge("edge-zone-a-1", "zone-a"),
        world.edge("edge-zone-b-1", "zone-b"),
        world.edge("edge-zone-c-1", "zone-c"),
    ];
    let seeds: Vec<_> = specs.iter().map(|spec| spec.control()).collect();
    specs.iter_mut().for_each(|spec| spec.seeds = seeds.clone());
    let mut edges: Vec<Edge> = specs.iter().map(|spec| spec.spawn()).collect();
    for edge in &edges {
        assert!(
            edge.wait_ready(Duration::from_secs(15)),
            "an instance is not ready"
        );
    }
    thread::sleep(Duration::from_secs(4));
    for number in 1..=ENTRIES {
        let name = format!("{}-{number}", if trouble { "r&d" } else { "rnd" });
        let entry = Json::object(vec![
            ("Service", Json::Number("5".to_owned())),
            ("Note", Json::text(&"z".repeat(ENTRY_BYTES))),
        ]);
        world.store.put("servers", &name, entry);
        world.note(format!(
            "another writer puts servers/{name}, {ENTRY_BYTES} bytes"
        ));
    }
    thread::sleep(Duration::from_secs(3));
    let before = ask_all(&world, &edges, &tenant);
    world.note("SIGKILL of all processes");
    edges.iter().for_each(|edge| edge.signal(SIGKILL));
    edges
        .iter_mut()
        .for_each(|edge| edge.wait_ended(Duration::from_secs(2)));
    thread::sleep(Duration::from_millis(560));
    edges = specs.iter().map(|spec| spec.spawn()).collect();
    world.note("all processes are started again");
    let back = Instant::now();
    let mut most = vec![0; edges.len()];
    let mut killed = vec![0; edges.len()];
    while back.elapsed() < RECOVER {
        thread::sleep(Duration::from_millis(500));
        for (number, edge) in edges.iter_mut().enumerate() {
            let held = edge.memory_mb();
            most[number] = most[number].max(held);
            // The platform kills a process that exceeds the memory of its machine, and starts it again.
            if held > MEMORY_MB {
                killed[number] += 1;
                world.note(format!("{} holds {held} MB and is killed", edge.spec.name));
                edge.signal(SIGKILL);
                edge.wait_ended(Duration::from_secs(2));
                *edge = edge.spec.spawn();
            }
        }
    }
    world.note(format!("peak memory of the instances: {most:?} MB"));
    let after = ask_all(&world, &edges, &tenant);
    drop(edges);
    world.note_runs();
    world.conclude(format!(
        "{before} of {REQUESTS} requests served before the final fault, {after} of {REQUESTS} later \
         than {} s after it; at most {most:?} MB held by the instances, killed for more than \
         {MEMORY_MB} MB {killed:?} times",
        RECOVER.as_secs()
    ));
    let is_broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
    world.conclude(if is_broken {
        "RECOVER broken"
    } else {
        "RECOVER held"
    });
    is_broken
}
