//! Log lines reach their reader complete, numbered and in order.

use sprucerudder::logs::{LineNumberer, MAX_WRITE_BYTES, write_lines};
use std::io::{self, Write};

/// A reader that treats each write as a unit, and so accepts no write longer than [`MAX_WRITE_BYTES`].
struct Reader {
    text: Vec<u8>,
    writes: usize,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        assert!(bytes.len() <= MAX_WRITE_BYTES, "a write of {} bytes may be split", bytes.len());
        self.text.extend_from_slice(bytes);
        self.writes += 1;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn numbered_lines(count: usize, length: usize) -> Vec<Vec<u8>> {
    let mut lines = LineNumberer::default();
    let text = format!("event=test text={}\n", "x".repeat(length));
    (0..count).filter_map(|_| lines.add(text.as_bytes())).collect()
}

#[test]
fn a_burst_of_lines_is_written_in_whole_lines() {
    // An owner once wrote the lines of 25 ms in one write, and its reader kept the first 8,192 bytes of
    // each write. Lines were cut in the middle: event=starevent=submitted job=...
    let mut reader = Reader { text: Vec::new(), writes: 0 };
    write_lines(&mut reader, numbered_lines(1_000, 100).into_iter()).expect("write");
    let text = String::from_utf8(reader.text).expect("text");
    let numbers = text.lines().map(|line| line.rsplit_once(" line=").expect("a number").1);
    let expected: Vec<String> = (1..=1_000).map(|no: u32| no.to_string()).collect();
    assert_eq!(numbers.collect::<Vec<_>>(), expected);
    assert!(reader.writes < 50, "{} writes for 1,000 lines", reader.writes);
}

#[test]
fn a_line_that_is_too_long_is_truncated_and_marked() {
    let lines = numbered_lines(1, 10_000);
    let text = String::from_utf8(lines[0].clone()).expect("text");
    assert!(text.len() < MAX_WRITE_BYTES && text.ends_with(" cut=true line=1\n"), "{text}");
}

#[test]
fn a_line_written_in_pieces_has_one_number() {
    let mut lines = LineNumberer::default();
    assert_eq!(lines.add(b"event="), None);
    assert_eq!(lines.add(b"up\n"), Some(b"event=up line=1\n".to_vec()));
    assert_eq!(lines.add(b"event=down\n"), Some(b"event=down line=2\n".to_vec()));
}
