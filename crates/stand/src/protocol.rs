//! The application protocol between callers and backend servers. A message is a line of text,
//! followed by a body.

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Subscribes to a live feed: the server sends lines at an interval until the caller closes the
    /// connection.
    Feed {
        /// Time between two lines, in milliseconds.
        interval: u64,
    },
    /// Makes a check-in or reservation. It is not idempotent, so each id must reach a server at most
    /// once.
    Checkin {
        /// Identifier chosen by the caller, unique while the caller runs.
        id: u64,
        /// Length of the body that follows, in bytes. The answer echoes the body.
        length: usize,
    },
    /// Downloads a body of the given length.
    Map {
        /// Length of the answer's body, in bytes.
        length: usize,
    },
}

/// The header line of an answer to [`Request::Checkin`] and [`Request::Map`].
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
    /// Returns the first line of the request, with its line end.
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

    /// Parses the first line of a request, without its line end.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[..] {
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

    /// Returns the length of the body that follows the first line, in bytes.
    #[must_use]
    pub fn body_length(&self) -> usize {
        match self {
            Request::Checkin { length, .. } => *length,
            _ => 0,
        }
    }
}

impl Answer {
    /// Encodes an answer of `server` with `body`.
    #[must_use]
    pub fn encode(server: &str, body: &[u8]) -> Vec<u8> {
        let hash = blake3::hash(body).to_hex();
        let mut bytes = format!("OK {server} {} {hash}\n", body.len()).into_bytes();
        bytes.extend(body);
        bytes
    }

    /// Parses the first line of an answer, without its line end.
    ///
    /// ```
    /// use acacia_stand::protocol::Answer;
    /// let bytes = Answer::encode("a", b"body");
    /// let line = std::str::from_utf8(&bytes).unwrap().lines().next().unwrap();
    /// assert_eq!(Answer::parse(line).unwrap().length, 4);
    /// ```
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let fields: Vec<&str> = line.split(' ').collect();
        let ["OK", server, length, hash] = fields[..] else {
            return None;
        };
        Some(Answer {
            server: server.to_owned(),
            length: length.parse().ok()?,
            hash: hash.to_owned(),
        })
    }
}

/// Removes the first line from `buffer` and returns it without its line end, or returns `None` if
/// the line is not complete.
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
