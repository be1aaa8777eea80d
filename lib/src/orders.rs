//! Orders of a side process: runs each attempt at most once, rejects orders of
//! previous shard owners, and reports the status of an attempt to its owner.

use crate::code::Code;
use crate::effect::Effect;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::AttemptStatus;
use crate::message::Message;
use crate::message::Order;
use crate::message::OrderRejection;
use crate::outcome::Outcome;
use crate::queue::LeastAttained;
use crate::queue::RankPolicy;
use crate::queue::Waiting;
use crate::side::AttemptKey;
use crate::side::AttemptRecord;
use crate::side::AttemptState;
use crate::side::Side;
use crate::side::refuse_order;
use crate::side::send;
use crate::time::Time;

/// Most attempt records held at once; further orders are refused.
const MAX_RECORDS: usize = 100_000;
/// Most calls queued at once; further orders are refused.
const MAX_QUEUE: usize = 1_024;

impl Side {
    /// Returns whether orders of an owner with this epoch are accepted, that is
    /// whether no higher epoch of the shard is known. Orders with an earlier
    /// epoch are rejected from now on.
    pub(crate) fn accept_epoch(&mut self, shard: Option<(ShardId, Epoch)>) -> bool {
        shard.is_none_or(|(shard, epoch)| self.keeper.raise_fence(shard, epoch))
    }

    pub(crate) fn order(
        &mut self,
        now: Time,
        from: &NodeId,
        order: Box<Order>,
        out: &mut Vec<Effect>,
    ) {
        let key = (order.call, order.attempt);
        let accepted = self.accept_epoch(order.shard);
        let fault = if order.boot != self.boot {
            Some(OrderRejection::OtherBoot)
        } else if !accepted {
            Some(OrderRejection::Fenced)
        } else if self.records.contains_key(&key) {
            self.report_attempt(from, key, out);
            return;
        } else if self.leaving {
            Some(OrderRejection::Leaving)
        } else if self.queue.len() >= MAX_QUEUE || self.records.len() >= MAX_RECORDS {
            Some(OrderRejection::Full)
        } else {
            None
        };
        if let Some(fault) = fault {
            refuse_order(from, key, fault, out);
            return;
        }
        let deadline = now + order.patience;
        let waiting = Waiting {
            arrived: now,
            deadline,
            urgency: order.urgency,
            attained: order.attained,
            deployment: order.deployment.clone(),
        };
        self.queue
            .push(key, &order.deployment, LeastAttained.rank(&waiting));
        let tokens = order.tokens
            + order
                .turns
                .iter()
                .map(|t| t.text.len() as u64 / 4)
                .sum::<u64>();
        self.tokens += tokens;
        let record = AttemptRecord {
            program: order.program,
            idempotent: order.idempotent,
            model: false,
            owner: from.clone(),
            state: AttemptState::Queued { order, deadline },
            tokens,
            since: now,
        };
        self.records.insert(key, record);
    }

    /// Sends the status of an attempt and its answer so far to `from`, which
    /// also receives the rest of the answer from now on.
    fn report_attempt(&mut self, from: &NodeId, key: AttemptKey, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let (call, attempt) = key;
        record.owner = from.clone();
        let standing = match &record.state {
            AttemptState::Done(outcome) => {
                let outcome = outcome.clone();
                let message = Message::OrderDone {
                    call,
                    attempt,
                    outcome,
                };
                send(from, message, out);
                return;
            }
            AttemptState::Sealed => AttemptStatus::Sealed,
            AttemptState::Queued { .. } | AttemptState::Running { .. } => AttemptStatus::Open,
        };
        send(
            from,
            Message::Settled {
                call,
                attempt,
                standing,
            },
            out,
        );
        if let AttemptState::Running { bytes, .. } = &record.state {
            let bytes = bytes.clone();
            let message = Message::OrderChunk {
                call,
                attempt,
                offset: 0,
                bytes,
            };
            send(from, message, out);
        }
    }

    pub(crate) fn settle(
        &mut self,
        now: Time,
        from: &NodeId,
        shard: Option<(ShardId, Epoch)>,
        boot: Boot,
        key: AttemptKey,
        out: &mut Vec<Effect>,
    ) {
        if !self.accept_epoch(shard) {
            // The current owner sends its own request.
            return;
        }
        let (call, attempt) = key;
        if boot != self.boot {
            let standing = AttemptStatus::OtherBoot;
            let message = Message::Settled {
                call,
                attempt,
                standing,
            };
            send(from, message, out);
            return;
        }
        self.records.entry(key).or_insert_with(|| AttemptRecord {
            program: ProgramId::for_single_call(call),
            idempotent: false,
            model: false,
            owner: from.clone(),
            state: AttemptState::Sealed,
            tokens: 0,
            since: now,
        });
        self.report_attempt(from, key, out);
    }

    /// Cancels an attempt if the owner that asks for it is not fenced off.
    pub(crate) fn cancel_for(
        &mut self,
        now: Time,
        shard: Option<(ShardId, Epoch)>,
        key: AttemptKey,
        out: &mut Vec<Effect>,
    ) {
        if self.accept_epoch(shard) {
            self.cancel(now, key, Code::Cancelled, out);
        }
    }

    /// Cancels a queued or running attempt. If it runs and is not idempotent,
    /// its outcome is unknown.
    pub(crate) fn cancel(&mut self, now: Time, key: AttemptKey, code: Code, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let (call, attempt) = key;
        match &record.state {
            AttemptState::Queued { .. } => {
                record.state = AttemptState::Sealed;
                record.since = now;
                let owner = record.owner.clone();
                self.tokens = self.tokens.saturating_sub(record.tokens);
                self.queue.remove(key);
                refuse_order(&owner, key, OrderRejection::Late, out);
            }
            AttemptState::Running { .. } => {
                let code = if record.idempotent {
                    code
                } else {
                    Code::OutcomeUnknown
                };
                out.push(Effect::Abort { call, attempt });
                self.end(now, key, Outcome::refused(code), out);
            }
            AttemptState::Done(_) | AttemptState::Sealed => {}
        }
    }

    pub(crate) fn forget(&mut self, key: AttemptKey) {
        let done = |record: &AttemptRecord| matches!(record.state, AttemptState::Done(_));
        if self.records.get(&key).is_some_and(done) {
            self.records.remove(&key);
        }
    }
}
