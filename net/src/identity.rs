//! What identifies a request over attempts, computed when it is first needed: most
//! requests are sent while no server has ended under any.

use std::sync::OnceLock;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use limpetferry_lib::call::Call;
use limpetferry_lib::fingerprint::Fingerprinter;
use limpetferry_lib::fingerprint::RequestContent;
use limpetferry_lib::fingerprint::RequestFingerprint;
use limpetferry_lib::workspace::Caller;
use limpetferry_platform::header;

/// The content of a request.
pub struct RequestIdentity {
    fingerprinter: Fingerprinter,
    caller: Caller,
    method: Method,
    uri: Uri,
    host: String,
    model: Option<Bytes>,
    object: Option<String>,
    max_tokens: u64,
    body: Bytes,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestIdentity {
    /// Creates the identity of a request whose server receives `body`.
    pub fn new(
        fingerprinter: &Fingerprinter,
        caller: &Caller,
        call: &Call,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Self {
        let host = headers.get("host").and_then(|host| host.to_str().ok());
        Self {
            fingerprinter: fingerprinter.clone(),
            caller: caller.clone(),
            method: method.clone(),
            uri: uri.clone(),
            host: host.unwrap_or_default().to_owned(),
            model: header::model(headers).map(Bytes::copy_from_slice),
            object: call.object.clone(),
            max_tokens: call.max_tokens,
            body: body.clone(),
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let workspace = self.caller.workspace();
            let path = self.uri.path_and_query();
            self.fingerprinter.fingerprint(&RequestContent {
                workspace: workspace.map(|workspace| &*workspace.name),
                host: &self.host,
                method: self.method.as_str(),
                path: path.map_or("", |path| path.as_str()),
                object: self.object.as_deref(),
                model: self.model.as_deref(),
                max_tokens: self.max_tokens,
                body: &self.body,
            })
        })
    }
}
