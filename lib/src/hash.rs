//! Hashes that are the same in every process, for places where nobody gains by
//! a collision.

/// FNV-1a over bytes.
pub fn fnv(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The same with its bits spread: FNV mixes its last bytes badly.
pub fn spread(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let hash = fnv(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
