//! The guarantees, with one function each. Those about calls are checked
//! whenever a call starts, those about epochs and versions after every step.

use std::collections::BTreeMap;

use limpetferry_lib::id::CallId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::id::Version;

use super::backend::Run;
use super::backend::answer_turn;
use super::caller::CallStatus;
use super::caller::Callers;
use super::caller::Violation;
use super::world::LIMIT;
use super::world::World;

/// A non-idempotent call runs at most once.
pub fn at_most_once(callers: &Callers, counts: &BTreeMap<CallId, u32>) -> Result<(), Violation> {
    for program in &callers.programs {
        for call in program.calls.iter().filter(|call| !call.model) {
            let count = counts.get(&call.call).copied().unwrap_or(0);
            if count > 1 {
                return Err(format!("at_most_once: {call:?} ran {count} times"));
            }
        }
    }
    Ok(())
}

/// The calls of a program run in the order in which the program made them.
/// Checks the last element of `runs`.
pub fn calls_in_order(callers: &Callers, runs: &[Run]) -> Result<(), Violation> {
    let Some((newest, earlier)) = runs.split_last() else {
        return Ok(());
    };
    let Some(program) = callers.programs.iter().find(|p| p.id == newest.program) else {
        return Ok(());
    };
    let number = |call: CallId| {
        program
            .calls
            .iter()
            .find(|c| c.call == call)
            .map(|c| c.number)
    };
    let own = earlier.iter().filter(|run| run.program == newest.program);
    let last = own.filter_map(|run| number(run.call)).max();
    if number(newest.call) < last {
        return Err(format!(
            "calls_in_order: {newest:?} ran after call {last:?}"
        ));
    }
    Ok(())
}

/// A history is never lost and never mixed with another program's: the
/// messages that an engine receives contain each answer that the caller has
/// received, in order, and no message of another program.
pub fn history_whole(callers: &Callers, runs: &[Run]) -> Result<(), Violation> {
    let Some(run) = runs.last().filter(|run| !run.turns.is_empty()) else {
        return Ok(());
    };
    let Some(program) = callers.programs.iter().find(|p| p.id == run.program) else {
        return Ok(());
    };
    let mut at = 0;
    for call in program.calls.iter().filter(|call| call.model) {
        if call.call == run.call {
            break;
        }
        let turn = answer_turn(program.id, call.call);
        let found = run.turns[at..].iter().position(|text| *text == turn);
        match found {
            Some(offset) => at += offset + 1,
            None if call.status == CallStatus::Answered => {
                return Err(format!(
                    "history_whole: {run:?} lacks the answer of {call:?}"
                ));
            }
            None => {}
        }
    }
    let of_other_program =
        |text: &&String| text.contains("from") && !text.contains(&program.id.to_string());
    match run.turns.iter().find(of_other_program) {
        Some(text) => Err(format!("history_not_mixed: {run:?} holds {text}")),
        None => Ok(()),
    }
}

/// A program and its sub-agents never exceed the budget of calls, across all
/// owners that the program ever had.
pub fn budget_holds(callers: &Callers, runs: &[Run]) -> Result<(), Violation> {
    for program in &callers.programs {
        let in_tree = |id: ProgramId| {
            let child = callers.programs.iter().find(|p| p.id == id);
            id == program.id || child.is_some_and(|child| child.parent == Some(program.id))
        };
        let ran: Vec<CallId> = runs
            .iter()
            .filter(|run| in_tree(run.program))
            .map(|run| run.call)
            .collect();
        if ran.len() as u64 > LIMIT.calls {
            return Err(format!("budget_holds: {:?} ran {ran:?}", program.id));
        }
    }
    Ok(())
}

/// No process goes back to an older epoch of a shard. That two owners of a
/// shard never both get acknowledgements of their keeper in the same epoch is
/// not checked here.
pub fn epochs_grow(world: &mut World) -> Result<(), Violation> {
    let mut seen = Vec::new();
    for (node, entry) in world.entries() {
        for (shard, assignment) in entry.map().iter() {
            seen.push(((node.clone(), shard), assignment.epoch));
        }
    }
    for (key, epoch) in seen {
        let old = world.epochs.insert(key.clone(), epoch);
        if old.is_some_and(|old| old > epoch) {
            return Err(format!(
                "epochs_grow: {key:?} fell from {old:?} to {epoch:?}"
            ));
        }
    }
    Ok(())
}

/// A process never goes back to an older version of the settings.
pub fn versions_grow(world: &mut World) -> Result<(), Violation> {
    for (process, version) in world.in_force() {
        let old = world.versions.insert(process.clone(), version);
        if old.is_some_and(|old| old > version) {
            return Err(format!(
                "versions_grow: {process:?} fell from {old:?} to {version:?}"
            ));
        }
    }
    Ok(())
}

/// Once all failures have ended, every process has the newest settings in
/// force, regardless of which of them received a patch first.
pub fn newest_everywhere(world: &World, newest: Version) -> Result<(), Violation> {
    for (process, version) in world.in_force() {
        if version != newest {
            return Err(format!(
                "newest_everywhere: {process:?} has {version:?}, the newest is {newest:?}"
            ));
        }
    }
    Ok(())
}
