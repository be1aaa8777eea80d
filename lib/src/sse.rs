//! Parses event streams of model engines and assembles the complete answer from
//! their events.

use serde_json::Value;
use serde_json::json;

use crate::history::Turn;

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseEvent {
    /// Part of the answer: the unchanged bytes, with the blank line at the end.
    Chunk(Vec<u8>),
    /// The event that ends the stream.
    End,
}

/// Splits a byte stream into events and assembles the answer.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// Bytes of an event that is not yet complete.
    buffer: Vec<u8>,
    role: Option<String>,
    content: String,
    tool_calls: Vec<Value>,
    finish: Option<Value>,
    model: Option<Value>,
    usage: Option<Value>,
}

impl Assembler {
    /// Appends bytes of the stream and returns the events completed by them.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event).into_owned();
            let data = text.lines().find_map(|line| line.strip_prefix("data:"));
            match data.map(str::trim) {
                Some(END_MARKER) => events.push(SseEvent::End),
                Some(data) => {
                    if let Ok(value) = serde_json::from_str(data) {
                        self.add(&value);
                    }
                    events.push(SseEvent::Chunk(event));
                }
                None => {}
            }
        }
        events
    }

    fn add(&mut self, value: &Value) {
        if let Some(usage) = value.get("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.clone());
        }
        if let Some(model) = value.get("model") {
            self.model.get_or_insert_with(|| model.clone());
        }
        let choice = &value["choices"][0];
        if let Some(finish) = choice.get("finish_reason").filter(|f| !f.is_null()) {
            self.finish = Some(finish.clone());
        }
        let delta = &choice["delta"];
        if let Some(role) = delta["role"].as_str() {
            self.role = Some(role.to_owned());
        }
        if let Some(content) = delta["content"].as_str() {
            self.content.push_str(content);
        }
        for call in delta["tool_calls"].as_array().into_iter().flatten() {
            self.add_tool_call(call);
        }
    }

    fn add_tool_call(&mut self, piece: &Value) {
        let index = piece["index"].as_u64().unwrap_or(0) as usize;
        if index > self.tool_calls.len() {
            return;
        }
        if index == self.tool_calls.len() {
            let empty_call = json!({"id": piece["id"], "type": "function",
                               "function": {"name": "", "arguments": ""}});
            self.tool_calls.push(empty_call);
        }
        for field in ["name", "arguments"] {
            let Some(more) = piece["function"][field].as_str() else {
                continue;
            };
            let value = &mut self.tool_calls[index]["function"][field];
            let text = value.as_str().unwrap_or_default().to_owned();
            *value = Value::String(text + more);
        }
    }

    /// Returns the number of tokens of prompt and answer as reported by the
    /// engine; zero if it reported none.
    pub fn tokens(&self) -> u64 {
        let usage = self.usage.as_ref();
        usage
            .and_then(|usage| usage["total_tokens"].as_u64())
            .unwrap_or(0)
    }

    /// Returns the message that the answer appends to a history.
    pub fn turn(&self) -> Turn {
        Turn::new(self.message().to_string())
    }

    fn message(&self) -> Value {
        let role = self.role.as_deref().unwrap_or("assistant");
        let mut message = json!({"role": role, "content": self.content});
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = Value::Array(self.tool_calls.clone());
        }
        message
    }

    /// Returns the complete answer in the format for callers that did not request
    /// a stream.
    pub fn completion(&self, id: &str) -> Value {
        json!({
            "id": id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": self.message(), "finish_reason": self.finish}],
            "usage": self.usage,
        })
    }
}
