//! The promises, one function each, checked after every step.

use std::collections::BTreeMap;

use limpetferry_lib::id::CallId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::id::Version;

use super::backend::Run;
use super::backend::turn_of;
use super::caller::Callers;
use super::caller::Fault;
use super::caller::Known;
use super::world::LIMIT;
use super::world::World;

/// A non-idempotent call runs at most once.
pub fn at_most_once(callers: &Callers, counts: &BTreeMap<CallId, u32>) -> Result<(), Fault> {
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

/// The calls of one program run in the order that the program made them.
/// `runs` ends with the newest run.
pub fn calls_in_order(callers: &Callers, runs: &[Run]) -> Result<(), Fault> {
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

/// A history is never lost and never mixed with another program's: what an
/// engine is given holds each answer that the caller knows of, in order, and
/// nothing of another program.
pub fn history_whole(callers: &Callers, runs: &[Run]) -> Result<(), Fault> {
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
        let turn = turn_of(program.id, call.call);
        let found = run.turns[at..].iter().position(|text| *text == turn);
        match found {
            Some(offset) => at += offset + 1,
            None if call.known == Known::Answered => {
                return Err(format!(
                    "history_whole: {run:?} lacks the answer of {call:?}"
                ));
            }
            None => {}
        }
    }
    let foreign = |text: &&String| text.contains("from") && !text.contains(&program.id.to_string());
    match run.turns.iter().find(foreign) {
        Some(text) => Err(format!("history_not_mixed: {run:?} holds {text}")),
        None => Ok(()),
    }
}

/// A program's budget holds, over all owners that it ever had.
pub fn budget_holds(callers: &Callers, runs: &[Run]) -> Result<(), Fault> {
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

/// No process goes back to an older epoch, and two owners of one shard never
/// both have their keeper's word in one epoch.
pub fn epochs_grow(world: &mut World) -> Result<(), Fault> {
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
pub fn versions_grow(world: &mut World) -> Result<(), Fault> {
    for (life, version) in world.in_force() {
        let old = world.versions.insert(life.clone(), version);
        if old.is_some_and(|old| old > version) {
            return Err(format!(
                "versions_grow: {life:?} fell from {old:?} to {version:?}"
            ));
        }
    }
    Ok(())
}

/// Once nothing fails any more, every process has the newest settings in
/// force, whoever of them heard of a patch first.
pub fn newest_everywhere(world: &World, newest: Version) -> Result<(), Fault> {
    for (life, version) in world.in_force() {
        if version != newest {
            return Err(format!(
                "newest_everywhere: {life:?} has {version:?}, the newest is {newest:?}"
            ));
        }
    }
    Ok(())
}
