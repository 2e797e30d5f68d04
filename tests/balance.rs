//! Which cell runs a job.

use sprucerudder::cell::owner::balance::{Candidate, choose_cell};
use sprucerudder::workload::JobKey;

fn others(shares: &[u32]) -> Vec<Candidate> {
    let choice =
        |(cell, share): (usize, &u32)| Candidate { cell: cell as u32 + 1, utilization: *share };
    shares.iter().enumerate().map(choice).collect()
}

/// A key of which nothing follows.
fn key(no: u64) -> JobKey {
    JobKey(no.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn a_home_with_room_keeps_its_jobs() {
    assert!((0..100).all(|no| choose_cell(800, &others(&[0, 0]), key(no)).is_none()));
}

#[test]
fn a_full_home_keeps_jobs_that_would_wait_elsewhere_as_long() {
    assert!((0..100).all(|no| choose_cell(1_000, &others(&[950, 900]), key(no)).is_none()));
    assert!((0..100).all(|no| choose_cell(1_000, &[], key(no)).is_none()));
}

#[test]
fn of_two_others_the_emptier_one_gets_the_jobs_of_a_full_home() {
    assert!((0..100).all(|no| choose_cell(1_000, &others(&[900, 300]), key(no)) == Some(2)));
}

#[test]
fn of_many_others_no_single_one_gets_all() {
    let others = others(&[500; 14]);
    let mut counts = [0; 15];
    for no in 0..1_400 {
        let cell = choose_cell(1_200, &others, key(no)).unwrap();
        counts[cell as usize] += 1;
    }
    assert!(counts[1..].iter().all(|count| (30..300).contains(count)), "{counts:?}");
}

/// Jobs of very unlike sizes at 81 % of all processors: what finds no room in three cells, summed over
/// time, in thousandths of a cell's processors, with and without a choice. Each job takes its share for ten seconds.
#[test]
fn uneven_jobs_fill_the_cells_evenly() {
    let waits = |moves: bool| {
        let mut cells = [Vec::new(), Vec::new(), Vec::new()];
        let mut waits = 0;
        for no in 0..3_000_u64 {
            for cell in &mut cells {
                cell.retain(|(end, _): &(u64, u32)| *end > no);
            }
            let share = |cell: &Vec<(u64, u32)>| cell.iter().map(|(_, size)| size).sum::<u32>();
            let key = key(no);
            let home = (key.0 % 3) as usize;
            let others: Vec<Candidate> = (0..3)
                .filter(|cell| *cell != home)
                .map(|cell| Candidate { cell: cell as u32, utilization: share(&cells[cell]) })
                .collect();
            let to =
                choose_cell(share(&cells[home]), &others, JobKey(key.0 >> 7)).filter(|_| moves);
            // One job in ten is as large as all others together.
            let size = if key.0 >> 32 & 0xff < 25 { 128 } else { 13 };
            cells[to.map_or(home, |cell| cell as usize)].push((no + 100, size));
            waits += cells.iter().map(|cell| share(cell).saturating_sub(1_000)).sum::<u32>();
        }
        waits
    };
    let (fixed, moved) = (waits(false), waits(true));
    assert!(moved * 5 <= fixed, "{moved} against {fixed}");
}
