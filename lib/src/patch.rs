//! Patches, by which operators change their documents.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::document::AppliedPatch;
use crate::document::Document;
use crate::document::Envelope;
use crate::document::Fault;
use crate::id::Digest;
use crate::id::Operator;
use crate::id::Version;

/// Number of applied patches that are recorded in an envelope, to recognise
/// patches that are sent again.
pub const MAX_APPLIED_PATCHES: usize = 64;

/// The change that a patch makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// A JSON merge patch (RFC 7396).
    Merge(serde_json::Value),
    /// A JSON patch (RFC 6902).
    Steps(json_patch::Patch),
}

/// A patch as sent by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id that distinguishes a new patch from a retry.
    pub id: String,
    /// Version that the patch is based on.
    pub base: Version,
    /// The change.
    pub change: Change,
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Who sent the patch.
    pub who: String,
    /// When it was applied, in seconds since the Unix epoch.
    pub when: u64,
    /// The patch's id.
    pub id: String,
    /// Version that it was applied to.
    pub base: Version,
    /// Version that it resulted in.
    pub version: Version,
    /// The change of the document, as a JSON patch.
    pub difference: json_patch::Patch,
}

/// Why a patch was rejected; no part of it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PatchError {
    /// Another patch was applied after the version that the patch is based on.
    #[error(
        "the patch names version {base}, but {current} is current; read it, adapt the patch and send it under a new id"
    )]
    Conflict {
        /// Version that the patch is based on.
        base: Version,
        /// The current version.
        current: Version,
    },
    /// The id was used for another patch.
    #[error("patch id {0:?} was used for another patch; choose a new id")]
    IdReused(String),
    /// The id is empty or too long.
    #[error("the patch id has {0} characters; give 1 to 128")]
    BadId(usize),
    /// An operation of the JSON patch cannot be applied to the document.
    #[error("the patch does not fit the document: {0}; read the current version")]
    Unfit(String),
    /// The resulting document is invalid.
    #[error("{}", join_faults(.0))]
    Faulty(Vec<Fault>),
}

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Result of applying a patch to an envelope.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The patch was applied earlier and resulted in this version.
    AlreadyApplied(Version),
    /// The new envelope and its audit entry, both still to be stored.
    New(Box<Envelope>, Box<AuditEntry>),
}

/// Returns the initial envelope of an operator, before any patch.
pub fn empty_envelope(operator: &Operator) -> Envelope {
    Envelope {
        operator: operator.clone(),
        version: Version::default(),
        document: serde_json::json!({"servers": {}, "deployments": {}}),
        patches: Vec::new(),
    }
}

/// Applies `patch` to `envelope`, completely or not at all. `when` is in seconds
/// since the Unix epoch, which is 1970-01-01.
///
/// # Errors
///
/// Returns a [`PatchError`] that states how to correct the patch.
pub fn apply(
    envelope: &Envelope,
    patch: &Patch,
    who: &str,
    when: u64,
) -> Result<Applied, PatchError> {
    if patch.id.is_empty() || patch.id.len() > 128 {
        return Err(PatchError::BadId(patch.id.len()));
    }
    let digest = Digest::of(&serde_json::to_vec(patch).unwrap_or_default());
    if let Some(old) = envelope.patches.iter().find(|old| old.id == patch.id) {
        if old.digest == digest {
            return Ok(Applied::AlreadyApplied(old.version));
        }
        return Err(PatchError::IdReused(patch.id.clone()));
    }
    if patch.base != envelope.version {
        return Err(PatchError::Conflict {
            base: patch.base,
            current: envelope.version,
        });
    }
    let document = apply_change(&envelope.document, &patch.change)?;
    Document::parse(&document).map_err(PatchError::Faulty)?;
    let version = Version(envelope.version.0 + 1);
    let audit = AuditEntry {
        who: who.to_owned(),
        when,
        id: patch.id.clone(),
        base: patch.base,
        version,
        difference: json_patch::diff(&envelope.document, &document),
    };
    let mut patches = envelope.patches.clone();
    patches.push(AppliedPatch {
        id: patch.id.clone(),
        digest,
        version,
    });
    let surplus = patches.len().saturating_sub(MAX_APPLIED_PATCHES);
    patches.drain(..surplus);
    let next = Envelope {
        operator: envelope.operator.clone(),
        version,
        document,
        patches,
    };
    Ok(Applied::New(Box::new(next), Box::new(audit)))
}

fn apply_change(
    document: &serde_json::Value,
    change: &Change,
) -> Result<serde_json::Value, PatchError> {
    let mut document = document.clone();
    match change {
        Change::Merge(value) => json_patch::merge(&mut document, value),
        Change::Steps(steps) => json_patch::patch(&mut document, steps)
            .map_err(|error| PatchError::Unfit(error.to_string()))?,
    }
    Ok(document)
}
