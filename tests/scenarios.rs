//! Scripted scenarios on the virtual clock. Each file of tests/scenarios says what happens and what
//! is seen then. `UPDATE_GOLDENFILES=1 cargo test --test scenarios` writes what is seen now.

mod world;

use goldenscript::{Argument, Command};
use sprucerudder::job::TaskOutcome;
use sprucerudder::size::Size;
use std::error::Error;
use std::fmt::Write;
use world::{Flaw, World};

struct Script {
    world: World,
    told: usize,
}

type Text = Result<String, Box<dyn Error>>;

fn number(arg: &Argument) -> Result<usize, Box<dyn Error>> {
    let digits = arg.value.trim_start_matches(|c: char| !c.is_ascii_digit());
    Ok(digits.parse()?)
}

impl Script {
    fn new() -> Self {
        Self { world: World::new(3, 2, Flaw::None), told: 0 }
    }

    fn submit(&mut self, command: &Command) -> Text {
        let mut args = command.consume_args();
        let entry = self.owner()?;
        let kind: String = args.lookup_parse("kind")?.unwrap_or_else(|| "build".into());
        let tasks = args.lookup_parse("tasks")?.unwrap_or(1);
        let cpu = args.lookup_parse("cpu")?.unwrap_or(1);
        let gang = args.lookup_parse("gang")?.unwrap_or(false);
        args.reject_rest()?;
        let token = self.world.submit(entry, &kind, tasks, gang, Size::new(cpu, 1, 0));
        let answer = self.world.answers.get(&token);
        Ok(answer.map_or_else(|| "no answer yet\n".to_string(), |answer| format!("{answer:?}\n")))
    }

    /// The owner of the newest epoch: entries send callers there.
    fn owner(&mut self) -> Result<usize, Box<dyn Error>> {
        let owners = self.world.owners().into_iter();
        let newest = owners.max_by_key(|at| self.world.entries[*at].shard.epoch());
        Ok(newest.ok_or("no owner")?)
    }

    fn jobs(&mut self) -> Text {
        let mut out = String::new();
        for owner in self.world.owners() {
            writeln!(out, "e{owner} owns the shard")?;
            let now = self.world.now;
            let jobs = self.world.jobs.clone();
            let Some(office) = self.world.entries[owner].shard.owner() else { continue };
            for status in jobs.iter().filter_map(|job| office.status(job, now)) {
                writeln!(
                    out,
                    "job {} queued {} running {} ended {:?}",
                    status.job.number, status.queued, status.running, status.ended
                )?;
            }
        }
        Ok(out)
    }

    /// What happened at workers and with ownership since the last look.
    fn events(&mut self) -> String {
        let news = self.world.history[self.told..].iter();
        let lines = news.map(|line| format!("{line}\n")).collect();
        self.told = self.world.history.len();
        lines
    }
}

impl goldenscript::Runner for Script {
    fn run(&mut self, command: &Command) -> Text {
        let first = command.args.first();
        let index = || number(first.ok_or("wants an argument")?);
        match command.name.as_str() {
            "rounds" => {
                for _ in 0..index()? {
                    self.world.round(false);
                }
                return Ok(self.events());
            }
            "submit" => return self.submit(command),
            "jobs" => return self.jobs(),
            "cancel" => {
                let owner = self.owner()?;
                self.world.cancel(owner, index()?);
            }
            "pause" => self.world.entries[index()?].paused = true,
            "resume" => self.world.entries[index()?].paused = false,
            "kill" => self.world.restart_entry(index()?),
            "lose-worker" => self.world.replace_worker(index()?),
            "end" => self.world.end_task(index()?, 0, TaskOutcome::Done),
            "fail" => self.world.end_task(index()?, 0, TaskOutcome::Failed),
            "log-down" => self.world.log_down = true,
            "log-up" => self.world.log_down = false,
            "hold-messages" => {
                self.world.advance(200);
                (0..3).for_each(|entry| self.world.flush(entry));
                while !self.world.net.is_empty() {
                    self.world.delay(0, false);
                }
            }
            "release-messages" => self.world.net.append(&mut self.world.late),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

fn run(name: &str) {
    let path = format!("tests/scenarios/{name}.scn");
    if let Err(err) = goldenscript::run(&mut Script::new(), path) {
        panic!("{name}: {err}");
    }
}

#[test]
fn paused_owner() {
    run("paused-owner");
}

#[test]
fn killed_owner() {
    run("killed-owner");
}

#[test]
fn log_outage() {
    run("log-outage");
}

#[test]
fn lost_worker() {
    run("lost-worker");
}

#[test]
fn late_start() {
    run("late-start");
}

#[test]
fn all_entries_lost() {
    run("all-entries-lost");
}
