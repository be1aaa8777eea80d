//! Decides whether a turn may start, from the answers of its program's replicas
//! about the budget and the previous turn.
//!
//! Each replica reserves the turn and returns its view of the program. The turn
//! is sent to a server when a majority has reserved it and the budget suffices.
//! Once a server has taken it, the replicas record it. Its first event is sent to
//! the caller when a majority has the turn on disk that has counted it all the
//! time since the views that the decision used ([`crate::reservations`]).
//!
//! Of any two turns at least one sees the other, since any two majorities share
//! a replica. A turn that sees `s` tokens of other turns and may use `w` itself
//! starts at once if `s + w` is at most half of the budget: summed over all pairs
//! of turns, at least one turn sees half of all tokens that are output, so that
//! these stay within the budget. Otherwise the turn queries the replicas a second
//! time, after a majority has reserved it: of the turns that start, the last one
//! to send its second query sees all others.
//!
//! If the budget suffices without the turns that are only reserved, the turn is not
//! refused for good: those may end without having reached a server.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Presence;
use crate::ledger::TurnUsage;
use crate::membership::Replicas;
use crate::stream_origin::Continuation;
use crate::stream_origin::OriginView;
use crate::stream_origin::StreamOrigin;
use crate::stream_origin::agreed_origin;

/// A replica's view of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Whether the replica has lost nothing that it ever acknowledged.
    pub whole: bool,
    /// Tokens that the program's other turns charge to the budget.
    pub shares: Vec<TurnUsage>,
    /// Whether the replica stores the previous turn, if the request named one.
    pub previous: Presence,
}

impl ReplicaView {
    /// Returns the turns that are reserved, but not recorded.
    pub fn reserved_turns(&self) -> Vec<Arc<str>> {
        let reserved = self.shares.iter().filter(|share| share.reserved);
        reserved.map(|share| share.turn.clone()).collect()
    }

    /// Returns the view with `turns` marked as reserved.
    pub fn with_reserved(mut self, turns: &[Arc<str>]) -> Self {
        for share in &mut self.shares {
            share.reserved = turns.contains(&share.turn);
        }
        self
    }
}

/// An event at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// It reserved the turn, or recorded it without that, and answered the first query.
    /// The second value is what it has recorded of the stream that the turn continues.
    Noted(ReplicaView, OriginView),
    /// It recorded the turn, which it had counted since its last answer.
    Held,
    /// It answered the second query, which is sent after a majority has reserved
    /// the turn.
    Seen(ReplicaView),
    /// It has the turn on disk.
    Synced,
    /// Its connection was lost; its earlier answers are void.
    Lost,
}

/// What the turn has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Wait for answers of more replicas.
    Wait,
    /// Send the second query to the replicas.
    Ask,
    /// Start on a server.
    Go,
    /// Refuse the turn: the budget does not suffice.
    Spent,
    /// Refuse the turn for now: the budget suffices without turns that are reserved.
    Reserved,
}

#[derive(Clone, Debug, Default)]
struct Answers {
    noted: Option<ReplicaView>,
    origin: OriginView,
    seen: Option<ReplicaView>,
    synced: bool,
}

/// State of the admission of one turn.
#[derive(Clone, Debug)]
pub struct TurnAdmission {
    replicas: Replicas,
    replies: HashMap<usize, Answers>,
    budget: Option<u64>,
    most: u64,
    continuation: Continuation,
    is_first: bool,
    second_query: bool,
}

impl TurnAdmission {
    /// Starts the admission of a turn that may use up to `most` tokens of `budget`.
    pub fn new(replicas: Replicas, budget: Option<u64>, most: u64) -> Self {
        let replies = replicas.keepers.iter().map(|&at| (at, Answers::default()));
        Self {
            replies: replies.collect(),
            replicas,
            budget,
            most,
            continuation: Continuation::None,
            is_first: false,
            second_query: false,
        }
    }

    /// Starts a query whether a turn that may use up to `most` tokens would start now,
    /// which the replicas do not record.
    pub fn query(replicas: Replicas, budget: u64, most: u64) -> Self {
        Self {
            second_query: true,
            ..Self::new(replicas, Some(budget), most)
        }
    }

    /// Sets the stream that the turn continues. It starts only when a majority of
    /// replicas that have lost nothing has answered what they recorded of it.
    pub fn with_continuation(mut self, continuation: Continuation) -> Self {
        self.continuation = continuation;
        self
    }

    /// Sets whether the turn continues from none.
    pub fn with_first(mut self, is_first: bool) -> Self {
        self.is_first = is_first;
        self
    }

    /// Returns whether a replica's view counts for the budget. If the only replica has
    /// lost its disk, nobody knows what its programs used before: what begins then, or
    /// continues from what it has stored since, is admitted.
    fn counts(&self, view: &Option<ReplicaView>) -> bool {
        let Some(view) = view else {
            return false;
        };
        let is_only_one = self.replicas.keepers.len() == 1;
        view.whole || is_only_one && (self.is_first || self.previous_is_here())
    }

    /// Returns whether the replica with index `at` has answered the first query.
    pub fn has_answered(&self, at: usize) -> bool {
        let answers = self.replies.get(&at);
        answers.is_some_and(|answers| answers.noted.is_some())
    }

    /// Returns the program's budget, if it has one.
    pub fn budget(&self) -> Option<u64> {
        self.budget
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Applies an event at the replica with index `at`, and returns what to do next.
    pub fn step(&mut self, at: usize, step: ReplicaEvent) -> NextAction {
        if let Some(answers) = self.replies.get_mut(&at) {
            match step {
                ReplicaEvent::Noted(view, origin) => {
                    *answers = Answers {
                        noted: Some(view),
                        origin,
                        ..Answers::default()
                    };
                }
                ReplicaEvent::Held => {}
                ReplicaEvent::Seen(view) => answers.seen = Some(view),
                ReplicaEvent::Synced => answers.synced = true,
                ReplicaEvent::Lost => *answers = Answers::default(),
            }
        }
        self.next_action()
    }

    fn next_action(&mut self) -> NextAction {
        let Some(budget) = self.budget else {
            let certain = self.continuation != Continuation::None;
            let noted = |at| {
                let noted = &self.replies[&at].noted;
                if certain {
                    is_complete(noted)
                } else {
                    noted.is_some()
                }
            };
            return if self.replicas.majority(noted) {
                NextAction::Go
            } else {
                NextAction::Wait
            };
        };
        if self.second_query {
            return self.second_verdict(budget);
        }
        if !self
            .replicas
            .majority(|at| self.counts(&self.replies[&at].noted))
        {
            return NextAction::Wait;
        }
        if self.tokens_with(self.tokens_of_others(|answers| &answers.noted)) <= budget / 2 {
            return NextAction::Go;
        }
        self.second_query = true;
        NextAction::Ask
    }

    fn second_verdict(&self, budget: u64) -> NextAction {
        if !self
            .replicas
            .majority(|at| self.counts(&self.replies[&at].seen))
        {
            return NextAction::Wait;
        }
        let others = self.merge(|answers| &answers.seen);
        let recorded = others.values().filter(|share| !share.reserved);
        let recorded = sum_tokens(recorded.copied());
        if self.tokens_with(self.tokens_of_others(|answers| &answers.seen)) <= budget {
            NextAction::Go
        } else if self.tokens_with(recorded) <= budget {
            NextAction::Reserved
        } else {
            NextAction::Spent
        }
    }

    /// Returns the tokens of the other turns, by the views that `view` selects. A
    /// turn's end takes precedence even if only one replica reports it, because
    /// the tokens of an ended turn do not change any more.
    fn tokens_of_others<'a>(
        &'a self,
        view: impl Fn(&'a Answers) -> &'a Option<ReplicaView>,
    ) -> u64 {
        let turns = self.merge(view);
        sum_tokens(turns.into_values())
    }

    /// Returns the tokens of other turns and those that this one may use.
    fn tokens_with(&self, others: u64) -> u64 {
        others.saturating_add(self.most)
    }

    /// Returns what the replicas reported last of the program's other turns.
    pub fn usage(&self) -> Vec<TurnUsage> {
        let turns = if self.second_query {
            self.merge(|answers| &answers.seen)
        } else {
            self.merge(|answers| &answers.noted)
        };
        turns.into_values().cloned().collect()
    }

    fn merge<'a>(
        &'a self,
        view: impl Fn(&'a Answers) -> &'a Option<ReplicaView>,
    ) -> HashMap<&'a Arc<str>, &'a TurnUsage> {
        let mut turns: HashMap<&Arc<str>, &TurnUsage> = HashMap::new();
        let views = self
            .replies
            .values()
            .filter_map(|answers| view(answers).as_ref());
        for share in views.flat_map(|view| &view.shares) {
            let known = turns.entry(&share.turn).or_insert(share);
            let has_ended = share.ended && !known.ended;
            let same_state = share.ended == known.ended;
            let larger = same_state && share.tokens > known.tokens;
            let is_recorded = same_state && known.reserved && !share.reserved;
            if has_ended || larger || is_recorded {
                *known = share;
            }
        }
        turns
    }

    /// Returns whether a majority of the replicas whose views were used has the
    /// turn on disk, so that its first event may be sent to the caller.
    pub fn is_durable(&self) -> bool {
        self.replicas.majority(|at| {
            let answers = &self.replies[&at];
            let view = if self.second_query {
                &answers.seen
            } else {
                &answers.noted
            };
            answers.synced && (self.budget.is_none() || self.counts(view))
        })
    }

    /// Returns the origin of the stream that the turn continues, by the answers of
    /// the replicas that have lost nothing; `None` if their views do not determine it.
    pub fn origin(&self) -> Option<StreamOrigin> {
        let replies = self.replies.values();
        let complete = replies.filter(|answers| is_complete(&answers.noted));
        let views = complete.map(|answers| &answers.origin);
        agreed_origin(&self.continuation, views)
    }

    /// Returns whether at least one replica stores the previous turn.
    pub fn previous_is_here(&self) -> bool {
        let mut replies = self.replies.values();
        replies.any(|answers| {
            let noted = answers.noted.as_ref();
            noted.is_some_and(|view| view.previous == Presence::Here)
        })
    }
}

fn is_complete(view: &Option<ReplicaView>) -> bool {
    view.as_ref().is_some_and(|view| view.whole)
}

/// Returns the tokens of some turns together. A sum that is too large stays above every
/// budget, where one that wraps round would be below it.
fn sum_tokens<'a>(usage: impl IntoIterator<Item = &'a TurnUsage>) -> u64 {
    let tokens = usage.into_iter().map(|share| share.tokens);
    tokens.fold(0, u64::saturating_add)
}
