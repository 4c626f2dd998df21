//! Reading and writing the format.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::io::{self, BufRead, Write};

/// The longest line that is read: a body of 1 MiB in base64, and room for the rest.
const MOST_LINE: u64 = 2 << 20;
const FORMAT: &str = "mulleinslip-traffic";
const VERSION: u32 = 1;

/// A message, as it was handed in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// When, in microseconds from the start.
    pub at_us: u64,
    /// The sender's id for it.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its destination.
    pub dest: u64,
    /// For how long it may be delivered.
    pub budget_ms: u64,
    /// What partners know a repeat by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The key within which messages go in order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order_key: Option<String>,
    /// What is carried.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Head {
    format: String,
    version: u32,
}

fn to_base64<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&BASE64_STANDARD.encode(body))
}

fn from_base64<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    BASE64_STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Writes a recording.
pub struct Writer<W>(W);

impl<W: Write> Writer<W> {
    /// Begins one.
    ///
    /// # Errors
    /// What writing gives.
    pub fn begin(mut to: W) -> io::Result<Writer<W>> {
        let head = Head { format: FORMAT.into(), version: VERSION };
        serde_json::to_writer(&mut to, &head)?;
        to.write_all(b"\n")?;
        Ok(Writer(to))
    }

    /// Adds a message.
    ///
    /// # Errors
    /// What writing gives.
    pub fn add(&mut self, message: &Message) -> io::Result<()> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        self.0.write_all(&line)
    }

    /// What it was written to.
    pub fn finish(mut self) -> io::Result<W> {
        self.0.flush()?;
        Ok(self.0)
    }
}

/// Why a recording can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// What reading gave.
    Io(io::Error),
    /// The first line is not that of a recording of this version.
    Head,
    /// A line that can't be read: its number, from 1, and what is wrong with it, by field.
    Line(usize, String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Io(e) => write!(f, "recording: {e}"),
            ReadError::Head => write!(f, "line 1: not a recording of version {VERSION}"),
            ReadError::Line(n, why) => write!(f, "line {n}: {why}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Reads a recording, a message at a time.
pub struct Reader<R> {
    from: R,
    line: usize,
    last_us: u64,
}

impl<R: BufRead> Reader<R> {
    /// Reads its first line.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub fn begin(from: R) -> Result<Reader<R>, ReadError> {
        let mut reader = Reader { from, line: 0, last_us: 0 };
        let head = reader.line().transpose()?.ok_or(ReadError::Head)?;
        let head: Head = serde_json::from_slice(&head).map_err(|_| ReadError::Head)?;
        match head.format == FORMAT && head.version == VERSION {
            true => Ok(reader),
            false => Err(ReadError::Head),
        }
    }

    /// A whole line without its end.
    fn line(&mut self) -> Option<Result<Vec<u8>, ReadError>> {
        self.line += 1;
        let mut line = Vec::new();
        match io::Read::take(&mut self.from, MOST_LINE).read_until(b'\n', &mut line) {
            Err(e) => Some(Err(ReadError::Io(e))),
            Ok(n) if n as u64 == MOST_LINE => Some(Err(ReadError::Line(self.line, "too long".into()))),
            // The end, or a line that was cut off.
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
        let line = match self.line()? {
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

    fn written() -> Vec<u8> {
        let mut writer = Writer::begin(Vec::new()).unwrap();
        (0..3).for_each(|n| writer.add(&message(n)).unwrap());
        writer.finish().unwrap()
    }

    #[test]
    fn what_is_written_is_read_and_a_cut_line_is_left_out() {
        let bytes = written();
        let lines: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] == b'\n').collect();
        for cut in 0..=bytes.len() {
            let whole = lines.iter().filter(|at| **at < cut).count();
            match Reader::begin(&bytes[..cut]) {
                Err(ReadError::Head) => assert_eq!(whole, 0),
                Err(e) => panic!("{e}"),
                Ok(reader) => {
                    let all: Vec<Message> = reader.map(Result::unwrap).collect();
                    assert_eq!(all, (0..whole as u64 - 1).map(message).collect::<Vec<_>>(), "cut at {cut}");
                }
            }
        }
    }

    #[test]
    fn errors_name_line_and_field() {
        let text = String::from_utf8(written()).unwrap();
        let error = |from: &str, to: &str| {
            let text = text.replacen(from, to, 1);
            let reader = Reader::begin(text.as_bytes());
            reader.and_then(|r| r.collect::<Result<Vec<_>, _>>()).unwrap_err().to_string()
        };
        assert!(error("\"version\":1", "\"version\":2").contains("line 1"));
        let missing = error("\"class\":\"safe\",", "");
        assert!(missing.contains("line 2") && missing.contains("class"), "{missing}");
        assert!(error("\"at_us\":1", "\"at_us\":9").contains("line 4: `at_us`"));
        assert!(error("AP8K", "A*8K").contains("line 2"));
        assert!(error("\"dest\":7", "\"dest\":7,\"x\":1").contains("unknown field `x`"));
    }
}
