//! Reading and writing of recordings.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::io::{self, BufRead, Write};

/// Maximum length of a line: a body of 1 MiB in base64, and room for the other fields.
const MAX_LINE_BYTES: u64 = 2 << 20;
const FORMAT: &str = "mulleinslip-traffic";
const VERSION: u32 = 1;

/// A message as a client submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// Time in microseconds from the start of the recording.
    pub at_us: u64,
    /// The client's id of the message.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Number of its destination.
    pub dest: u64,
    /// Time within which it may be delivered.
    pub budget_ms: u64,
    /// Idempotency key, by which partners recognise a repeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Order key: messages with the same key are delivered in order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order_key: Option<String>,
    /// The body.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
/// The first line of a recording.
struct Header {
    format: String,
    version: u32,
}

fn to_base64<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(body))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Writes a recording.
pub struct Writer<W>(W);

impl<W: Write> Writer<W> {
    /// Begins a recording by writing its first line.
    ///
    /// # Errors
    /// Returns errors of the underlying writer.
    pub fn new(mut output: W) -> io::Result<Writer<W>> {
        let header = Header { format: FORMAT.into(), version: VERSION };
        serde_json::to_writer(&mut output, &header)?;
        output.write_all(b"\n")?;
        Ok(Writer(output))
    }

    /// Writes a message.
    ///
    /// # Errors
    /// Returns errors of the underlying writer.
    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        self.0.write_all(&line)
    }

    /// Flushes the recording and returns the underlying writer.
    pub fn finish(mut self) -> io::Result<W> {
        self.0.flush()?;
        Ok(self.0)
    }
}

/// Error from reading a recording.
#[derive(Debug)]
pub enum ReadError {
    /// Error of the underlying reader.
    Io(io::Error),
    /// The first line is not that of a recording of this version.
    Header,
    /// An invalid line: its number, counted from 1, and what is wrong with which field.
    Line(usize, String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Io(e) => write!(f, "recording: {e}"),
            ReadError::Header => write!(f, "line 1: not a recording of version {VERSION}"),
            ReadError::Line(number, reason) => write!(f, "line {number}: {reason}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Reads a recording one message at a time.
pub struct Reader<R> {
    input: R,
    /// Number of the current line.
    line: usize,
    last_us: u64,
}

impl<R: BufRead> Reader<R> {
    /// Begins reading with the first line, which tells format and version.
    ///
    /// # Errors
    /// Returns a [`ReadError`] if the first line can't be read or is not that of a recording of this version.
    pub fn new(input: R) -> Result<Reader<R>, ReadError> {
        let mut reader = Reader { input, line: 0, last_us: 0 };
        let header = reader.read_line().transpose()?.ok_or(ReadError::Header)?;
        let header: Header = serde_json::from_slice(&header).map_err(|_| ReadError::Header)?;
        match header.format == FORMAT && header.version == VERSION {
            true => Ok(reader),
            false => Err(ReadError::Header),
        }
    }

    /// Returns the next complete line without its line feed, or `None` at the end.
    fn read_line(&mut self) -> Option<Result<Vec<u8>, ReadError>> {
        self.line += 1;
        let mut line = Vec::new();
        match io::Read::take(&mut self.input, MAX_LINE_BYTES).read_until(b'\n', &mut line) {
            Err(e) => Some(Err(ReadError::Io(e))),
            Ok(n) if n as u64 == MAX_LINE_BYTES => Some(Err(ReadError::Line(self.line, "too long".into()))),
            // The end of the recording, or an incomplete last line.
            Ok(_) => line.ends_with(b"\n").then(|| {
                line.pop();
                Ok(line)
            }),
        }
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Message, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        let line = match self.read_line()? {
            Ok(line) => line,
            Err(e) => return Some(Err(e)),
        };
        let message: Result<Message, _> = serde_json::from_slice(&line);
        Some(match message {
            Err(e) => Err(ReadError::Line(self.line, e.to_string())),
            Ok(m) if m.at_us < self.last_us => {
                Err(ReadError::Line(self.line, "`at_us` is before that of the line above".into()))
            }
            Ok(m) => {
                self.last_us = m.at_us;
                Ok(m)
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(at_us: u64) -> Message {
        let (id, class, tenant) = (format!("m{at_us}"), "safe".into(), "acme".into());
        let (key, order_key) = (Some("k".into()), None);
        Message { at_us, id, class, tenant, dest: 7, budget_ms: 900, key, order_key, body: vec![0, 255, 10] }
    }

    fn recording() -> Vec<u8> {
        let mut writer = Writer::new(Vec::new()).unwrap();
        (0..3).for_each(|n| writer.write(&message(n)).unwrap());
        writer.finish().unwrap()
    }

    /// Guards against a recording that can't be read, or read wrongly, after the recorder was killed in a
    /// line.
    #[test]
    fn recording_is_read_without_an_incomplete_last_line() {
        let bytes = recording();
        let line_ends: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] == b'\n').collect();
        for cut in 0..=bytes.len() {
            let complete = line_ends.iter().filter(|at| **at < cut).count();
            match Reader::new(&bytes[..cut]) {
                Err(ReadError::Header) => assert_eq!(complete, 0),
                Err(e) => panic!("{e}"),
                Ok(reader) => {
                    let messages: Vec<Message> = reader.map(Result::unwrap).collect();
                    assert_eq!(
                        messages,
                        (0..complete as u64 - 1).map(message).collect::<Vec<_>>(),
                        "wrong messages from a recording cut at byte {cut}"
                    );
                }
            }
        }
    }

    /// Guards against errors that don't tell which line or field is invalid.
    #[test]
    fn read_errors_name_line_and_field() {
        let text = String::from_utf8(recording()).unwrap();
        let error = |from: &str, to: &str| {
            let text = text.replacen(from, to, 1);
            let reader = Reader::new(text.as_bytes());
            reader.and_then(|r| r.collect::<Result<Vec<_>, _>>()).unwrap_err().to_string()
        };
        assert!(error("\"version\":1", "\"version\":2").contains("line 1"));
        let missing = error("\"class\":\"safe\",", "");
        assert!(
            missing.contains("line 2") && missing.contains("class"),
            "line or field not named: {missing}"
        );
        assert!(error("\"at_us\":1", "\"at_us\":9").contains("line 4: `at_us`"));
        assert!(error("AP8K", "A*8K").contains("line 2"));
        assert!(error("\"dest\":7", "\"dest\":7,\"x\":1").contains("unknown field `x`"));
    }
}
