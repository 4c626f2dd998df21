use super::RecordReader;
use crate::record::{frame, Record};
use std::io;

/// A source that returns a few bytes at a time.
struct Trickle<'a>(&'a [u8]);

impl io::Read for Trickle<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = buffer.len().min(7).min(self.0.len());
        buffer[..count].copy_from_slice(&self.0[..count]);
        self.0 = &self.0[count..];
        Ok(count)
    }
}

fn read_all(bytes: &[u8]) -> (Vec<u64>, bool, Vec<String>) {
    let mut reader = RecordReader::new(Trickle(bytes), bytes.len() as u64);
    let mut ids = Vec::new();
    while let Some(record) = reader.next().unwrap() {
        let Record::Ended(id) = record else { panic!("{record:?}") };
        ids.push(id);
    }
    (ids, reader.has_damage, reader.notes)
}

/// Guards against records that are lost or read twice where a piece of the file ends in the middle of one, and against
/// damage at such a place that hides what follows.
#[test]
fn records_are_read_whole_wherever_a_piece_of_the_file_ends() {
    let frames: Vec<Vec<u8>> = (0..9000).map(|id| frame(&Record::Ended(id)).unwrap()).collect();
    let (sound, all) = (frames.concat(), (0..9000).collect::<Vec<u64>>());
    assert!(sound.len() > 3 * super::CHUNK_BYTES);
    assert_eq!(read_all(&sound), (all.clone(), false, Vec::new()));
    for damaged in [1, 2500, 4000, 8998] {
        let start = frames[..damaged].concat().len();
        let mut bytes = sound.clone();
        bytes[start + frames[damaged].len() - 1] ^= 1;
        let (ids, has_damage, notes) = read_all(&bytes);
        let expected: Vec<u64> = all.iter().copied().filter(|id| *id != damaged as u64).collect();
        assert!(ids == expected && has_damage, "record {damaged}: {notes:?}");
        assert_eq!(notes, [format!("journal: {} damaged bytes at {start} skipped", frames[damaged].len())]);
    }
    let (ids, has_damage, notes) = read_all(&sound[..sound.len() - 1]);
    let torn_bytes = frames[8999].len() - 1;
    assert_eq!((ids.len(), has_damage), (8999, false));
    assert_eq!(notes, [format!("journal: torn tail of {torn_bytes} bytes dropped")]);
}
