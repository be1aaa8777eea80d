//! Rendezvous hashing of shards to nodes: every process computes the same
//! order of nodes for a shard, without communication.

use sha2::Digest as _;
use sha2::Sha256;

use crate::id::NodeId;
use crate::id::ShardId;

/// Returns the weight of `node` for `shard`; the node with the highest weight
/// ranks first.
pub fn weight(shard: ShardId, node: &NodeId) -> u64 {
    let mut hash = Sha256::new();
    hash.update(shard.0.to_be_bytes());
    hash.update(node.as_str());
    let bytes = hash.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(head)
}

/// Returns the first-ranked node for `shard`.
pub fn first<'a>(
    shard: ShardId,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes.into_iter().max_by_key(|node| weight(shard, node))
}
