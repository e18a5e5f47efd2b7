//! Exhaustive search of the configuration distribution with the real state machine.
//!
//! The network may deliver any message about an accepted version to any instance, any number of
//! times and in any order, or never. This covers loss, duplication, reordering, partitions and paused
//! instances. Outdated reads of the platform are delivered in the same way.

mod transitions;

use pathfinding::directed::bfs::bfs_reach;
use transitions::{NAMES, Output, Step, TransitionCache};

/// Number of ping rounds within which a connected group must converge.
const ROUNDS: usize = 8;
/// Number of versions in a run: the initial one and one by each operator.
const MAX_OBJECTS: usize = 3;

const VERSION_REGRESSED: &str = "the active version decreased or was replaced";
const CONFLICTING_DOCUMENTS: &str = "one version has two different documents";
const NOT_CONVERGED: &str = "a connected group does not converge";

/// Groups of instances that stay connected while the others are cut off, and whether the group
/// reaches the platform.
const GROUPS: [(&[usize], bool); 4] = [
    (&[0, 1], true),
    (&[0, 1], false),
    (&[0], true),
    (&[1], true),
];

/// A deliberate defect that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Operators write the head unconditionally.
    UnconditionalWrite,
    /// An instance accepts any version that a peer sends.
    NoVersionCheck,
    /// Instances do not request changes from peers.
    NoRequests,
}

/// A state of the model. Nodes, heads and documents are indices into the tables of
/// [`TransitionCache`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    nodes: [u32; NAMES.len()],
    objects: usize,
    heads: [usize; MAX_OBJECTS],
    /// The index of the document by version, plus one; 0 if the version was never active.
    documents: [usize; MAX_OBJECTS + 1],
    violation: Option<&'static str>,
}

struct Model {
    transitions: TransitionCache,
    fault: Fault,
}

impl Model {
    fn start(&self) -> ModelState {
        ModelState {
            nodes: std::array::from_fn(|index| self.transitions.new_node(index)),
            objects: 1,
            heads: [0; MAX_OBJECTS],
            documents: [0; MAX_OBJECTS + 1],
            violation: None,
        }
    }

    /// Delivers an event to an instance, checks the guarantees and returns the effects.
    fn handle(&self, state: &mut ModelState, index: usize, step: Step) -> std::rc::Rc<[Output]> {
        let before = self.transitions.version(state.nodes[index]);
        if matches!(step, Step::Changes(_)) && self.fault == Fault::NoVersionCheck {
            state.nodes[index] = self.transitions.new_node(index);
        }
        let (node, outputs) = self.transitions.step(state.nodes[index], step);
        state.nodes[index] = node;
        for out in outputs.iter() {
            match *out {
                Output::Activate { version, document } => {
                    if version <= before {
                        state.violation = Some(VERSION_REGRESSED);
                    }
                    let known = &mut state.documents[version as usize];
                    if *known != 0 && *known != document + 1 {
                        state.violation = Some(CONFLICTING_DOCUMENTS);
                    }
                    *known = document + 1;
                }
                Output::ReadHead
                | Output::ReadBase(_)
                | Output::Request { .. }
                | Output::Changes { .. } => {}
            }
        }
        outputs
    }

    /// Lets the next operator change the head. Races between operators are covered by
    /// `config_operators.rs`.
    fn write_head(&self, mut state: ModelState) -> Option<ModelState> {
        if state.objects == MAX_OBJECTS {
            return None;
        }
        let old = match self.fault {
            Fault::UnconditionalWrite => state.heads[0],
            _ => self.newest(&state),
        };
        state.heads[state.objects] = self.transitions.next_head(old, state.objects - 1);
        state.objects += 1;
        Some(state)
    }

    fn newest(&self, state: &ModelState) -> usize {
        state.heads[state.objects - 1]
    }

    fn instance_steps(&self, state: &ModelState, index: usize, next: &mut Vec<ModelState>) {
        let mut steps = vec![
            Step::Tick,
            Step::PlatformDown,
            Step::Members(0b11),
            Step::Members(1 << index),
        ];
        for object in 0..state.objects {
            let head = state.heads[object];
            let object_version = object as u8 + 1;
            steps.push(Step::Head {
                object_version,
                head,
            });
            steps.push(Step::Base(self.transitions.base_of(head)));
        }
        for peer in (0..NAMES.len()).filter(|peer| *peer != index) {
            let version = self.transitions.version(state.nodes[peer]);
            steps.push(Step::Peer { peer, version });
            steps.push(Step::Request { peer, version });
        }
        let newest = self.transitions.head_version(self.newest(state));
        steps.extend(self.transitions.changes_until(newest).map(Step::Changes));
        for step in steps {
            let mut state = *state;
            self.handle(&mut state, index, step);
            next.push(state);
        }
        let mut state = *state;
        state.nodes[index] = self.transitions.new_node(index);
        next.push(state);
    }

    fn successors(&self, state: &ModelState) -> Vec<ModelState> {
        let mut next = Vec::new();
        if state.violation.is_none() {
            next.extend(self.write_head(*state));
            for index in 0..state.nodes.len() {
                self.instance_steps(state, index, &mut next);
            }
            next.retain(|successor| successor != state);
        }
        next
    }

    /// Checks that the connected `group` converges to the newest version within [`ROUNDS`].
    fn converge(
        &self,
        mut state: ModelState,
        group: &[usize],
        platform: bool,
    ) -> Option<&'static str> {
        let version =
            |state: &ModelState, index: &usize| self.transitions.version(state.nodes[*index]);
        let highest = group.iter().map(|index| version(&state, index)).max();
        let newest = self.transitions.head_version(self.newest(&state));
        let expected = if platform { Some(newest) } else { highest };
        let mask = group.iter().fold(0, |mask, index| mask | 1 << index);
        for _ in 0..ROUNDS {
            for index in group {
                let mut run = |step| self.run_until_idle(&mut state, *index, step, group, platform);
                run(Step::Members(mask));
                run(Step::Tick);
                self.return_watch(&mut state, *index, group, platform);
                for peer in group.iter().filter(|peer| *peer != index) {
                    let version = version(&state, peer);
                    let step = Step::Peer {
                        peer: *peer,
                        version,
                    };
                    self.run_until_idle(&mut state, *index, step, group, platform);
                }
            }
            if state.violation.is_some() {
                return state.violation;
            }
            if group
                .iter()
                .all(|index| Some(version(&state, index)) == expected)
            {
                return None;
            }
        }
        Some(NOT_CONVERGED)
    }

    /// Ends the open watch of an instance if the platform would end it.
    fn return_watch(&self, state: &mut ModelState, index: usize, group: &[usize], platform: bool) {
        match self.transitions.watch(state.nodes[index]) {
            Some(after) if platform && state.objects as u64 > after => {
                let step = self.read_newest(state);
                self.run_until_idle(state, index, step, group, platform);
            }
            Some(_) if !platform => {
                self.run_until_idle(state, index, Step::PlatformDown, group, platform)
            }
            _ => {}
        }
    }

    fn read_newest(&self, state: &ModelState) -> Step {
        Step::Head {
            object_version: state.objects as u8,
            head: self.newest(state),
        }
    }

    /// Delivers an event and all events that follow from it, without loss.
    fn run_until_idle(
        &self,
        state: &mut ModelState,
        index: usize,
        step: Step,
        group: &[usize],
        platform: bool,
    ) {
        let mut waiting = vec![(index, step)];
        while let Some((index, step)) = waiting.pop() {
            for out in self.handle(state, index, step).iter() {
                let reply = match *out {
                    Output::ReadHead | Output::ReadBase(_) if !platform => {
                        Some((index, Step::PlatformDown))
                    }
                    Output::ReadHead => Some((index, self.read_newest(state))),
                    Output::ReadBase(base) => Some((index, Step::Base(base))),
                    Output::Request { to, version } => {
                        let request = Step::Request {
                            peer: index,
                            version,
                        };
                        (self.fault != Fault::NoRequests).then_some((to, request))
                    }
                    Output::Changes { to, changes } => Some((to, Step::Changes(changes))),
                    Output::Activate { .. } => None,
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
        transitions: TransitionCache::new(),
        fault,
    };
    // A newly found message could also have been delivered to states that were searched before, so
    // the search restarts with it.
    loop {
        let messages = model.transitions.changes_count();
        let result = search_once(&model);
        if result.violation.is_some() || model.transitions.changes_count() == messages {
            return result;
        }
    }
}

fn search_once(model: &Model) -> SearchResult {
    let messages = model.transitions.changes_count();
    let mut states = 0;
    let mut violation = None;
    for state in bfs_reach(model.start(), |state| model.successors(state)) {
        states += 1;
        violation = state.violation.or_else(|| {
            GROUPS
                .iter()
                .find_map(|(group, platform)| model.converge(state, group, *platform))
        });
        if violation.is_some() || model.transitions.changes_count() != messages {
            break;
        }
    }
    SearchResult {
        states,
        instance_states: model.transitions.node_count(),
        violation,
    }
}

/// Guards against an active version that decreases, a version with two different documents, and a
/// connected group that does not converge, under every order of events of the model.
#[test]
fn every_order_of_events_keeps_the_guarantees() {
    let result = search(Fault::None);
    println!(
        "config model: {} states, {} states of instances, all checked for convergence",
        result.states, result.instance_states
    );
    assert_eq!(result.violation, None);
}

/// Guards against a search that does not detect violations.
#[rstest::rstest]
#[case(Fault::UnconditionalWrite, CONFLICTING_DOCUMENTS)]
#[case(Fault::NoVersionCheck, VERSION_REGRESSED)]
#[case(Fault::NoRequests, NOT_CONVERGED)]
fn broken_variant_is_caught(#[case] fault: Fault, #[case] expected: &str) {
    let result = search(fault);
    println!(
        "config model with {fault:?}: caught after {} states",
        result.states
    );
    assert_eq!(result.violation, Some(expected));
}
