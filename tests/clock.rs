//! The clock that ages and leases are measured on.

use sprucerudder::clock::{Clock, Millis};
use std::sync::atomic::{AtomicU64, Ordering};

static TIME: AtomicU64 = AtomicU64::new(5_000);

fn source() -> Millis {
    Millis(TIME.load(Ordering::Relaxed))
}

#[test]
fn a_process_that_did_not_run_for_seconds_notices_it_at_its_first_look() {
    let clock = Clock::new(source);
    assert_eq!(clock.now(), Millis(1));
    for _ in 0..100 {
        TIME.fetch_add(270, Ordering::Relaxed);
        clock.now();
    }
    assert_eq!(clock.pause_count(), 0, "it looked every 270 ms");
    TIME.fetch_add(20_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Millis(47_001));
    assert_eq!(clock.pause_count(), 1);
    clock.now();
    assert_eq!(clock.pause_count(), 1, "a pause is noticed once");
}

#[test]
fn the_usual_clock_goes_on_as_the_steady_one_does() {
    let clock = Clock::default();
    let begun = std::time::Instant::now();
    std::thread::sleep(std::time::Duration::from_millis(60));
    let (passed, steady) = (clock.now().0, begun.elapsed().as_millis() as u64);
    assert!(passed >= 60 && passed <= steady + 5, "{passed} ms where {steady} passed");
}
