//! Limits on what one job may ask for.

mod cells;

use cells::series::{World, at_once};
use sprucerudder::platform::submit;
use sprucerudder::workload::{JobDefinition, JobDefinitionError, MAX_STEPS};
use std::sync::Arc;

fn job_of(steps: usize) -> JobDefinition {
    let job = at_once(1);
    JobDefinition { steps: vec![job.steps[0].clone(); steps], ..(*job).clone() }
}

/// Steps are numbered with 16 bits. Of a job with more of them only the first few were opened, so that
/// an accepted job never ended.
#[test]
fn a_job_with_more_steps_than_can_be_numbered_is_refused() {
    let refused = job_of(MAX_STEPS + 1).validate();
    assert_eq!(refused, Err(JobDefinitionError::TooManySteps(MAX_STEPS + 1)));
    assert_eq!(job_of(MAX_STEPS).validate(), Ok(()));
    let body = format!(r#"{{"steps":[{}{{"count":1}}]}}"#, r#"{"count":1},"#.repeat(MAX_STEPS));
    let decoded = submit::parse(body.as_bytes()).expect("a job");
    assert!(decoded.validate().is_err_and(|error| error.to_string().contains("65536 steps")));
}

#[test]
fn a_job_with_as_many_steps_as_can_be_numbered_runs() {
    let mut world = World::with_workers(None, 100_000);
    world.submit(1, &Arc::new(job_of(MAX_STEPS)));
    world.run(100);
    assert!(world.is_completed(1));
}
