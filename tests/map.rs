//! How workers and jobs are assigned to cells.

use proptest::prelude::*;
use sprucerudder::cell::owner::cell_map::{CellMap, MIN_CELL_WORKERS};
use sprucerudder::order::WorkerInfo;
use sprucerudder::workload::{JobKey, Resources};
use std::collections::HashMap;
use std::num::NonZeroUsize;

const RACK_SIZE: usize = 8;

fn worker(index: usize, domains: usize, service: &str) -> WorkerInfo {
    let domain = index % domains;
    WorkerInfo {
        id: format!("i-{service}-{index}").into(),
        started_at: None,
        service: service.into(),
        addr: format!("10.0.0.1:{index}").into(),
        domain: format!("d{domain}").into(),
        capacity: Resources { cpu: 16_000, mem: 32_768, gpu: 0 },
        labels: vec![
            "a".into(),
            format!("r-{service}-{domain}-{}", index / domains / RACK_SIZE).into(),
        ],
        leaves_in: None,
    }
}

fn fleet(count: usize, service: &str) -> Vec<WorkerInfo> {
    (0..count).map(|index| worker(index, 5, service)).collect()
}

fn sizes(map: &CellMap, workers: &[WorkerInfo]) -> HashMap<u32, usize> {
    let mut sizes = HashMap::new();
    for worker in workers {
        *sizes.entry(map.cell_of_worker(worker)).or_default() += 1;
    }
    sizes
}

#[test]
fn a_fleet_of_a_few_hundred_workers_is_one_cell() {
    for count in [1, 48, 350, 540, 799] {
        assert_eq!(CellMap::new(&fleet(count, "s"), MIN_CELL_WORKERS).cell_count(), 1, "{count}");
    }
}

#[test]
fn larger_fleets_have_cells_that_hold_the_widest_steps() {
    for count in [800, 1_000, 3_000, 25_000] {
        let workers = fleet(count, "s");
        let map = CellMap::new(&workers, MIN_CELL_WORKERS);
        let sizes = sizes(&map, &workers);
        assert_eq!(sizes.len() as u32, map.cell_count());
        let (smallest, largest) = (sizes.values().min().unwrap(), sizes.values().max().unwrap());
        assert!(smallest + 2 * RACK_SIZE >= MIN_CELL_WORKERS.get(), "{count}: {smallest}");
        assert!(*largest < 2 * MIN_CELL_WORKERS.get(), "{count}: {largest}");
        assert!(smallest * 10 >= largest * 8, "{count}: {smallest} to {largest}");
    }
}

#[test]
fn each_cell_has_its_share_of_every_service_and_failure_domain() {
    let workers: Vec<WorkerInfo> = [fleet(900, "core"), fleet(300, "desk")].concat();
    let map = CellMap::new(&workers, MIN_CELL_WORKERS);
    for (service, count) in [("core", 900), ("desk", 300)] {
        let of_service: Vec<WorkerInfo> =
            workers.iter().filter(|worker| *worker.service == *service).cloned().collect();
        for (cell, size) in sizes(&map, &of_service) {
            let share = count / map.cell_count() as usize;
            assert!(size + 2 * RACK_SIZE >= share, "{service} in cell {cell}: {size} of {share}");
        }
    }
}

#[test]
fn jobs_spread_evenly_and_stay_where_they_are() {
    let map = CellMap::new(&fleet(3_000, "s"), MIN_CELL_WORKERS);
    let mut counts: HashMap<u32, u64> = HashMap::new();
    for job in (0..30_000).map(|index| JobKey(index * 0x9e37_79b9)) {
        assert_eq!(map.cell_of_job(job), map.cell_of_job(job));
        *counts.entry(map.cell_of_job(job)).or_default() += 1;
    }
    let share = 30_000 / u64::from(map.cell_count());
    assert_eq!(counts.len() as u32, map.cell_count());
    assert!(counts.values().all(|count| count.abs_diff(share) * 10 < share), "{counts:?}");
}

proptest! {
    /// A worker that joins later, or restarts with another id, has a cell that only its rack
    /// decides.
    #[test]
    fn a_rack_is_never_split(count in 5_usize..900, size in 1_usize..300, later in 0_usize..2_000) {
        let size = NonZeroUsize::new(size).unwrap();
        let map = CellMap::new(&fleet(count, "s"), size);
        let one = worker(later, 5, "s");
        let restarted = WorkerInfo { id: "i-new".into(), addr: "10.0.0.2:1".into(), ..one.clone() };
        prop_assert!(map.cell_of_worker(&one) < map.cell_count());
        prop_assert_eq!(map.cell_of_worker(&one), map.cell_of_worker(&restarted));
    }

    /// Every entry computes the same map from what the store holds.
    #[test]
    fn the_map_reads_back_as_it_was_written(count in 1_usize..900) {
        let map = CellMap::new(&fleet(count, "s"), MIN_CELL_WORKERS);
        let bytes = postcard::to_stdvec(&map).unwrap();
        prop_assert_eq!(postcard::from_bytes::<CellMap>(&bytes).unwrap(), map);
    }
}

#[test]
fn no_cell_is_without_workers() {
    // Three racks, where the number of workers would allow four cells.
    let few: Vec<WorkerInfo> = (0..8)
        .map(|index| WorkerInfo { labels: vec!["a".into(), "r".into()], ..worker(index, 3, "s") })
        .collect();
    let map = CellMap::new(&few, NonZeroUsize::new(2).unwrap());
    assert_eq!((map.cell_count(), sizes(&map, &few).len()), (3, 3));
    // A service with only two racks does not limit the others to two cells.
    let mixed: Vec<WorkerInfo> = [fleet(4_000, "core"), fleet(10, "desk")].concat();
    let map = CellMap::new(&mixed, MIN_CELL_WORKERS);
    assert_eq!((map.cell_count(), sizes(&map, &mixed).len()), (10, 10));
}

#[test]
fn a_small_service_is_whole_in_one_cell() {
    let workers: Vec<WorkerInfo> = [fleet(900, "core"), fleet(98, "desk")].concat();
    let map = CellMap::new(&workers, MIN_CELL_WORKERS);
    let of_desk: Vec<WorkerInfo> =
        workers.iter().filter(|worker| *worker.service == *"desk").cloned().collect();
    assert_eq!((map.cell_count(), sizes(&map, &of_desk).len()), (2, 1));
}
