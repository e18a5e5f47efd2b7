//! Instances that place requests on engines of several domains, in virtual time.

mod engine;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    placement::{
        FlightKey, FlightOutcome, LoadFigures, PlacementOptions, PlacementRequest, PlacementTable,
        PromptPart, RequestSize, UpstreamRecord,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use engine::EngineModel;
use engine::{Engine, EngineJob};

/// Time in seconds for a message within a domain and between domains.
const HOP_S: (f64, f64) = (0.001, 0.0045);
/// One of this many engines is unreachable in an outage.
const DARK_STEP: usize = 8;
/// Number of large parts that all prompts of a kind share.
const COMMON_PARTS: u64 = 4;

fn time(seconds: f64) -> MonotonicTime {
    MonotonicTime::from_micros((seconds * 1e6) as u64)
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct RequestKind {
    /// Requests a second of all domains.
    pub(crate) rate: f64,
    /// Tokens of the part that all share, of that of a session, and of the request.
    pub(crate) tokens: [f64; 3],
    pub(crate) sessions: u64,
    /// Mean and largest number of answer tokens.
    pub(crate) answer: (f64, f64),
    /// Longest time in seconds to the first token of an answer in time.
    pub(crate) objective_s: f64,
}

/// A fleet and its load.
#[derive(Clone, Debug)]
pub(crate) struct FleetLoad {
    pub(crate) domains: usize,
    /// Instances of a domain.
    pub(crate) instances: usize,
    /// Engines of each domain.
    pub(crate) engines: Vec<usize>,
    pub(crate) model: EngineModel,
    pub(crate) kinds: Vec<RequestKind>,
    /// Amplitude, period in seconds and phase between domains of the demand.
    pub(crate) wave: (f64, f64, f64),
    pub(crate) length_s: f64,
    /// Time in seconds from and until which every eighth engine is unreachable.
    pub(crate) dark: (f64, f64),
    /// Whether instances tell the peers of their domain which engines fail.
    pub(crate) has_news: bool,
}

/// What the callers of a kind got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindResult {
    pub(crate) sent: u32,
    pub(crate) refused: u32,
    /// Attempts at unreachable engines.
    pub(crate) unreached: u32,
    pub(crate) late_starts: u32,
    pub(crate) late_pauses: u32,
    /// Requests served outside their domain.
    pub(crate) remote: u32,
    /// Shared tokens that engines have read although they had been read elsewhere.
    pub(crate) read_again: u64,
}

impl KindResult {
    /// Adds another result.
    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.refused += other.refused;
        self.unreached += other.unreached;
        self.late_starts += other.late_starts;
        self.late_pauses += other.late_pauses;
        self.remote += other.remote;
        self.read_again += other.read_again;
    }

    /// Returns the share of the requests that were answered in time.
    pub(crate) fn in_time(&self) -> f64 {
        let late = self.refused + self.unreached + self.late_starts + self.late_pauses;
        1.0 - f64::from(late) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    Arrival { domain: usize, kind: usize },
    Step { engine: usize },
    First { request: usize },
    End { request: usize },
    News,
}

#[derive(Clone, Copy, Debug)]
struct TimedEvent(u64, u64, FleetEvent);

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct FleetRequest {
    kind: usize,
    instance: usize,
    flight: FlightKey,
    sent_s: f64,
    hop_s: f64,
    is_late: bool,
    load: (u32, u32, f64),
}

/// A fleet in virtual time.
pub(crate) struct Fleet {
    load: FleetLoad,
    tables: Vec<PlacementTable>,
    engines: Vec<Engine>,
    domains: Vec<usize>,
    requests: Vec<FleetRequest>,
    results: Vec<KindResult>,
    known: std::collections::HashSet<u64>,
    events: BinaryHeap<Reverse<TimedEvent>>,
    generator: ChaCha8Rng,
    now_s: f64,
    sequence: u64,
}

impl Fleet {
    pub(crate) fn new(load: FleetLoad, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let domains = (0..load.domains).flat_map(|domain| vec![domain; load.engines[domain]]);
        let domains: Vec<usize> = domains.collect();
        let name = |domain: usize| DomainName::new(&format!("d{domain}"));
        let table = |instance: usize| {
            let options = PlacementOptions {
                seed: generator.random(),
                ..PlacementOptions::new(name(instance / load.instances))
            };
            let mut table = PlacementTable::new(options);
            for (number, domain) in domains.iter().enumerate() {
                table.apply(UpstreamRecord {
                    name: UpstreamName::new(&format!("u{number}")),
                    service: ServiceName::new("s"),
                    address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
                    domain: name(*domain),
                    slots: load.model.slots as u32,
                    is_leaving: false,
                    started_unix_ms: None,
                });
            }
            table
        };
        let mut tables: Vec<PlacementTable> =
            (0..load.domains * load.instances).map(table).collect();
        let instances = tables.len();
        tables
            .iter_mut()
            .for_each(|table| table.set_instances(instances));
        let speeds = &load.model.speeds;
        let engines = (0..domains.len()).map(|n| Engine::new(speeds[n % speeds.len()]));
        let mut fleet = Self {
            tables,
            engines: engines.collect(),
            domains,
            requests: Vec::new(),
            results: vec![KindResult::default(); load.kinds.len()],
            known: std::collections::HashSet::new(),
            events: BinaryHeap::new(),
            generator,
            now_s: 0.0,
            sequence: 0,
            load,
        };
        fleet.schedule(0.2, FleetEvent::News);
        for domain in 0..fleet.load.domains {
            for kind in 0..fleet.load.kinds.len() {
                fleet.schedule(0.0, FleetEvent::Arrival { domain, kind });
            }
        }
        fleet
    }

    /// Plays the load and returns what the callers of each kind got.
    pub(crate) fn play(mut self) -> Vec<KindResult> {
        while let Some(Reverse(TimedEvent(at_us, _, event))) = self.events.pop() {
            self.now_s = at_us as f64 / 1e6;
            match event {
                FleetEvent::Arrival { domain, kind } => self.arrive(domain, kind),
                FleetEvent::Step { engine } => self.step(engine),
                FleetEvent::First { request } => self.record_first(request),
                FleetEvent::End { request } => self.record_end(request),
                FleetEvent::News => self.exchange_news(),
            }
        }
        self.results
    }

    fn schedule(&mut self, delay_s: f64, event: FleetEvent) {
        self.sequence += 1;
        let at_us = ((self.now_s + delay_s) * 1e6) as u64;
        let event = TimedEvent(at_us, self.sequence, event);
        self.events.push(Reverse(event));
    }

    fn sample_tokens(&mut self, mean: f64) -> u64 {
        // Log-normal with a spread of one around the mean.
        let normal: f64 = (0..12).map(|_| self.generator.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (normal * 0.8 - 0.32).exp()).max(1.0) as u64
    }

    fn arrive(&mut self, domain: usize, kind: usize) {
        if self.now_s > self.load.length_s {
            return;
        }
        let (swing, period_s, phase) = self.load.wave;
        let angle = self.now_s / period_s + phase * domain as f64;
        let factor = 1.0 + swing * (angle * std::f64::consts::TAU).sin();
        let rate = self.load.kinds[kind].rate * factor / self.load.domains as f64;
        let gap_s = -self.generator.random::<f64>().max(1e-9).ln() / rate;
        self.schedule(gap_s, FleetEvent::Arrival { domain, kind });
        let member = self.generator.random_range(0..self.load.instances);
        self.place(domain * self.load.instances + member, kind);
    }

    fn sample_size(&mut self, kind: usize) -> RequestSize {
        let RequestKind {
            tokens,
            sessions,
            answer,
            ..
        } = self.load.kinds[kind].clone();
        let session = self.generator.random_range(0..sessions);
        let own = self.sample_tokens(tokens[2]);
        let answer = (self.sample_tokens(answer.0) as f64).min(answer.1);
        let part = |digest, tokens| PromptPart { digest, tokens };
        let base = (kind as u64 + 1) << 40;
        let parts = vec![
            part(base + session % COMMON_PARTS, tokens[0] as u32),
            part(base + 1_000 + session, tokens[1] as u32),
            part(
                base + 1_000_000 + self.requests.len() as u64,
                own.min(20_000) as u32,
            ),
        ];
        RequestSize {
            prompt_tokens: parts.iter().map(|part| u64::from(part.tokens)).sum(),
            answer_tokens: answer as u64 + 1,
            parts,
        }
    }

    fn place(&mut self, instance: usize, kind: usize) {
        let size = self.sample_size(kind);
        let now = time(self.now_s);
        let request = PlacementRequest {
            service: &ServiceName::new("s"),
            excluded: &[],
            size: &size,
            memory_tokens: self.load.model.memory,
            latency_limit: Duration::from_millis(1_600),
        };
        self.results[kind].sent += 1;
        let table = &mut self.tables[instance];
        let Ok(placement) = table.choose(&request, now) else {
            self.results[kind].refused += 1;
            return;
        };
        let flight = table.start(&placement, &size, true, now);
        let engine: usize = placement.upstream.as_str()[1..].parse().expect("number");
        let home = instance / self.load.instances;
        let is_remote = self.domains[engine] != home;
        let hop_s = if is_remote { HOP_S.1 } else { HOP_S.0 };
        let number = self.requests.len();
        self.requests.push(FleetRequest {
            kind,
            instance,
            flight,
            sent_s: self.now_s,
            hop_s,
            is_late: false,
            load: (1, 0, 1.0),
        });
        self.results[kind].remote += u32::from(is_remote);
        if self.is_dark(engine) {
            self.tables[instance].finish(flight, FlightOutcome::NotReached, now);
            self.results[kind].unreached += 1;
            return;
        }
        self.push_job(engine, number, &size);
    }

    fn is_dark(&self, engine: usize) -> bool {
        let (from, until) = self.load.dark;
        engine.is_multiple_of(DARK_STEP) && (from..until).contains(&self.now_s)
    }

    fn push_job(&mut self, engine: usize, request: usize, size: &RequestSize) {
        let cached = self.engines[engine].cache(size);
        let shared: u64 = size.parts[..2].iter().map(|p| u64::from(p.tokens)).sum();
        if !self.known.insert(size.parts[1].digest) {
            let kind = self.requests[request].kind;
            self.results[kind].read_again += shared.saturating_sub(cached);
        }
        self.engines[engine].push(EngineJob::new(request, size, cached));
        if self.engines[engine].start() {
            self.schedule_step(engine);
        }
    }

    fn schedule_step(&mut self, engine: usize) {
        let slowness =
            self.engines[engine].slowness(self.now_s, &self.load.model, &mut self.generator);
        if let Some(step_s) = self.engines[engine].step_s(&self.load.model, slowness) {
            self.schedule(step_s, FleetEvent::Step { engine });
        }
    }

    fn step(&mut self, engine: usize) {
        let report = self.engines[engine].finish_step(&self.load.model, self.now_s);
        let load = self.engines[engine].load();
        for request in report.begun {
            self.requests[request].load = load;
            let delay_s = self.load.model.first_s + 2.0 * self.requests[request].hop_s;
            self.schedule(delay_s, FleetEvent::First { request });
        }
        for request in report.paused {
            self.record_late(request, false);
        }
        for request in report.ended {
            let delay_s = self.load.model.first_s + 2.0 * self.requests[request].hop_s;
            self.schedule(delay_s, FleetEvent::End { request });
        }
        self.schedule_step(engine);
    }

    fn record_late(&mut self, number: usize, is_start: bool) {
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.is_late, true) {
            let result = &mut self.results[request.kind];
            result.late_starts += u32::from(is_start);
            result.late_pauses += u32::from(!is_start);
        }
    }

    fn record_first(&mut self, number: usize) {
        let request = &self.requests[number];
        let (instance, flight, (running, waiting, slowness)) =
            (request.instance, request.flight, request.load);
        let table = &mut self.tables[instance];
        let now = time(self.now_s);
        report_load(table, flight, running, waiting, slowness, now);
        table.begin(flight, now);
        if self.now_s - request.sent_s > self.load.kinds[request.kind].objective_s {
            self.record_late(number, true);
        }
    }

    fn record_end(&mut self, number: usize) {
        let request = &self.requests[number];
        let table = &mut self.tables[request.instance];
        table.finish(request.flight, FlightOutcome::Answered, time(self.now_s));
    }

    fn exchange_news(&mut self) {
        if self.now_s < self.load.length_s {
            self.schedule(0.2, FleetEvent::News);
        }
        if self.load.has_news {
            exchange(&mut self.tables, self.load.instances, time(self.now_s));
        }
    }
}

fn report_load(
    table: &mut PlacementTable,
    flight: FlightKey,
    running: u32,
    waiting: u32,
    slowness: f64,
    now: MonotonicTime,
) {
    let figures = LoadFigures {
        running,
        waiting,
        slowness: Some(slowness),
    };
    table.report(flight, figures, now);
}

/// Tells the instances of each domain which upstreams their peers saw fail.
fn exchange(tables: &mut [PlacementTable], instances: usize, now: MonotonicTime) {
    for domain in tables.chunks_mut(instances) {
        for from in 0..domain.len() {
            let told = domain[from].take_failures(now);
            for to in (0..domain.len()).filter(|to| *to != from) {
                domain[to].merge_failures(&told, now);
            }
        }
    }
}
