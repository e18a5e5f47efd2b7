//! A new manifest adds a customer whose name is not ASCII: its requests are not charged.

use std::{thread, time::Duration};

use crate::world::{Tenant, World};

const PROMPT: u64 = 100;
const ANSWER: u64 = 60;
const PREPAID: u64 = 3_200;
const REQUESTS: usize = 60;

pub fn play(trouble: bool) -> bool {
    let world = World::start("6");
    let first = Tenant::new("Quietud", "xd9dnn2ctnfzs989anu0", 1_000_000);
    let name = if trouble { "Régie" } else { "Regie" };
    let second = Tenant::new(name, "wsjnbanfqasnmgkcuyj8", PREPAID);
    world.publish(7, std::slice::from_ref(&first));
    world.start_runners();
    let spec = world.edge("edge-zone-a-1", "zone-a");
    let edge = spec.start();
    let (_, seen) = world.ask(spec.front(), &first.key, (PROMPT, ANSWER));
    world.note(format!("first customer: status {}", seen.status()));
    world.publish(9, &[first, second.clone()]);
    thread::sleep(Duration::from_secs(3));
    let (mut tokens, mut answered, mut refused) = (0, 0, 0);
    for _ in 0..REQUESTS {
        let (_, seen) = world.ask(spec.front(), &second.key, (PROMPT, ANSWER));
        match seen.status() {
            200 => {
                answered += 1;
                tokens += PROMPT + seen.events() * crate::runner::STRIDE;
            }
            _ => refused += 1,
        }
    }
    let arrivals = world.arrivals.lock().expect("arrivals").clone();
    // Header values are kept as one char for each byte.
    let names: Vec<String> = arrivals
        .iter()
        .map(|arrival| {
            let text = arrival.header("cornelarch-tenant");
            let bytes: Vec<u8> = text.chars().map(|c| c as u8).collect();
            String::from_utf8_lossy(&bytes).into_owned()
        })
        .collect();
    let wrong = names[1..]
        .iter()
        .filter(|text| **text != second.name)
        .count();
    drop(edge);
    world.note_runs();
    world.conclude(format!(
        "{name}: {answered} requests answered, {refused} refused, {tokens} of {PREPAID} prepaid \
         tokens delivered, {wrong} runs with another Cornelarch-Tenant (last: {:?})",
        names.last().map_or("", String::as_str)
    ));
    let is_broken = tokens > PREPAID || wrong > 0;
    world.conclude(if is_broken {
        "rule broken"
    } else {
        "rules held"
    });
    is_broken
}
