//! Memory and CPU cost of the member table.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use cornelarch_core::{
    base::{DomainName, HolderId, InstanceName, MonotonicTime},
    membership::{
        MemberEffect, MemberEvent, MemberMessage, MemberOptions, MemberRecord, MemberState,
        MemberTable, PingBody,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{SlopeRow, memory::measure_growth};

/// Number of members in a present-day fleet and at the target size.
const MEMBER_COUNTS: [u32; 2] = [9, 350];
/// Tables per memory measurement. A single table is too small relative to the allocator's pages.
const TABLE_COUNT: u32 = 200;
/// Number of failure domains at the target size.
const DOMAIN_COUNT: u32 = 12;
/// Virtual time over which ticks are measured.
const SIMULATED_TIME: Duration = Duration::from_secs(60);
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Measures memory per member and CPU time per second of membership.
pub(super) fn measure(seed: u64) -> Vec<SlopeRow> {
    let memory = MEMBER_COUNTS.map(|members| {
        let build = || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let tables = (0..TABLE_COUNT).map(|_| build_table(members, &mut rng));
            tables.collect::<Vec<_>>()
        };
        measure_growth(build) / f64::from(TABLE_COUNT)
    });
    let time = MEMBER_COUNTS.map(|members| measure_ticks(members, seed));
    let row = |name, unit, costs: [f64; 2]| SlopeRow {
        name,
        unit,
        small: (f64::from(MEMBER_COUNTS[0]), costs[0]),
        large: (f64::from(MEMBER_COUNTS[1]), costs[1]),
    };
    vec![
        row("member table memory", "bytes/member", memory),
        row(
            "membership, one second, every ping answered",
            "us/member",
            time,
        ),
    ]
}

fn build_record(number: u32) -> MemberRecord {
    MemberRecord {
        holder: HolderId::new(
            InstanceName::from(format!("router-{number:03}")),
            u64::from(number),
        ),
        domain: DomainName::from(format!("domain-{}", number % DOMAIN_COUNT)),
        address: format!("127.0.0.1:{}", 20_000 + number),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn build_ack(number: u32, nonce: u64) -> MemberMessage {
    MemberMessage::Ack(PingBody {
        nonce,
        sender: build_record(number),
        config_version: 1,
        load_permille: 500,
        updates: Vec::new(),
    })
}

fn build_table(members: u32, rng: &mut ChaCha8Rng) -> MemberTable {
    let own = build_record(0);
    let mut table = MemberTable::new(
        own.holder.clone(),
        own.domain.clone(),
        own.address.clone(),
        Vec::new(),
        MemberOptions::default(),
    );
    let now = MonotonicTime::from_millis(1);
    for number in 1..members {
        let message = build_ack(number, 0);
        let from = build_record(number).holder;
        // The effects of these first contacts are discarded.
        let _ = table.handle(MemberEvent::Received { from, message }, now, rng);
    }
    table
}

/// Returns the CPU time, in microseconds, that the table needs per second of virtual time.
fn measure_ticks(members: u32, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = build_table(members, &mut rng);
    let records: Vec<MemberRecord> = (0..members).map(build_record).collect();
    let mut now = MonotonicTime::from_millis(1);
    let end = now + SIMULATED_TIME;
    let start = Instant::now();
    while now < end {
        now = now + TICK_PERIOD;
        for effect in table.handle(MemberEvent::Tick, now, &mut rng) {
            let MemberEffect::Send {
                address,
                message: MemberMessage::Ping(ping),
                ..
            } = effect
            else {
                continue;
            };
            let Some(target) = records.iter().position(|record| record.address == address) else {
                continue;
            };
            let number = u32::try_from(target).unwrap_or_default();
            let from = records[target].holder.clone();
            let message = build_ack(number, ping.nonce);
            black_box(table.handle(MemberEvent::Received { from, message }, now, &mut rng));
        }
    }
    start.elapsed().as_micros() as f64 / SIMULATED_TIME.as_secs_f64()
}
