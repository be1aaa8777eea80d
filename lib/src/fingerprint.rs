//! Identity of a request over attempts, gateways, programs and sessions: a keyed
//! hash of what a server receives to work on.

use std::fmt;
use std::sync::Arc;

use hmac::Hmac;
use hmac::Mac as _;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

/// Separates these digests from others under the same secret.
const DOMAIN: &[u8] = b"limpetferry request fingerprint 1";

/// What a server receives to work on. Attempt, deadline, program, session and the
/// ids of prompt parts are left out: they change from one try, or one caller, to the
/// next, and do not change the work.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Workspace of the caller, if it has one: no caller can have the request of
    /// another workspace refused, or find out that it was sent.
    pub workspace: Option<&'a str>,
    /// Host name.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The object that the request concerns.
    pub object: Option<&'a str>,
    /// The model that it asks for.
    pub model: Option<&'a [u8]>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// The body, with the history of the turn.
    pub body: &'a [u8],
}

/// Identity of a request; equal for equal contents.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; RequestFingerprint::BYTES]);

impl RequestFingerprint {
    /// Length in bytes; half of SHA-256, against collisions that a caller searches
    /// for.
    const BYTES: usize = 16;

    /// Returns the fingerprint as hexadecimal digits.
    pub fn to_hex(self) -> Arc<str> {
        let digits = self.0.iter().map(|byte| format!("{byte:02x}"));
        digits.collect::<String>().into()
    }

    /// Parses a fingerprint from hexadecimal digits; `None` if the text is no
    /// fingerprint.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * Self::BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; Self::BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex())
    }
}

/// Computes fingerprints under one secret.
#[derive(Clone)]
pub struct Fingerprinter(Hmac<Sha256>);

impl Fingerprinter {
    /// Creates a fingerprinter. All processes of a system share the secret, since
    /// they exchange fingerprints.
    ///
    /// # Panics
    ///
    /// Does not panic: HMAC accepts secrets of any length.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts secrets of any length");
        mac.update(DOMAIN);
        Self(mac)
    }

    /// Returns the fingerprint of a request.
    pub fn fingerprint(&self, content: &RequestContent<'_>) -> RequestFingerprint {
        let mut mac = self.0.clone();
        // The length before each field keeps neighbouring fields apart.
        let mut add = |field: &[u8]| {
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        };
        let mut add_some = |field: Option<&[u8]>| match field {
            Some(field) => {
                add(b"some");
                add(field);
            }
            None => add(b"none"),
        };
        add_some(content.workspace.map(str::as_bytes));
        add_some(content.object.map(str::as_bytes));
        add_some(content.model);
        add(content.host.as_bytes());
        add(content.method.as_bytes());
        add(content.path.as_bytes());
        add(&content.max_tokens.to_le_bytes());
        add(content.body);
        let full = mac.finalize().into_bytes();
        let mut truncated = [0; RequestFingerprint::BYTES];
        truncated.copy_from_slice(&full[..RequestFingerprint::BYTES]);
        RequestFingerprint(truncated)
    }
}

impl fmt::Debug for Fingerprinter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Fingerprinter(..)")
    }
}
