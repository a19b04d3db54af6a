//! Breadth-first search of the reachable states of a model.

use std::collections::HashMap;
use std::fmt::{self, Debug, Display, Formatter};
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// Transition system with finitely many reachable states and a safety property.
pub trait Model {
    /// State of the processes, the messages in flight and the log.
    type State: Clone + Eq + Hash;
    /// Transition between two states.
    type Action: Debug;

    /// Returns the initial state.
    fn start(&self) -> Self::State;
    /// Returns the actions that are enabled in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Returns the state after an action.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Describes the property that a state violates, or returns none.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Shortest sequence of actions that violates a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// Actions in order, in their debug format.
    pub steps: Vec<String>,
    /// Property that the last state violates.
    pub violation: String,
}

impl Display for Trace {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        for (number, step) in (1..).zip(&self.steps) {
            writeln!(out, "{number:>3}. {step}")?;
        }
        write!(out, "  => {}", self.violation)
    }
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of states whose successors were computed.
    pub states: usize,
    /// Counterexample; none when no reachable state violates a property.
    pub trace: Option<Trace>,
}

/// Searches breadth first for a state that violates a property.
pub fn search<M: Model>(model: &M) -> Report {
    let mut states = 0;
    let successors = |state: &M::State| {
        states += 1;
        let actions = model.actions(state);
        actions.iter().map(|action| model.next(state, action)).collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |state| model.violation(state).is_some());
    let trace = path.map(|path| Trace {
        steps: path.windows(2).map(|pair| describe_step(model, &pair[0], &pair[1])).collect(),
        violation: path.last().and_then(|last| model.violation(last)).unwrap_or_default(),
    });
    Report { states, trace }
}

/// Counts the states from which no state with `goal` is reachable, and all reachable states.
pub fn count_stuck_states<M: Model>(model: &M, goal: impl Fn(&M::State) -> bool) -> (usize, usize) {
    let (states, parents) = graph(model);
    let mut reaches = vec![false; states.len()];
    let mut pending: Vec<usize> = (0..states.len()).filter(|index| goal(&states[*index])).collect();
    while let Some(index) = pending.pop() {
        if !std::mem::replace(&mut reaches[index], true) {
            pending.extend(parents[index].iter().copied().filter(|parent| !reaches[*parent]));
        }
    }
    (reaches.iter().filter(|reaches| !**reaches).count(), states.len())
}

/// Returns all reachable states, and for each the indexes of its predecessors.
fn graph<M: Model>(model: &M) -> (Vec<M::State>, Vec<Vec<usize>>) {
    let mut states = vec![model.start()];
    let mut parents = vec![Vec::new()];
    let mut indexes = HashMap::from([(model.start(), 0)]);
    let mut current = 0;
    while let Some(state) = states.get(current).cloned() {
        for action in model.actions(&state) {
            let next = model.next(&state, &action);
            let index = *indexes.entry(next.clone()).or_insert(states.len());
            if index == states.len() {
                states.push(next);
                parents.push(Vec::new());
            }
            parents[index].push(current);
        }
        current += 1;
    }
    (states, parents)
}

fn describe_step<M: Model>(model: &M, from: &M::State, to: &M::State) -> String {
    let actions = model.actions(from);
    let action = actions.iter().find(|action| model.next(from, action) == *to);
    action.map_or_else(String::new, |action| format!("{action:?}"))
}
