//! Servers whose answers have no end.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::listen::any_loopback;

/// How long a server goes on with one answer.
const LONGEST: Duration = Duration::from_secs(6);
/// Bytes that are written at once.
const PIECE: usize = 64 << 10;

/// What of an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Interim answers before its head.
    Interim,
    /// Lines of its head.
    Head,
    /// One line of its head.
    HeadLine,
    /// Its body, in chunks.
    Chunks,
    /// The extension of the first chunk of its body.
    Extension,
    /// The trailers after its body.
    Trailers,
    /// Its body, which has neither a length nor chunks.
    Unframed,
    /// Its body, of a length that it never reaches.
    Length,
    /// Its body, of a length that it never reaches, as events.
    Events,
    /// What follows a whole answer.
    Excess,
    /// Bytes that are no answer.
    Noise,
}

impl Endless {
    fn head(self, attempt: &str) -> String {
        let own = format!("x-attempt-id: {attempt}\r\nx-server-signature: endless\r\n");
        let chunked = format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Interim | Self::Noise => String::new(),
            Self::Head => "HTTP/1.1 200 OK\r\n".to_owned(),
            Self::HeadLine => "HTTP/1.1 200 OK\r\nx-more: ".to_owned(),
            Self::Chunks => chunked,
            Self::Extension => format!("{chunked}5;name="),
            Self::Trailers => format!("{chunked}5\r\nwhole\r\n0\r\n"),
            Self::Unframed => format!("HTTP/1.1 200 OK\r\n{own}\r\n"),
            Self::Excess => format!("HTTP/1.1 200 OK\r\n{own}content-length: 5\r\n\r\nwhole"),
            Self::Length | Self::Events => {
                format!("HTTP/1.1 200 OK\r\n{own}content-length: 100000000000\r\n\r\n")
            }
        }
    }

    fn piece(self) -> Vec<u8> {
        let text = match self {
            Self::Interim => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
            Self::Head | Self::Trailers => "x-more: a line of a head\r\n".to_owned(),
            Self::Chunks => format!("1000\r\n{}\r\n", "x".repeat(0x1000)),
            Self::HeadLine | Self::Extension | Self::Unframed | Self::Length | Self::Excess => {
                "x".repeat(0x1000)
            }
            Self::Noise => "\u{1}\u{2}".repeat(0x800),
            Self::Events => "data: word\n\n".to_owned(),
        };
        text.repeat(PIECE / text.len()).into_bytes()
    }
}

/// Starts a server that answers each request without an end, until its caller closes.
/// Returns its address.
///
/// # Panics
///
/// Panics if no port is free.
pub fn start(endless: Endless) -> SocketAddr {
    let listener = TcpListener::bind(any_loopback()).expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has one");
    // A thread of its own: the tests' executor does not wait for it.
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream, endless));
        }
    });
    address
}

fn answer(mut stream: TcpStream, endless: Endless) -> Option<()> {
    let start = Instant::now();
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut bytes = [0; 1024];
        let size = stream.read(&mut bytes).ok().filter(|&size| size > 0)?;
        head.extend_from_slice(&bytes[..size]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
    let answer = endless.head(attempt.unwrap_or_default());
    stream.write_all(answer.as_bytes()).ok()?;
    let piece = endless.piece();
    while start.elapsed() < LONGEST {
        stream.write_all(&piece).ok()?;
    }
    Some(())
}
