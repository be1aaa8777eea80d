//! The key-value service of the world: shard blocks with compare-and-swap.

use std::collections::VecDeque;

use limpetferry_lib::entry::Event;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::shard::Block;

/// A request that has not reached the service yet.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Replaces the block if it has the revision.
    Swap(u64, Block),
    /// Reads the block.
    Read,
}

/// The service, with one block.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether it answers nothing.
    pub down: bool,
    /// Writes whose answers are lost, to come.
    pub lose: u32,
    /// Revision of the whole service.
    pub revision: u64,
    block: (u64, Block),
    /// Requests of the system so far.
    pub asked: u64,
    /// Requests under way.
    pub requests: VecDeque<(NodeId, StoreRequest)>,
    /// Answers and notices under way.
    pub answers: Vec<(NodeId, Event)>,
}

impl Store {
    /// Takes a request under way.
    pub fn ask(&mut self, node: NodeId, request: StoreRequest) {
        self.asked += 1;
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

    /// Returns the event of a reading.
    pub fn reading(&self) -> Event {
        Event::Block {
            block: 0,
            revision: self.block.0,
            value: self.block.1.clone(),
        }
    }

    /// Handles the request that waits at `index`; `watchers` are told of a
    /// change.
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
            StoreRequest::Read => self.reading(),
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
            self.answers.push((watcher.clone(), self.reading()));
        }
        if self.lose > 0 {
            self.lose -= 1;
            return Event::SwapFailed { block: 0 };
        }
        Event::Swapped {
            block: 0,
            revision: self.revision,
            value,
        }
    }
}
