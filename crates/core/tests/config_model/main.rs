//! Exhaustive search over the distribution of configurations with the real state machine.
//!
//! The network delivers any message about an accepted version, to any instance, any number of
//! times and in any order, or never; so loss, duplication, reordering, partitions and paused instances are
//! all included. Old reads of the platform are delivered in the same way.

mod lab;

use lab::{Lab, NAMES, Out, Step};
use pathfinding::directed::bfs::bfs_reach;

/// Rounds of pings after which a connected group must agree.
const ROUNDS: usize = 8;
/// Versions of one run: the first and one of each operator.
const MAX_OBJECTS: usize = 3;

const FELL: &str = "the version in force fell or was replaced";
const TWO_DOCUMENTS: &str = "one version has two documents";
const APART: &str = "a connected group does not converge";

/// Groups that can be connected while the rest is cut off, with and without the platform.
const GROUPS: [(&[usize], bool); 4] = [
    (&[0, 1], true),
    (&[0, 1], false),
    (&[0], true),
    (&[1], true),
];

/// Lists what is broken on purpose, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Operators write the head without a condition.
    UnconditionalWrite,
    /// An instance takes whatever version a peer sends.
    NoVersionCheck,
    /// Instances do not ask peers.
    NoRequests,
}

/// Holds a state of the model; everything is an index into the tables of the lab.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: [u32; NAMES.len()],
    objects: usize,
    heads: [usize; MAX_OBJECTS],
    /// The document in force per version, plus one; 0 if the version was never in force.
    documents: [usize; MAX_OBJECTS + 1],
    violation: Option<&'static str>,
}

struct Model {
    lab: Lab,
    fault: Fault,
}

impl Model {
    fn start(&self) -> World {
        World {
            nodes: std::array::from_fn(|index| self.lab.new_node(index)),
            objects: 1,
            heads: [0; MAX_OBJECTS],
            documents: [0; MAX_OBJECTS + 1],
            violation: None,
        }
    }

    /// Feeds an event to an instance and checks the guarantees; returns what it does.
    fn feed(&self, world: &mut World, index: usize, step: Step) -> std::rc::Rc<[Out]> {
        let before = self.lab.version(world.nodes[index]);
        if matches!(step, Step::Changes(_)) && self.fault == Fault::NoVersionCheck {
            world.nodes[index] = self.lab.new_node(index);
        }
        let (node, outs) = self.lab.step(world.nodes[index], step);
        world.nodes[index] = node;
        for out in outs.iter() {
            match *out {
                Out::Activate { version, document } => {
                    if version <= before {
                        world.violation = Some(FELL);
                    }
                    let known = &mut world.documents[version as usize];
                    if *known != 0 && *known != document + 1 {
                        world.violation = Some(TWO_DOCUMENTS);
                    }
                    *known = document + 1;
                }
                Out::ReadHead | Out::ReadBase(_) | Out::Request { .. } | Out::Changes { .. } => {}
            }
        }
        outs
    }

    /// Lets the next operator change the head; races of operators have a search of their own.
    fn write_head(&self, mut world: World) -> Option<World> {
        if world.objects == MAX_OBJECTS {
            return None;
        }
        let old = match self.fault {
            Fault::UnconditionalWrite => world.heads[0],
            _ => self.newest(&world),
        };
        world.heads[world.objects] = self.lab.next_head(old, world.objects - 1);
        world.objects += 1;
        Some(world)
    }

    fn newest(&self, world: &World) -> usize {
        world.heads[world.objects - 1]
    }

    fn instance_steps(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let mut steps = vec![
            Step::Tick,
            Step::Down,
            Step::Members(0b11),
            Step::Members(1 << index),
        ];
        for object in 0..world.objects {
            let head = world.heads[object];
            let object_version = object as u8 + 1;
            steps.push(Step::Head {
                object_version,
                head,
            });
            steps.push(Step::Base(self.lab.base_of(head)));
        }
        for peer in (0..NAMES.len()).filter(|peer| *peer != index) {
            let version = self.lab.version(world.nodes[peer]);
            steps.push(Step::Peer { peer, version });
            steps.push(Step::Request { peer, version });
        }
        let newest = self.lab.head_version(self.newest(world));
        steps.extend(self.lab.changes_until(newest).map(Step::Changes));
        for step in steps {
            let mut world = *world;
            self.feed(&mut world, index, step);
            next.push(world);
        }
        let mut world = *world;
        world.nodes[index] = self.lab.new_node(index);
        next.push(world);
    }

    fn successors(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        if world.violation.is_none() {
            next.extend(self.write_head(*world));
            for index in 0..world.nodes.len() {
                self.instance_steps(world, index, &mut next);
            }
            next.retain(|successor| successor != world);
        }
        next
    }

    /// Checks that the connected `group` agrees on the newest version within some rounds.
    fn converge(&self, mut world: World, group: &[usize], platform: bool) -> Option<&'static str> {
        let version = |world: &World, index: &usize| self.lab.version(world.nodes[*index]);
        let highest = group.iter().map(|index| version(&world, index)).max();
        let newest = self.lab.head_version(self.newest(&world));
        let expected = if platform { Some(newest) } else { highest };
        let mask = group.iter().fold(0, |mask, index| mask | 1 << index);
        for _ in 0..ROUNDS {
            for index in group {
                let mut run = |step| self.run(&mut world, *index, step, group, platform);
                run(Step::Members(mask));
                run(Step::Tick);
                self.return_watch(&mut world, *index, group, platform);
                for peer in group.iter().filter(|peer| *peer != index) {
                    let version = version(&world, peer);
                    let step = Step::Peer {
                        peer: *peer,
                        version,
                    };
                    self.run(&mut world, *index, step, group, platform);
                }
            }
            if world.violation.is_some() {
                return world.violation;
            }
            if group
                .iter()
                .all(|index| Some(version(&world, index)) == expected)
            {
                return None;
            }
        }
        Some(APART)
    }

    /// Ends the watch that is really open, if the platform would.
    fn return_watch(&self, world: &mut World, index: usize, group: &[usize], platform: bool) {
        match self.lab.watch(world.nodes[index]) {
            Some(after) if platform && world.objects as u64 > after => {
                let step = self.read_newest(world);
                self.run(world, index, step, group, platform);
            }
            Some(_) if !platform => self.run(world, index, Step::Down, group, platform),
            _ => {}
        }
    }

    fn read_newest(&self, world: &World) -> Step {
        Step::Head {
            object_version: world.objects as u8,
            head: self.newest(world),
        }
    }

    /// Feeds an event and carries out what follows from it, without loss.
    fn run(&self, world: &mut World, index: usize, step: Step, group: &[usize], platform: bool) {
        let mut waiting = vec![(index, step)];
        while let Some((index, step)) = waiting.pop() {
            for out in self.feed(world, index, step).iter() {
                let reply = match *out {
                    Out::ReadHead | Out::ReadBase(_) if !platform => Some((index, Step::Down)),
                    Out::ReadHead => Some((index, self.read_newest(world))),
                    Out::ReadBase(base) => Some((index, Step::Base(base))),
                    Out::Request { to, version } => {
                        let request = Step::Request {
                            peer: index,
                            version,
                        };
                        (self.fault != Fault::NoRequests).then_some((to, request))
                    }
                    Out::Changes { to, changes } => Some((to, Step::Changes(changes))),
                    Out::Activate { .. } => None,
                };
                waiting.extend(reply.filter(|(to, _)| group.contains(to)));
            }
        }
    }
}

struct SearchResult {
    states: usize,
    instance_states: usize,
    violation: Option<&'static str>,
}

fn search(fault: Fault) -> SearchResult {
    let model = Model {
        lab: Lab::new(),
        fault,
    };
    // A message found late could have been delivered to a state that was searched before, so the
    // search starts again with it.
    loop {
        let messages = model.lab.changes_count();
        let result = search_once(&model);
        if result.violation.is_some() || model.lab.changes_count() == messages {
            return result;
        }
    }
}

fn search_once(model: &Model) -> SearchResult {
    let messages = model.lab.changes_count();
    let mut states = 0;
    let mut violation = None;
    for world in bfs_reach(model.start(), |world| model.successors(world)) {
        states += 1;
        violation = world.violation.or_else(|| {
            GROUPS
                .iter()
                .find_map(|(group, platform)| model.converge(world, group, *platform))
        });
        if violation.is_some() || model.lab.changes_count() != messages {
            break;
        }
    }
    SearchResult {
        states,
        instance_states: model.lab.node_count(),
        violation,
    }
}

/// Guards against a version that falls, a version with two documents, and a connected group that
/// stays behind, under every order of events of the model.
#[test]
fn every_order_of_events_keeps_the_guarantees() {
    let result = search(Fault::None);
    println!(
        "config model: {} states, {} states of instances, all checked for convergence",
        result.states, result.instance_states
    );
    assert_eq!(result.violation, None);
}

/// Guards against a search that would not notice a fault.
#[rstest::rstest]
#[case(Fault::UnconditionalWrite, TWO_DOCUMENTS)]
#[case(Fault::NoVersionCheck, FELL)]
#[case(Fault::NoRequests, APART)]
fn broken_variant_is_caught(#[case] fault: Fault, #[case] expected: &str) {
    let result = search(fault);
    println!(
        "config model with {fault:?}: caught after {} states",
        result.states
    );
    assert_eq!(result.violation, Some(expected));
}
