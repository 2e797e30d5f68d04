//! Evaluations of waiting steps and time for each scheduling pass and each start, with 350 workers and 3,000 waiting
//! steps, with and without `SelectivePass`.
//!
//! `cargo bench --bench passes`

#[path = "../tests/passworld/mod.rs"]
#[allow(dead_code)]
mod passworld;

use passworld::{World, job_key};

const WORKERS: u64 = 350;
const ENTRIES: u64 = 42;
const WAITING_STEPS: usize = 3_000;
/// Passes before and during the measurement: 3 s, so that the workers are full, and 2 s. A pass takes far longer if most
/// steps wait for capacity, so there are fewer of them.
const PASSES: (u64, u64) = (300, 200);
const SLOW_PASSES: (u64, u64) = (60, 30);
/// Tasks of a step, by queue.
const TASKS: [u32; 3] = [3, 20, 25];
/// The shares of the queues among waiting steps, in percent.
const SHARES: [u64; 2] = [40, 10];

/// Keeps as many steps waiting as there should be.
fn refill(world: &mut World, submitted: &mut u64) {
    let waiting = world.cell.stats().ready_steps;
    for _ in waiting..WAITING_STEPS {
        *submitted += 1;
        let queue = match *submitted * 37 % 100 {
            share if share < SHARES[0] => 0,
            share if share < SHARES[0] + SHARES[1] => 1,
            _ => 2,
        };
        world.submit(job_key(queue, *submitted), queue, TASKS[queue], 0);
    }
}

fn measure(name: &str, without: &str, has_prompt_advice: bool) {
    let mut world = World::new(WORKERS, ENTRIES, without);
    world.has_prompt_advice = has_prompt_advice;
    let (warm_up, measured) = if has_prompt_advice { SLOW_PASSES } else { PASSES };
    let mut submitted = 0;
    for _ in 0..warm_up {
        refill(&mut world, &mut submitted);
        world.step();
    }
    let (before, time, starts) = (world.counts(), world.pass_time, world.cell.bound_starts());
    for _ in 0..measured {
        refill(&mut world, &mut submitted);
        world.step();
    }
    let passes = (world.counts().passes - before.passes) as f64;
    let evaluations = (world.counts().evaluations - before.evaluations) as f64;
    let (time, starts) =
        ((world.pass_time - time).as_secs_f64(), (world.cell.bound_starts() - starts) as f64);
    println!(
        "{name}: {passes} passes, {starts} starts; {:.1} evaluations and {:.3} ms per pass; \
         {:.1} evaluations and {:.3} ms per start",
        evaluations / passes,
        time * 1e3 / passes,
        evaluations / starts,
        time * 1e3 / starts
    );
}

fn main() {
    println!("most steps wait for advice:");
    measure("without", "selective", false);
    measure("with", "", false);
    println!("most steps wait for capacity:");
    measure("without", "selective", true);
    measure("with", "", true);
}
