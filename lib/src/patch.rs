//! Patches: how an operator changes the document.

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

/// How many applied patches a document remembers.
pub const REMEMBERED_PATCHES: usize = 64;

/// The change that a patch makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// A JSON merge patch (RFC 7396).
    Merge(serde_json::Value),
    /// A JSON patch (RFC 6902).
    Steps(json_patch::Patch),
}

/// A patch as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id that tells a patch sent again from a new one.
    pub id: String,
    /// Version that the operator saw.
    pub base: Version,
    /// The change.
    pub change: Change,
}

/// A line of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditLine {
    /// Who sent the patch.
    pub who: String,
    /// When it was applied, in seconds since 1970.
    pub when: u64,
    /// The patch's id.
    pub id: String,
    /// Version that it changed.
    pub base: Version,
    /// Version that it led to.
    pub version: Version,
    /// The difference, as a JSON patch.
    pub difference: json_patch::Patch,
}

/// Says why a patch was refused; nothing of it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PatchError {
    /// Another patch came first.
    #[error(
        "the patch names version {base}, but {current} is current; read it, adapt the patch and send it under a new id"
    )]
    Conflict {
        /// Version that the patch names.
        base: Version,
        /// Version that is current.
        current: Version,
    },
    /// The id was used for another patch.
    #[error("patch id {0:?} was used for another patch; choose a new id")]
    IdReused(String),
    /// The id is empty or too long.
    #[error("the patch id has {0} characters; give 1 to 128")]
    BadId(usize),
    /// A step of the JSON patch does not fit the document.
    #[error("the patch does not fit the document: {0}; read the current version")]
    Unfit(String),
    /// The document that results fails its check.
    #[error("{}", join(.0))]
    Faulty(Vec<Fault>),
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// What a patch does to an envelope.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It was applied before; this is the version that it led to.
    Before(Version),
    /// It applies; this is to be written, with its audit line.
    Now(Box<Envelope>, Box<AuditLine>),
}

/// Returns the envelope of an operator who has sent no patch yet.
pub fn empty_envelope(operator: &Operator) -> Envelope {
    Envelope {
        operator: operator.clone(),
        version: Version::default(),
        document: serde_json::json!({"servers": {}, "deployments": {}}),
        patches: Vec::new(),
    }
}

/// Applies `patch` to `envelope`, whole or not at all. `when` is in seconds
/// since 1970.
///
/// # Errors
///
/// Returns a [`PatchError`] that says what to mend.
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
            return Ok(Applied::Before(old.version));
        }
        return Err(PatchError::IdReused(patch.id.clone()));
    }
    if patch.base != envelope.version {
        return Err(PatchError::Conflict {
            base: patch.base,
            current: envelope.version,
        });
    }
    let document = changed(&envelope.document, &patch.change)?;
    Document::parse(&document).map_err(PatchError::Faulty)?;
    let version = Version(envelope.version.0 + 1);
    let audit = AuditLine {
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
    let surplus = patches.len().saturating_sub(REMEMBERED_PATCHES);
    patches.drain(..surplus);
    let next = Envelope {
        operator: envelope.operator.clone(),
        version,
        document,
        patches,
    };
    Ok(Applied::Now(Box::new(next), Box::new(audit)))
}

fn changed(document: &serde_json::Value, change: &Change) -> Result<serde_json::Value, PatchError> {
    let mut document = document.clone();
    match change {
        Change::Merge(value) => json_patch::merge(&mut document, value),
        Change::Steps(steps) => json_patch::patch(&mut document, steps)
            .map_err(|error| PatchError::Unfit(error.to_string()))?,
    }
    Ok(document)
}
