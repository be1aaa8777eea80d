//! Non-cryptographic hashes that are equal in every process, for uses where a
//! deliberate collision brings no advantage.

/// 64-bit FNV-1a.
pub fn fnv(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// FNV-1a with a finalizer, because FNV mixes the last bytes of its input
/// poorly.
pub fn mixed_fnv(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let hash = fnv(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
