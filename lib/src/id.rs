//! Newtypes for identifiers that are exchanged between processes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use thiserror::Error;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a process of the system: an entry or a side process.
    NodeId
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Name of an operator, who has one configuration document.
    Operator
}
name_type! {
    /// Name of a deployment within an operator's document.
    Deployment
}
name_type! {
    /// Name of a tool service or plain service within a deployment.
    Service
}
name_type! {
    /// Name of a model within a deployment.
    Model
}

/// Error of parsing an identifier.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is not in the format of program ids.
    #[error("program id {0:?} is malformed; use the id that POST /v1/programs returned")]
    Program(String),
}

/// Identifies a program. Sub-agents have the `root` of their parent and are
/// therefore in the same shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProgramId {
    /// Random number that all programs of a tree share; it determines the shard.
    pub root: u64,
    /// Random number of this program within its tree; zero for a single call.
    pub leaf: u64,
}

impl ProgramId {
    /// Returns the shard of the program among `count` shards.
    ///
    /// # Panics
    ///
    /// Panics if `count` is zero; the check of the settings rejects zero.
    pub fn shard(self, count: u16) -> ShardId {
        assert!(count > 0, "a system has at least one shard");
        ShardId((self.root % u64::from(count)) as u16)
    }

    /// Derives the program id of a call without a program from the call's id.
    pub fn for_single_call(call: CallId) -> Self {
        Self {
            root: call.0 as u64,
            leaf: 0,
        }
    }

    /// Returns whether this is the id of a call without a program.
    pub fn is_single_call(self) -> bool {
        self.leaf == 0
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p-{:016x}-{:016x}", self.root, self.leaf)
    }
}

impl FromStr for ProgramId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let refuse = || IdError::Program(text.chars().take(64).collect());
        let rest = text.strip_prefix("p-").ok_or_else(refuse)?;
        let (root, leaf) = rest.split_once('-').ok_or_else(refuse)?;
        if root.len() != 16 || leaf.len() != 16 {
            return Err(refuse());
        }
        let root = u64::from_str_radix(root, 16).map_err(|_| refuse())?;
        let leaf = u64::from_str_radix(leaf, 16).map_err(|_| refuse())?;
        if leaf == 0 {
            return Err(refuse());
        }
        Ok(Self { root, leaf })
    }
}

/// Identifies a call. The same idempotency key in the same program yields the
/// same id at every entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u128);

impl CallId {
    /// Derives the id of a call from its idempotency key and the scope of the
    /// key (the program, or the deployment for a call without one).
    pub fn derive(scope: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((scope.len() as u64).to_be_bytes());
        hash.update(scope);
        hash.update(key);
        let bytes = hash.finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&bytes[..16]);
        Self(u128::from_be_bytes(half))
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c-{:032x}", self.0)
    }
}

/// Number of a shard, a fixed partition of all programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number that grows by one with each change of a shard's owner or keeper.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Distinguishes restarts of a process: the revision of the key-value service
/// at which the process registered.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Boot(pub u64);

impl fmt::Display for Boot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Version number of an operator's configuration document.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Digest of a body or of a chain of history entries: the first 16 bytes of a
/// SHA-256.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Hashes `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self::default().then(bytes)
    }

    /// Returns the digest of the chain that extends this one by `bytes`.
    #[must_use]
    pub fn then(self, bytes: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0);
        hash.update(bytes);
        let full = hash.finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&full[..16]);
        Self(half)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
