//! Log lines: one of key=value pairs for each event, through log4rs.

use std::io::Write as _;

use eyre::WrapErr as _;
use limpetferry_lib::effect::LogEvent;
use log::LevelFilter;
use log::Record;
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::Appender;
use log4rs::config::Root;
use log4rs::encode::Encode as _;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::log_queue::LogQueue;
use crate::log_queue::QueueAppender;
use crate::settings::LogSettings;

/// One line: time, level, and the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";
/// Longest value in a line.
const MAX_VALUE: usize = 512;

/// Starts logging as the settings say.
///
/// # Errors
///
/// Returns an error if the file cannot be written or logging was started
/// before.
pub fn init(settings: &LogSettings) -> eyre::Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &settings.file {
        Some(file) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(file)
                .wrap_err_with(|| {
                    format!("cannot write {}; name another log.file", file.display())
                })?,
        ),
        None => Box::new(QueueAppender {
            queue: LogQueue::start(std::io::stdout())?,
            encoder,
        }),
    };
    let level = if settings.debug {
        LevelFilter::Debug
    } else {
        LevelFilter::Info
    };
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Waits a moment for the last lines to be written.
pub fn flush() {
    log::logger().flush();
}

/// Writes an event as one line.
pub fn note(node: &str, note: &LogEvent) {
    let level = if note.event == "call_ended" {
        log::Level::Debug
    } else {
        log::Level::Info
    };
    if log::log_enabled!(level) {
        log::log!(level, "{}", line(node, note));
    }
}

/// Writes an event that ends the process: to the log, or to standard error if the log has
/// not been started. Waits a moment for it to be written.
pub fn note_end(node: &str, note: &LogEvent) {
    let text = line(node, note);
    if log::max_level() >= log::Level::Error {
        log::error!("{text}");
        flush();
        return;
    }
    let mut line = SimpleWriter(Vec::new());
    let mut record = Record::builder();
    record.level(log::Level::Error);
    let encoded = PatternEncoder::new(PATTERN)
        .encode(&mut line, &record.args(format_args!("{text}")).build());
    if encoded.is_ok() {
        // Without a reader there is nobody to tell.
        let _ = std::io::stderr().write_all(&line.0);
    }
}

/// Returns the pairs of an event as text. Values are quoted where they hold
/// anything but plain characters, so that no caller can forge a pair or a
/// line.
pub fn line(node: &str, note: &LogEvent) -> String {
    let mut text = format!("node={} event={}", escape(node), note.event);
    for (key, value) in &note.pairs {
        text.push(' ');
        text.push_str(key);
        text.push('=');
        text.push_str(&escape(value));
    }
    text
}

fn escape(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !value.is_empty() && value.len() <= MAX_VALUE && value.chars().all(plain) {
        return value.to_owned();
    }
    let cut: String = value.chars().take(MAX_VALUE).collect();
    format!("{cut:?}")
}
