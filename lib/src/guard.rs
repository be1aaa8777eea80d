//! How a side process guards its server: each attempt runs at most once,
//! former owners are refused, and an owner that asks hears what became of it.

use crate::code::Code;
use crate::effect::Effect;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Message;
use crate::message::Order;
use crate::message::OrderFault;
use crate::message::Standing;
use crate::outcome::Outcome;
use crate::queue::LeastAttained;
use crate::queue::Ordering;
use crate::queue::Waiting;
use crate::side::Key;
use crate::side::Record;
use crate::side::Side;
use crate::side::State;
use crate::side::refuse;
use crate::side::send;
use crate::time::Time;

/// Records of calls that are held at once.
const MAX_RECORDS: usize = 100_000;
/// Calls that wait at once.
const MAX_QUEUE: usize = 1_024;

impl Side {
    /// Returns whether an owner of this epoch may still give orders, and
    /// refuses all earlier ones from now on.
    pub(crate) fn admits(&mut self, shard: Option<(ShardId, Epoch)>) -> bool {
        shard.is_none_or(|(shard, epoch)| self.keeper.raise(shard, epoch))
    }

    pub(crate) fn order(
        &mut self,
        now: Time,
        from: &NodeId,
        order: Box<Order>,
        out: &mut Vec<Effect>,
    ) {
        let key = (order.call, order.attempt);
        let admitted = self.admits(order.shard);
        let fault = if order.boot != self.boot {
            Some(OrderFault::OtherBoot)
        } else if !admitted {
            Some(OrderFault::Fenced)
        } else if self.records.contains_key(&key) {
            self.known(from, key, out);
            return;
        } else if self.leaving {
            Some(OrderFault::Leaving)
        } else if self.queue.len() >= MAX_QUEUE || self.records.len() >= MAX_RECORDS {
            Some(OrderFault::Full)
        } else {
            None
        };
        if let Some(fault) = fault {
            refuse(from, key, fault, out);
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
        let record = Record {
            program: order.program,
            idempotent: order.idempotent,
            model: false,
            owner: from.clone(),
            state: State::Queued { order, deadline },
            tokens,
            since: now,
        };
        self.records.insert(key, record);
    }

    /// Tells an owner what there is of an attempt, and sends it what follows.
    fn known(&mut self, from: &NodeId, key: Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let (call, attempt) = key;
        record.owner = from.clone();
        let standing = match &record.state {
            State::Done(outcome) => {
                let outcome = outcome.clone();
                let message = Message::OrderDone {
                    call,
                    attempt,
                    outcome,
                };
                send(from, message, out);
                return;
            }
            State::Sealed => Standing::Sealed,
            State::Queued { .. } | State::Running { .. } => Standing::Open,
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
        if let State::Running { bytes, .. } = &record.state {
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
        key: Key,
        out: &mut Vec<Effect>,
    ) {
        if !self.admits(shard) {
            // A later owner asks for itself.
            return;
        }
        let (call, attempt) = key;
        if boot != self.boot {
            let standing = Standing::OtherBoot;
            let message = Message::Settled {
                call,
                attempt,
                standing,
            };
            send(from, message, out);
            return;
        }
        self.records.entry(key).or_insert_with(|| Record {
            program: ProgramId::of_single(call),
            idempotent: false,
            model: false,
            owner: from.clone(),
            state: State::Sealed,
            tokens: 0,
            since: now,
        });
        self.known(from, key, out);
    }

    /// Stops an attempt for an owner that may still give orders.
    pub(crate) fn cancel_for(
        &mut self,
        now: Time,
        shard: Option<(ShardId, Epoch)>,
        key: Key,
        out: &mut Vec<Effect>,
    ) {
        if self.admits(shard) {
            self.cancel(now, key, Code::Cancelled, out);
        }
    }

    /// Stops an attempt that waits or runs.
    pub(crate) fn cancel(&mut self, now: Time, key: Key, code: Code, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let (call, attempt) = key;
        match &record.state {
            State::Queued { .. } => {
                record.state = State::Sealed;
                record.since = now;
                let owner = record.owner.clone();
                self.tokens = self.tokens.saturating_sub(record.tokens);
                self.queue.remove(key);
                refuse(&owner, key, OrderFault::Late, out);
            }
            State::Running { .. } => {
                let code = if record.idempotent {
                    code
                } else {
                    Code::OutcomeUnknown
                };
                out.push(Effect::Abort { call, attempt });
                self.end(now, key, Outcome::refused(code), out);
            }
            State::Done(_) | State::Sealed => {}
        }
    }

    pub(crate) fn forget(&mut self, key: Key) {
        let done = |record: &Record| matches!(record.state, State::Done(_));
        if self.records.get(&key).is_some_and(done) {
            self.records.remove(&key);
        }
    }
}
