//! Workspaces of the operator's routing document: identifies the sender of a
//! request by its key, and holds the sender's rate limit.
//!
//! Keys are never stored. Disk and memory hold only HMACs of keys under a secret
//! of the system, so that somebody who reads a disk cannot test guessed keys
//! without that secret.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use hmac::Hmac;
use hmac::Mac as _;
use sha2::Sha256;
use thiserror::Error;

/// Separates the name of a workspace from an id in a scoped id. Header values
/// cannot contain it, so no caller can name an id of another workspace.
const SCOPE_SEPARATOR: char = '\u{1f}';

/// The text is not a valid key digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a key's digest has not {len} hexadecimal digits; write the document again", len = 2 * KeyDigest::BYTES)]
pub struct DigestError;

/// HMAC of a key under the system's secret.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; KeyDigest::BYTES]);

impl KeyDigest {
    /// Length in bytes; half of SHA-256, since a collision of two keys brings no
    /// advantage.
    const BYTES: usize = 16;

    /// Returns the digest as hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses a digest from hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns a [`DigestError`] if the text has another length or other
    /// characters.
    pub fn from_hex(text: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; Self::BYTES];
        if text.len() != 2 * Self::BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Computes the digests of keys under one secret.
#[derive(Clone)]
pub struct KeyDigester(Hmac<Sha256>);

impl KeyDigester {
    /// Creates a digester. All processes of a system share the secret, since they
    /// exchange digests.
    ///
    /// # Panics
    ///
    /// Does not panic: HMAC accepts secrets of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts secrets of any length"))
    }

    /// Returns the digest of a key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut mac = self.0.clone();
        mac.update(key);
        let full = mac.finalize().into_bytes();
        let mut truncated = [0; KeyDigest::BYTES];
        truncated.copy_from_slice(&full[..KeyDigest::BYTES]);
        KeyDigest(truncated)
    }
}

impl fmt::Debug for KeyDigester {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigester(..)")
    }
}

/// Rate limit of a workspace over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests that are allowed in addition to the rate, in any interval.
    pub burst: f64,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Priority of its requests, 0 the highest; `None` for that of the route.
    pub priority: Option<u8>,
    /// Rate limit; `None` if there is none.
    pub allowance: Option<Allowance>,
}

impl Workspace {
    /// Returns `id` scoped to this workspace. Programs and turns are stored under
    /// scoped ids, so that no request can find those of another workspace.
    pub fn scope(&self, id: &str) -> Arc<str> {
        format!("{}{SCOPE_SEPARATOR}{id}", self.name).into()
    }
}

/// Sender of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The routing document defines no workspaces: credentials of callers are
    /// passed to the servers, which check them.
    Unchecked,
    /// A caller without a key on a route that requires none.
    Anonymous,
    /// A workspace, identified by its key.
    Workspace(Arc<Workspace>),
}

impl Caller {
    /// Returns the workspace, if there is one.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Returns `id` scoped to the caller's workspace, or unchanged without one.
    pub fn scope(&self, id: &Arc<str>) -> Arc<str> {
        let workspace = self.workspace();
        workspace.map_or_else(|| id.clone(), |workspace| workspace.scope(id))
    }
}

/// The workspaces of one version of the routing document.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    keys: HashMap<KeyDigest, Arc<Workspace>>,
    count: usize,
}

impl Workspaces {
    /// Builds the index from workspaces and the digests of their keys.
    pub fn new(all: impl IntoIterator<Item = (Workspace, Vec<KeyDigest>)>) -> Self {
        let mut workspaces = Self::default();
        for (workspace, keys) in all {
            let workspace = Arc::new(workspace);
            workspaces.count += 1;
            let keys = keys.into_iter().map(|key| (key, workspace.clone()));
            workspaces.keys.extend(keys);
        }
        workspaces
    }

    /// Returns the workspace of a key, in constant time for any number of keys.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
