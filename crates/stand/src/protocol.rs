//! What callers ask of backend servers, and what these answer: a line of text, then a body.

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// A live feed: a line every so many milliseconds until the caller closes.
    Feed {
        /// Time between two lines, in milliseconds.
        interval: u64,
    },
    /// A check-in or reservation: not idempotent, so a server must see each id at most once.
    Checkin {
        /// Chosen by the caller, unique over its life.
        id: u64,
        /// Length of the body that follows, in bytes. The answer repeats the body.
        length: usize,
    },
    /// A download of so many bytes.
    Map {
        /// Length of the answer's body, in bytes.
        length: usize,
    },
}

/// The head of an answer to [`Request::Checkin`] and [`Request::Map`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The backend server that ran the request.
    pub server: String,
    /// Length of the body, in bytes.
    pub length: usize,
    /// BLAKE3 of the body, in hexadecimal.
    pub hash: String,
}

impl Request {
    /// The request's first line.
    ///
    /// ```
    /// use acacia_stand::protocol::Request;
    /// let request = Request::Map { length: 9 };
    /// assert_eq!(Request::parse(request.line().trim_end()), Some(request));
    /// ```
    #[must_use]
    pub fn line(&self) -> String {
        match self {
            Request::Feed { interval } => format!("FEED {interval}\n"),
            Request::Checkin { id, length } => format!("CHECKIN {id} {length}\n"),
            Request::Map { length } => format!("MAP {length}\n"),
        }
    }

    /// Reads a first line, without its line end.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["FEED", interval] => Some(Request::Feed {
                interval: interval.parse().ok()?,
            }),
            ["CHECKIN", id, length] => Some(Request::Checkin {
                id: id.parse().ok()?,
                length: length.parse().ok()?,
            }),
            ["MAP", length] => Some(Request::Map {
                length: length.parse().ok()?,
            }),
            _ => None,
        }
    }

    /// Length of the body that follows the line, in bytes.
    #[must_use]
    pub fn body(&self) -> usize {
        match self {
            Request::Checkin { length, .. } => *length,
            _ => 0,
        }
    }
}

impl Answer {
    /// An answer with `body`, ready to send.
    #[must_use]
    pub fn encode(server: &str, body: &[u8]) -> Vec<u8> {
        let hash = blake3::hash(body).to_hex();
        let mut bytes = format!("OK {server} {} {hash}\n", body.len()).into_bytes();
        bytes.extend(body);
        bytes
    }

    /// Reads an answer's first line, without its line end.
    ///
    /// ```
    /// use acacia_stand::protocol::Answer;
    /// let bytes = Answer::encode("a", b"body");
    /// let line = std::str::from_utf8(&bytes).unwrap().lines().next().unwrap();
    /// assert_eq!(Answer::parse(line).unwrap().length, 4);
    /// ```
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split(' ').collect();
        let ["OK", server, length, hash] = words[..] else {
            return None;
        };
        Some(Answer {
            server: server.to_owned(),
            length: length.parse().ok()?,
            hash: hash.to_owned(),
        })
    }
}

/// Takes the first line off `buffer` once it is complete; the line end is dropped.
///
/// ```
/// let mut buffer = b"one\ntw".to_vec();
/// assert_eq!(acacia_stand::protocol::take_line(&mut buffer).as_deref(), Some("one"));
/// assert_eq!(acacia_stand::protocol::take_line(&mut buffer), None);
/// ```
pub fn take_line(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let rest = buffer.split_off(end + 1);
    let line = std::mem::replace(buffer, rest);
    Some(String::from_utf8_lossy(&line[..end]).into_owned())
}
