//! Texts of turns, in pieces that several texts may share.
//!
//! Nine tenths of a program's first input is a prompt that other programs
//! begin with too. It is cut where its own bytes say so, so that equal
//! beginnings give equal pieces, and each piece is sent, written and held
//! once: later texts name it by its digest.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use bytes::BytesMut;
use fastcdc::v2020::FastCDC;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::Digest;

/// Size up to which a text is one piece of its own. Inputs of later turns are
/// some 1 or 2 kB and shared by nobody; a digest would cost more than it saves.
const WHOLE: usize = 4 << 10;
/// Least bytes of a shared piece: below it the digest is a large part.
const LEAST: usize = 256;
/// Usual bytes of a shared piece: half of it is lost where two texts part, of
/// the some 13 kB that they share.
const USUAL: usize = 1 << 10;
/// Most bytes of a shared piece.
const MOST: usize = 4 << 10;
/// Bytes of pieces that one end of a way remembers: some 80 prompts of the
/// sheets' size, where each kind of request has 3 to 10 of them.
const REMEMBERED: usize = 1 << 20;

/// Part of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Bytes of this text alone.
    Own(Bytes),
    /// Bytes that other texts may have too.
    Shared {
        /// Their digest.
        digest: Digest,
        /// The bytes.
        bytes: Bytes,
    },
    /// Bytes that the reader was given before, on the same way.
    Known(Digest),
}

impl Piece {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Own(bytes) | Self::Shared { bytes, .. } => bytes,
            Self::Known(_) => &[],
        }
    }
}

/// Says why a text cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a piece of a text was never sent: {0}; run the same version at both ends")]
pub struct UnknownPiece(Digest);

/// A text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Text {
    pieces: Vec<Piece>,
}

impl Text {
    /// Makes a text of its own bytes, which are not looked at.
    pub fn own(bytes: Bytes) -> Self {
        let pieces = if bytes.is_empty() {
            Vec::new()
        } else {
            vec![Piece::Own(bytes)]
        };
        Self { pieces }
    }

    /// Cuts bytes into pieces that other texts may share, if they are many.
    pub fn cut(bytes: Bytes) -> Self {
        if bytes.len() <= WHOLE {
            return Self::own(bytes);
        }
        let cuts = FastCDC::new(&bytes, LEAST, USUAL, MOST);
        let pieces = cuts.map(|cut| {
            let bytes = bytes.slice(cut.offset..cut.offset + cut.length);
            let digest = Digest::of(&bytes);
            Piece::Shared { digest, bytes }
        });
        Self {
            pieces: pieces.collect(),
        }
    }

    /// Returns its length in bytes.
    pub fn len(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes().len()).sum()
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns this text, then `bytes`.
    #[must_use]
    pub fn then(&self, bytes: &Bytes) -> Self {
        let mut pieces = self.pieces.clone();
        if !bytes.is_empty() {
            pieces.push(Piece::Own(bytes.clone()));
        }
        Self { pieces }
    }

    /// Puts its bytes at the end of `whole`.
    pub fn append_to(&self, whole: &mut BytesMut) {
        for piece in &self.pieces {
            whole.extend_from_slice(piece.bytes());
        }
    }

    /// Returns its bytes in one.
    pub fn bytes(&self) -> Bytes {
        let mut whole = BytesMut::with_capacity(self.len());
        self.append_to(&mut whole);
        whole.freeze()
    }
}

/// What one end of a way, a link or a file, has sent on it.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    known: HashSet<Digest>,
    bytes: usize,
}

impl Sent {
    /// Names by their digests those pieces of a text that the other end has.
    pub fn shorten(&mut self, text: &mut Text) {
        for piece in &mut text.pieces {
            let Piece::Shared { digest, bytes } = piece else {
                continue;
            };
            if self.known.contains(digest) {
                *piece = Piece::Known(*digest);
                continue;
            }
            // The other end forgets at the same piece.
            if self.bytes + bytes.len() > REMEMBERED {
                *self = Self::default();
            }
            self.bytes += bytes.len();
            self.known.insert(*digest);
        }
    }
}

/// What the other end of the way was given on it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    known: HashMap<Digest, Bytes>,
    bytes: usize,
}

impl Received {
    /// Puts the bytes in for those pieces that are only named. Texts have to
    /// come in the order in which they were shortened.
    ///
    /// # Errors
    ///
    /// Returns an [`UnknownPiece`] if a piece was never given.
    pub fn fill(&mut self, text: &mut Text) -> Result<(), UnknownPiece> {
        for piece in &mut text.pieces {
            match piece {
                Piece::Own(_) => {}
                Piece::Shared { digest, bytes } => {
                    if self.bytes + bytes.len() > REMEMBERED {
                        *self = Self::default();
                    }
                    self.bytes += bytes.len();
                    self.known.insert(*digest, bytes.clone());
                }
                Piece::Known(digest) => {
                    let digest = *digest;
                    let bytes = self.known.get(&digest).cloned();
                    let bytes = bytes.ok_or(UnknownPiece(digest))?;
                    *piece = Piece::Shared { digest, bytes };
                }
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Held {
    bytes: Bytes,
    texts: usize,
}

/// The shared pieces of many texts, each held once.
#[derive(Clone, Debug, Default)]
pub struct Pieces {
    held: HashMap<Digest, Held>,
}

impl Pieces {
    /// Has a text use the pieces that are held already, and holds the others.
    /// Returns the bytes that it adds.
    pub fn hold(&mut self, text: &mut Text) -> usize {
        let mut added = 0;
        for piece in &mut text.pieces {
            let Piece::Shared { digest, bytes } = piece else {
                added += piece.bytes().len();
                continue;
            };
            let held = self.held.entry(*digest).or_insert_with(|| {
                added += bytes.len();
                // Without the frame or the text that it was cut from.
                let bytes = Bytes::copy_from_slice(bytes);
                Held { bytes, texts: 0 }
            });
            held.texts += 1;
            *bytes = held.bytes.clone();
        }
        added
    }

    /// Lets go of a text that was held. Returns the bytes that it takes away.
    pub fn release(&mut self, text: &Text) -> usize {
        let mut gone = 0;
        for piece in &text.pieces {
            let Piece::Shared { digest, bytes } = piece else {
                gone += piece.bytes().len();
                continue;
            };
            let Some(held) = self.held.get_mut(digest) else {
                continue;
            };
            held.texts -= 1;
            if held.texts == 0 {
                gone += bytes.len();
                self.held.remove(digest);
            }
        }
        gone
    }
}
