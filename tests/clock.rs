//! The monotonic clock that measures ages and leases.

use sprucerudder::clock::{Clock, Millis};
use std::sync::atomic::{AtomicU64, Ordering};

static TIME: AtomicU64 = AtomicU64::new(5_000);

fn source() -> Millis {
    Millis(TIME.load(Ordering::Relaxed))
}

#[test]
fn a_pause_of_the_process_is_counted_at_the_next_reading() {
    let clock = Clock::new(source);
    assert_eq!(clock.now(), Millis(1));
    for _ in 0..100 {
        TIME.fetch_add(270, Ordering::Relaxed);
        clock.now();
    }
    assert_eq!(clock.pause_count(), 0, "the clock was read every 270 ms");
    TIME.fetch_add(20_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Millis(47_001));
    assert_eq!(clock.pause_count(), 1);
    clock.now();
    assert_eq!(clock.pause_count(), 1, "a pause is counted once");
}

#[test]
fn the_default_clock_advances_like_the_monotonic_clock() {
    let clock = Clock::default();
    let start = std::time::Instant::now();
    std::thread::sleep(std::time::Duration::from_millis(60));
    let (elapsed_ms, monotonic_ms) = (clock.now().0, start.elapsed().as_millis() as u64);
    assert!(
        elapsed_ms >= 60 && elapsed_ms <= monotonic_ms + 5,
        "{elapsed_ms} ms, but {monotonic_ms} ms by the monotonic clock"
    );
}
