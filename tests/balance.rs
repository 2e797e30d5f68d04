//! Which cell runs a job.

use sprucerudder::cell::owner::balance::{Candidate, choose_cell};
use sprucerudder::workload::JobKey;

fn others(shares: &[u32]) -> Vec<Candidate> {
    let choice =
        |(cell, share): (usize, &u32)| Candidate { cell: cell as u32 + 1, utilization: *share };
    shares.iter().enumerate().map(choice).collect()
}

/// A key without any pattern.
fn key(index: u64) -> JobKey {
    JobKey(index.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn a_home_cell_with_room_keeps_its_jobs() {
    assert!((0..100).all(|index| choose_cell(800, &others(&[0, 0]), key(index)).is_none()));
}

#[test]
fn a_full_home_cell_keeps_jobs_that_would_wait_as_long_elsewhere() {
    assert!((0..100).all(|index| choose_cell(1_000, &others(&[950, 900]), key(index)).is_none()));
    assert!((0..100).all(|index| choose_cell(1_000, &[], key(index)).is_none()));
}

#[test]
fn the_emptier_of_two_cells_gets_the_jobs_of_a_full_home_cell() {
    assert!((0..100).all(|index| choose_cell(1_000, &others(&[900, 300]), key(index)) == Some(2)));
}

#[test]
fn jobs_of_a_full_home_cell_are_spread_over_many_cells() {
    let others = others(&[500; 14]);
    let mut counts = [0; 15];
    for index in 0..1_400 {
        let cell = choose_cell(1_200, &others, key(index)).unwrap();
        counts[cell as usize] += 1;
    }
    assert!(counts[1..].iter().all(|count| (30..300).contains(count)), "{counts:?}");
}

/// Jobs of very different sizes at 81 % of the whole CPU capacity: the demand beyond the capacity
/// of three cells, summed over time in thousandths of a cell's cores, with and without forwarding.
/// Each job uses its share for ten seconds.
#[test]
fn uneven_jobs_fill_the_cells_evenly() {
    let overflow = |moves: bool| {
        let mut cells = [Vec::new(), Vec::new(), Vec::new()];
        let mut overflow = 0;
        for index in 0..3_000_u64 {
            for cell in &mut cells {
                cell.retain(|(end, _): &(u64, u32)| *end > index);
            }
            let share = |cell: &Vec<(u64, u32)>| cell.iter().map(|(_, size)| size).sum::<u32>();
            let key = key(index);
            let home = (key.0 % 3) as usize;
            let others: Vec<Candidate> = (0..3)
                .filter(|cell| *cell != home)
                .map(|cell| Candidate { cell: cell as u32, utilization: share(&cells[cell]) })
                .collect();
            let to =
                choose_cell(share(&cells[home]), &others, JobKey(key.0 >> 7)).filter(|_| moves);
            // One job in ten is as large as all others together.
            let size = if key.0 >> 32 & 0xff < 25 { 128 } else { 13 };
            cells[to.map_or(home, |cell| cell as usize)].push((index + 100, size));
            overflow += cells.iter().map(|cell| share(cell).saturating_sub(1_000)).sum::<u32>();
        }
        overflow
    };
    let (fixed, moved) = (overflow(false), overflow(true));
    assert!(moved * 5 <= fixed, "{moved} against {fixed}");
}
