//! A simulated key-value service: one shard block with compare-and-swap.

use std::collections::VecDeque;

use limpetferry_lib::entry::Event;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::shard_map::Block;

/// A request to the service.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Replaces the block if it has this revision.
    Swap(u64, Block),
    /// Reads the block.
    Read,
}

/// The simulated service.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether the service is down.
    pub down: bool,
    /// Number of future successful writes whose replies will be lost.
    pub lost_replies: u32,
    /// Revision of the whole service.
    pub revision: u64,
    block: (u64, Block),
    /// Number of requests received so far.
    pub request_count: u64,
    /// Requests in transit.
    pub requests: VecDeque<(NodeId, StoreRequest)>,
    /// Replies and notifications in transit.
    pub answers: Vec<(NodeId, Event)>,
}

impl Store {
    /// Adds a request from `node`.
    pub fn enqueue(&mut self, node: NodeId, request: StoreRequest) {
        self.request_count += 1;
        self.requests.push_back((node, request));
    }

    /// Returns a new boot number.
    pub fn boot(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Returns the block with its revision.
    pub fn block(&self) -> (u64, &Block) {
        (self.block.0, &self.block.1)
    }

    /// Returns the event that a read of the block yields.
    pub fn block_event(&self) -> Event {
        Event::Block {
            block: 0,
            revision: self.block.0,
            value: self.block.1.clone(),
        }
    }

    /// Handles the request at `index`; `watchers` are notified of a change.
    pub fn handle(&mut self, index: usize, watchers: &[NodeId]) {
        let Some((node, request)) = self.requests.remove(index) else {
            return;
        };
        if self.down {
            if let StoreRequest::Swap(..) = request {
                self.answers.push((node, Event::SwapFailed { block: 0 }));
            } else {
                self.requests.push_back((node, StoreRequest::Read));
            }
            return;
        }
        let answer = match request {
            StoreRequest::Read => self.block_event(),
            StoreRequest::Swap(revision, _) if revision != self.block.0 => {
                Event::SwapFailed { block: 0 }
            }
            StoreRequest::Swap(_, value) => self.swap(value, watchers),
        };
        self.answers.push((node, answer));
    }

    fn swap(&mut self, value: Block, watchers: &[NodeId]) -> Event {
        self.revision += 1;
        self.block = (self.revision, value.clone());
        for watcher in watchers {
            self.answers.push((watcher.clone(), self.block_event()));
        }
        if self.lost_replies > 0 {
            self.lost_replies -= 1;
            return Event::SwapFailed { block: 0 };
        }
        Event::Swapped {
            block: 0,
            revision: self.revision,
            value,
        }
    }
}
