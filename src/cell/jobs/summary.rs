//! Figures that are computed once for each job from its definition, and needed for each of its steps.

use crate::clock::Millis;
use crate::visits;
use crate::workload::JobDefinition;

/// Figures of a whole job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSummary {
    /// Estimated run time of the longest chain of dependent steps.
    pub critical_path: Millis,
    /// Estimated work of all tasks, in core-milliseconds.
    pub core_millis: u64,
    /// The number of tasks of one repetition.
    pub tasks: u64,
    dependents: Dependents,
}

/// For each step of a job, the steps that depend on it.
#[derive(Debug, Clone, PartialEq)]
struct Dependents {
    /// The dependents of all steps, those of the first step first.
    steps: Vec<u16>,
    /// For each step, the index in `steps` after its last dependent.
    ends: Vec<u32>,
}

impl JobSummary {
    /// Computes the figures of a definition.
    pub fn new(work: &JobDefinition) -> Self {
        Self {
            critical_path: work.critical_path(),
            core_millis: work.core_millis(),
            tasks: work.repetition_tasks(),
            dependents: Dependents::new(work),
        }
    }

    /// The steps that depend on a step.
    pub fn dependents(&self, step: u16) -> &[u16] {
        self.dependents.of(usize::from(step))
    }
}

impl Dependents {
    fn new(work: &JobDefinition) -> Self {
        let pairs = || {
            work.steps.iter().enumerate().flat_map(|(index, spec)| {
                let mut dependencies = spec.dependencies.clone();
                dependencies.sort_unstable();
                dependencies.dedup();
                visits::add(1 + dependencies.len());
                let pair = move |dependency| (usize::from(dependency), index as u16);
                dependencies.into_iter().map(pair)
            })
        };
        let mut ends = vec![0_u32; work.steps.len()];
        for (dependency, _) in pairs() {
            if let Some(count) = ends.get_mut(dependency) {
                *count += 1;
            }
        }
        // From the number of dependents of each step to where the first of them goes.
        let mut sum = 0;
        for end in &mut ends {
            let first = sum;
            sum += *end;
            *end = first;
        }
        let mut steps = vec![0; sum as usize];
        for (dependency, step) in pairs() {
            let Some(end) = ends.get_mut(dependency) else {
                // Unreachable, as a job with such a dependency is refused.
                log::error!("event=dependency-unknown step={step} dependency={dependency}");
                continue;
            };
            if let Some(entry) = steps.get_mut(*end as usize) {
                *entry = step;
            }
            *end += 1;
        }
        Self { steps, ends }
    }

    fn of(&self, step: usize) -> &[u16] {
        let end_of = |step: usize| self.ends.get(step).map(|end| *end as usize);
        let first = step.checked_sub(1).and_then(end_of).unwrap_or(0);
        let range = end_of(step).and_then(|end| self.steps.get(first..end));
        range.unwrap_or_else(|| {
            // Unreachable, as callers name steps of the job.
            log::error!("event=step-unknown step={step} steps={}", self.ends.len());
            &[]
        })
    }
}
