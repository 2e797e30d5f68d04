//! Jobs that repeat, and the memory that jobs take.

mod cells;

use cells::queue;
use cells::series::{World, at_once, repeating};
use proptest::prelude::*;
use sprucerudder::cell::jobs::repetition_set::RepetitionSet;
use sprucerudder::cell::records::journal::{
    JobRecord, Progress, StepProgress, put_job, put_progress,
};
use sprucerudder::clock::Millis;
use sprucerudder::platform::submit;
use sprucerudder::workload::{JobDefinition, JobKey};
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Counts the bytes that each thread has allocated and not freed.
struct Counting;

thread_local! {
    static BYTES: std::cell::Cell<i64> = const { std::cell::Cell::new(0) };
    /// The most bytes at any time.
    static PEAK: std::cell::Cell<i64> = const { std::cell::Cell::new(0) };
}

// SAFETY: every call goes on to the system's allocator unchanged; the counter allocates nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.set(BYTES.get() + layout.size() as i64);
        PEAK.set(PEAK.get().max(BYTES.get()));
        // SAFETY: the caller's promise is passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.set(BYTES.get() - layout.size() as i64);
        // SAFETY: the caller's promise is passed on.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const MEGABYTE: u64 = 1 << 20;

/// Each repetition took the memory of its tasks from the submission of the job on: eight jobs that run
/// once a minute for 60 days took 330 MB, and each owner was killed for its memory.
#[test]
fn repetitions_that_are_not_due_take_no_memory() {
    /// The memory of a node, by the stated aim.
    const NODE_BYTES: i64 = 64 << 20;
    let mut world = World::new(None);
    let before = BYTES.get();
    for key in 0..8 {
        world.submit(key, &repeating(1, 86_400, 60_000));
    }
    world.run(30);
    let after = BYTES.get();
    println!("eight jobs of 86,400 repetitions: {} bytes", after - before);
    assert!(after - before < NODE_BYTES / 8, "{} bytes", after - before);
    let before = BYTES.get();
    world.take_over();
    let taken = BYTES.get() - before;
    println!("at a takeover: {taken} bytes");
    assert!(taken < NODE_BYTES / 8, "{taken} bytes at a takeover");
}

#[test]
fn repetitions_start_when_they_are_due_and_only_once_through_takeovers() {
    let mut world = World::new(None);
    world.submit(1, &repeating(2, 20, 500));
    for _ in 0..40 {
        world.run(3);
        world.take_over();
    }
    assert!(world.is_completed(1));
    let starts = world.repetitions(1);
    assert_eq!(starts.len(), 2 * 20, "{starts:?}");
    for (repetition, at) in starts {
        let due = 1_000 + u64::from(repetition) * 500;
        assert!((due..due + 1_000).contains(&at), "repetition {repetition} at {at}");
    }
}

/// A takeover did not find finished repetitions that the progress does not list, and ran them again.
#[test]
fn finished_repetitions_of_a_long_job_do_not_run_again() {
    let mut world = World::new(None);
    world.submit(1, &repeating(1, 1_000, 100));
    for _ in 0..10 {
        world.run(60);
        world.take_over();
    }
    world.run(700);
    assert!(world.is_completed(1));
    let starts = world.repetitions(1);
    let once: BTreeSet<u32> = starts.iter().map(|(repetition, _)| *repetition).collect();
    assert_eq!((once.len(), starts.len()), (1_000, 1_000));
}

#[test]
fn a_job_that_is_behind_opens_its_repetitions_a_few_at_a_time() {
    let mut world = World::new(None);
    world.now = 20_000_000;
    let before = BYTES.get();
    world.submit(1, &repeating(1, 30_000, 100));
    world.run(3);
    let bytes = BYTES.get() - before;
    assert!(bytes < 20 << 20, "{bytes} bytes");
    world.run(150);
    assert!(world.is_completed(1));
    assert_eq!(world.starts.len(), 30_000);
}

/// Records of a version that lists finished repetitions in the progress only.
#[test]
fn the_progress_of_earlier_versions_tells_which_repetitions_are_finished() {
    let (key, mut world) = (JobKey(1), World::new(None));
    let record = JobRecord::Open { queue: (*queue()).clone(), work: repeating(2, 3, 100) };
    let done = |repetition, done| StepProgress {
        step_index: (repetition, 0),
        done: vec![done],
        tasks: Vec::new(),
    };
    let progress = Progress { steps: vec![done(0, 0b11), done(1, 0b01)] };
    world.store.extend([put_job(key, &record), put_progress(key, &progress)]);
    world.now = 2_000;
    world.take_over();
    world.run(10);
    assert!(world.is_completed(1));
    let starts: Vec<_> =
        world.starts.iter().map(|(_, task)| (task.step.repetition, task.index)).collect();
    assert_eq!(starts, [(1, 1), (2, 0), (2, 1)]);
}

/// An owner accepted jobs until it was killed for its memory, and each later one read them back.
#[test]
fn jobs_are_accepted_only_while_there_is_memory_for_them() {
    const LIMIT: u64 = 128 * MEGABYTE;
    let mut world = World::new(Some(LIMIT));
    let before = BYTES.get();
    let work = Arc::new(JobDefinition { first_due: Millis(1 << 40), ..(*at_once(50_000)).clone() });
    let accepted = (0..100).take_while(|key| {
        let has_memory = world.cell.has_memory_for(&work);
        if has_memory {
            world.submit(*key, &work);
        }
        has_memory
    });
    let accepted = accepted.count();
    assert!((1..100).contains(&accepted), "{accepted}");
    assert!(world.cell.has_memory_for(&at_once(10)), "there is room for small jobs");
    for key in 0..accepted as u64 {
        world.cell.cancel(Millis(world.now), JobKey(key));
    }
    assert!(world.cell.has_memory_for(&work));
    // Once they are open and their starts are on the way, too.
    let jobs: Vec<u64> = (1_000..1_000 + accepted as u64).collect();
    jobs.iter().for_each(|key| world.submit(*key, &at_once(50_000)));
    world.cell.schedule(Millis(world.now));
    let bytes = BYTES.get() - before;
    println!("{accepted} jobs of 50,000 tasks, bound to workers as far as they fit: {bytes} bytes");
    assert!(bytes < LIMIT as i64, "{bytes} bytes for {accepted} jobs");
}

/// The names in a job may be as long as a request, and were not charged: jobs of 250 KB each were
/// accepted until the owner was killed for its memory. Those that had ended kept them, too.
#[test]
fn jobs_are_charged_for_their_names_until_they_have_ended() {
    const LIMIT: u64 = 16 * MEGABYTE;
    const NAME_BYTES: u64 = 250_000;
    let mut world = World::new(Some(LIMIT));
    let mut step = at_once(1).steps[0].clone();
    step.image = "x".repeat(NAME_BYTES as usize).into();
    let job = JobDefinition { steps: vec![step], ..repeating(1, 2, 60_000).as_ref().clone() };
    let accepted = (0..100).take_while(|key| {
        let work = Arc::new(JobDefinition { first_due: Millis(1 << 40), ..job.clone() });
        let has_memory = world.cell.has_memory_for(&work);
        if has_memory {
            world.submit(*key, &work);
        }
        has_memory
    });
    let accepted = accepted.count() as u64;
    assert!((1..=LIMIT / NAME_BYTES).contains(&accepted), "{accepted}");
    for key in 0..accepted {
        world.cell.cancel(Millis(world.now), JobKey(key));
    }
    world.run(40);
    assert!(world.cell.has_memory_for(&job));
    let used = world.cell.memory().used();
    assert!(used < accepted * NAME_BYTES / 100, "{used} bytes for jobs that have ended");
}

/// Steps without tasks were decoded before the job was refused for them: in a body of the largest
/// size 87,000 of them, which took a hundred times the memory of the body.
#[test]
fn steps_without_tasks_end_the_decoding_of_a_job() {
    let body = format!(r#"{{"steps":[{}{{}}]}}"#, "{},".repeat(87_000));
    let before = BYTES.get();
    PEAK.set(before);
    let Err(error) = submit::parse(body.as_bytes()) else { panic!("the job was decoded") };
    let peak = PEAK.get() - before;
    assert!(error.to_string().contains("step 0 has no tasks"), "{error}");
    assert!(peak < MEGABYTE as i64, "{peak} bytes");
}

#[test]
fn an_owner_that_reads_more_jobs_than_it_has_memory_for_opens_them_in_turn() {
    let mut world = World::new(None);
    for key in 0..12 {
        world.submit(key, &repeating(2_000, 1, 0));
    }
    world.run(1);
    world.memory = Some(8 * MEGABYTE);
    let before = BYTES.get();
    world.take_over();
    let bytes = BYTES.get() - before;
    assert!(bytes < 8 * MEGABYTE as i64, "{bytes} bytes");
    world.run(200);
    let open: Vec<u64> = (0..12).filter(|key| !world.is_completed(*key)).collect();
    assert!(open.is_empty(), "{open:?} have not ended");
    assert_eq!(world.starts.len(), 12 * 2_000);
}

proptest! {
    #[test]
    fn a_repetition_set_holds_what_was_added(added in prop::collection::vec(0_u32..40, 0..60)) {
        let (mut set, mut expected) = (RepetitionSet::default(), BTreeSet::new());
        for repetition in added {
            set.insert(repetition);
            expected.insert(repetition);
        }
        prop_assert_eq!(set.len() as usize, expected.len());
        prop_assert!(set.iter().eq(expected.iter().copied()));
        prop_assert!((0..41).all(|one| set.contains(one) == expected.contains(&one)));
    }
}
