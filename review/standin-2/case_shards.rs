//! The settings change the store's write rate, and the instances are restarted one after the other:
//! a customer whose budget is used up gets it once more.

use std::{thread, time::Duration};

use crate::{
    edge::{Edge, SIGTERM},
    world::{Tenant, World},
};

const PROMPT: u64 = 100;
const ANSWER: u64 = 60;
const PREPAID: u64 = 8_000;
/// Rates of the small and of the large deployment.
const WRITES_BEFORE: u64 = 400;
const WRITES_AFTER: u64 = 3_200;

/// Asks until a customer is refused four times in a row, and returns the tokens it got: those of the
/// prompt once for each answered request, and those of the events delivered.
fn use_up(world: &World, edges: &[Edge], tenant: &Tenant) -> u64 {
    let (mut tokens, mut refused, mut answered) = (0, 0, 0);
    let mut last = 0;
    for turn in 0..400 {
        let front = edges[turn % edges.len()].spec.front();
        let (_, seen) = world.ask(front, &tenant.key, (PROMPT, ANSWER));
        match seen.status() {
            200 => {
                tokens += PROMPT + seen.events() * crate::runner::STRIDE;
                answered += 1;
                refused = 0;
            }
            status => {
                last = status;
                refused += 1;
                thread::sleep(Duration::from_millis(100));
            }
        }
        if refused == 4 {
            break;
        }
    }
    world.note(format!(
        "{}: {answered} requests answered, {tokens} tokens delivered, then refused with {last}",
        tenant.name
    ));
    tokens
}

pub fn play(trouble: bool) -> bool {
    let world = World::start("8");
    let tenants: Vec<Tenant> = (0..6)
        .map(|n| {
            Tenant::new(
                &format!("huka27{n}"),
                &format!("xd9dnn2ctnfzs989anu{n}"),
                PREPAID,
            )
        })
        .collect();
    world.publish(7, &tenants);
    world.start_runners();
    let mut specs = vec![
        world.edge("edge-zone-a-1", "zone-a"),
        world.edge("edge-zone-b-1", "zone-b"),
    ];
    let seeds: Vec<_> = specs.iter().map(|spec| spec.control()).collect();
    for spec in &mut specs {
        spec.seeds = seeds.clone();
        spec.writes_per_s = WRITES_BEFORE;
    }
    let mut edges: Vec<Edge> = specs.iter().map(|spec| spec.spawn()).collect();
    for edge in &edges {
        assert!(
            edge.wait_ready(Duration::from_secs(15)),
            "an instance is not ready"
        );
    }
    thread::sleep(Duration::from_secs(4));
    world.note("first use of all budgets");
    let mut used: Vec<u64> = tenants.iter().map(|t| use_up(&world, &edges, t)).collect();
    // Spent tokens are reported within two seconds.
    thread::sleep(Duration::from_secs(3));
    for (edge, spec) in edges.iter_mut().zip(&mut specs) {
        if trouble {
            spec.writes_per_s = WRITES_AFTER;
        }
        world.note(format!(
            "{}: SIGTERM, then a start with Platform.WritesPerS={}",
            spec.name, spec.writes_per_s
        ));
        edge.signal(SIGTERM);
        edge.wait_ended(Duration::from_secs(9));
        *edge = spec.start();
    }
    thread::sleep(Duration::from_secs(4));
    world.note("second use of all budgets");
    for (used, tenant) in used.iter_mut().zip(&tenants) {
        *used += use_up(&world, &edges, tenant);
    }
    for (name, value) in world.store.entries("ledger") {
        let budgets = value.get("budgets").map(|b| b.write());
        world.note(format!("ledger/{name}: {}", budgets.unwrap_or_default()));
    }
    let mut is_broken = false;
    for (tenant, used) in tenants.iter().zip(&used) {
        let over = *used > tenant.prepaid;
        is_broken |= over;
        world.conclude(format!(
            "{}: {used} of {} prepaid tokens delivered{}",
            tenant.name,
            tenant.prepaid,
            if over { ", too many" } else { "" }
        ));
    }
    world.conclude(if is_broken {
        "BUDGET broken"
    } else {
        "BUDGET held"
    });
    is_broken
}
