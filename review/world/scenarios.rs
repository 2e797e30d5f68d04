//! The scenarios, one for each case that has a script.

use crate::entries::{Entry, Place, ZONES, free_port, wait_ready};
use crate::http::{Connection, call, relay};
use crate::json::Json;
use crate::runner::{Event, Events, Runner};
use crate::store::Store;
use crate::{Verdict, World};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SERVICE: &str = "press-desk";
const HOST: &str = "press.example";
const PREFIX: &str = "/jobs/";
/// The numbers of the addresses of the first entry and of the first runner of a scenario. Each has its
/// own, so that scenarios can run side by side: the command of the deploy file has a fixed port.
const HOSTS: [(&str, u8, u8); 5] = [
    ("zone", 11, 111),
    ("crashes", 21, 121),
    ("cron", 31, 131),
    ("cancel", 41, 141),
    ("wide", 51, 151),
];
/// After this time no more large or small jobs come, nor is the owner moved, so that a script ends
/// within two minutes.
const LAST_STEP_MS: u64 = 40_000;
/// How long entries may take until they are ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long callers wait for an answer.
const CALL_TIMEOUT_MS: u64 = 3_000;

pub fn run(world: &Arc<World>, scenario: &str) -> Verdict {
    match scenario {
        "zone" => zone(world),
        "crashes" => crashes(world),
        "cron" => cron(world),
        "cancel" => cancel(world),
        "wide" => wide(world),
        other => Verdict::NotRun(format!("there is no scenario {other}")),
    }
}

/// A running deployment.
struct Deployment {
    world: Arc<World>,
    folder: PathBuf,
    store: Arc<Store>,
    events: Arc<Events>,
    runners: Vec<Arc<Runner>>,
    entries: Vec<Entry>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs: {}", self.folder.display()),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Deployment {
    /// Starts the store, runners in the given zones and entries in the given zones. Entries of a
    /// zone other than the first one start 0.25 s later.
    fn start(world: &Arc<World>, entry_zones: &[u8], runner_zones: &[u8], cpu: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        let (store, events) = (Store::new(world), Arc::new(Events::default()));
        store.put("keyed.op", "config", config().as_bytes());
        let (first_entry, first_runner) = first_hosts(world);
        let (mut runners, port) = (Vec::new(), free_port());
        for (index, zone) in runner_zones.iter().enumerate() {
            let host = first_runner + index as u8;
            world.set_zone(host, *zone);
            let (name, addr) = (format!("i-7f3a91{host:02x}"), format!("127.0.0.{host}:{port}"));
            let place = (*zone, ZONES[usize::from(*zone) - 1], SERVICE);
            runners.push(Runner::start(world, &store, &events, (&name, &addr, cpu), place));
            add_relays(world, host, *zone, port);
        }
        let mut places = Vec::new();
        for (index, zone) in entry_zones.iter().enumerate() {
            let host = first_entry + index as u8;
            world.set_zone(host, *zone);
            places.push(Place { host, zone: *zone, store: store.listen(index, *zone) });
        }
        for place in &places {
            let port = place.peer_addr().rsplit(':').next().and_then(|port| port.parse().ok());
            add_relays(world, place.host, place.zone, port.unwrap_or_default());
        }
        let mut entries = Vec::new();
        for place in &places {
            if place.zone != places[0].zone && entries.len() == count(entry_zones, places[0].zone) {
                thread::sleep(Duration::from_millis(250));
            }
            entries.push(Entry::start(world, &folder, place, &places));
        }
        Self { world: world.clone(), folder, store, events, runners, entries }
    }

    /// The zone of the entry that acts as the owner.
    fn owner_zone(&self) -> Option<u8> {
        Some(self.entries.get(self.store.owner()?)?.place().zone)
    }

    /// Stops and starts the owner as planned until it is in a zone. Returns whether it is.
    fn move_owner_to(&mut self, zone: u8) -> bool {
        for _ in 0..6 {
            match self.store.owner() {
                Some(_) if self.world.now() >= LAST_STEP_MS => {
                    return self.owner_zone() == Some(zone);
                }
                Some(owner) if self.owner_zone() != Some(zone) => {
                    self.entries[owner].stop_and_start(&self.world);
                    if !wait_ready(&self.world, &self.entries, START_LIMIT) {
                        return false;
                    }
                }
                owner => return owner.is_some(),
            }
        }
        false
    }

    /// Submits a job at an entry until it gets an answer other than silence, 502 or 504. Returns the
    /// last status.
    fn submit(&self, entry: usize, id: &str, body: &str) -> u16 {
        for attempt in 0..4 {
            let place = self.entries[(entry + attempt) % self.entries.len()].place();
            let status = self.call(place, "POST", id, body).map_or(0, |(status, _)| status);
            if !matches!(status, 0 | 502 | 504) {
                return status;
            }
        }
        0
    }

    fn call(&self, place: &Place, method: &str, id: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let path = format!("{PREFIX}{id}");
        let answer = call(&place.front(), method, &path, HOST, body, CALL_TIMEOUT_MS);
        let shown = answer.as_ref().map_or("no answer".to_string(), |(status, body)| {
            format!("{status} {}", String::from_utf8_lossy(body))
        });
        self.world.note(&format!("{method} {path} {body} at {}: {shown}", place.name()));
        answer
    }

    /// The jobs of which no entry shows a state, each asked for at every entry, for 30 s in all.
    fn unanswered(&self, jobs: &[String]) -> Vec<String> {
        let until = self.world.now() + 30_000;
        let is_known = |id: &&String| {
            let mut entries = 0..self.entries.len();
            entries.any(|entry| self.world.now() < until && self.state(entry, id).is_some())
        };
        jobs.iter().filter(|id| !is_known(id)).cloned().collect()
    }

    /// The state of a job as an entry shows it.
    fn state(&self, entry: usize, id: &str) -> Option<String> {
        let (status, body) = self.call(self.entries[entry].place(), "GET", id, "")?;
        (status == 200).then(|| Json::parse(&body).get("state").text().to_string())
    }
}

/// The numbers of the first entry's and the first runner's address in this scenario.
fn first_hosts(world: &World) -> (u8, u8) {
    let known = HOSTS.iter().find(|(name, ..)| *name == world.scenario());
    known.map_or((61, 171), |(_, entry, runner)| (*entry, *runner))
}

fn count(zones: &[u8], zone: u8) -> usize {
    zones.iter().filter(|known| **known == zone).count()
}

/// Lets the other zones reach a host through relays.
fn add_relays(world: &Arc<World>, host: u8, zone: u8, port: u16) {
    for other in (1..=ZONES.len() as u8).filter(|other| *other != zone) {
        let listen = format!("{}:{port}", World::relayed(host, other));
        relay(world, &listen, other, &format!("127.0.0.{host}:{port}"), zone);
    }
}

/// The operator's configuration: one queue, without an advice service.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"{PREFIX}","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1200,"priority":0,"service":"{SERVICE}","max_attempts":3,"extension":2.2}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"headroom":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn sleep_until(world: &World, at: u64) {
    thread::sleep(Duration::from_millis(at.saturating_sub(world.now())));
}

/// The runs of each task that were at work at the same time on runners that were up.
fn overlaps(events: &[Event]) -> Vec<String> {
    let mut at_work: BTreeMap<&str, Vec<(&str, u64, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    for event in events {
        let runs = at_work.entry(&event.task).or_default();
        match event.end {
            None => {
                for (runner, run, since) in runs.iter() {
                    found.push(format!(
                        "{} run {} starts on {} at {} while run {run} is at work on {runner} since {since}",
                        event.task, event.run, event.runner, event.at
                    ));
                }
                runs.push((&event.runner, event.run, event.at));
            }
            Some(_) => {
                runs.retain(|(runner, run, _)| (*runner, *run) != (&event.runner, event.run))
            }
        }
    }
    found
}

/// A zone with three of five entries, the owner among them, is cut off for 6 s while scheduled jobs
/// come due.
fn zone(world: &Arc<World>) -> Verdict {
    let mut deployment = Deployment::start(world, &[1, 1, 1, 2, 3], &[1, 1, 2, 2, 3, 3], 16_000);
    if !wait_ready(world, &deployment.entries, START_LIMIT) {
        return Verdict::NotRun("the entries did not become ready".to_string());
    }
    if !deployment.move_owner_to(1) {
        return Verdict::NotRun("the owner is not in the zone that is to be cut off".to_string());
    }
    // The log has to be steady, as in any system that has run for a while.
    let begin = world.now() + 12_000;
    let epoch_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64);
    let first_due = epoch_ms + 9_000;
    for job in 0..4 {
        let id = format!("5c0e7a21d94b36f{job}");
        let body = format!(
            r#"{{"spec":"2500","steps":[{{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":2500}}],"repeat_count":10,"start_at_ms":{},"interval_ms":1500}}"#,
            first_due + 300 * job as u64
        );
        let status = deployment.submit(job, &id, &body);
        if status != 200 {
            return Verdict::NotRun(format!("a job was not accepted: {status}"));
        }
    }
    sleep_until(world, begin);
    if deployment.owner_zone() != Some(1) {
        return Verdict::NotRun("the owner has left the zone that is to be cut off".to_string());
    }
    if world.has_trouble() {
        world.set_cut(1);
    }
    sleep_until(world, begin + 6_000);
    if world.has_trouble() {
        world.set_cut(0);
    }
    sleep_until(world, begin + 24_000);
    for job in 0..4 {
        deployment.state(job, &format!("5c0e7a21d94b36f{job}"));
    }
    let found = overlaps(&deployment.events.all());
    for line in &found {
        world.note(&format!("TWICE: {line}"));
    }
    match found.first() {
        Some(first) => Verdict::Broken(format!("TWICE, {} times: {first}", found.len())),
        None => Verdict::Held,
    }
}

/// The runner of a lasting task crashes four times, each time some seconds after the task has started
/// there. One of seven runners is down at a time.
fn crashes(world: &Arc<World>) -> Verdict {
    const JOB: &str = "5c0e7a21d94b36f8";
    let deployment = Deployment::start(world, &[1, 2, 3], &[1, 1, 1, 2, 2, 3, 3], 16_000);
    if !wait_ready(world, &deployment.entries, START_LIMIT) {
        return Verdict::NotRun("the entries did not become ready".to_string());
    }
    sleep_until(world, world.now() + 4_000);
    let body = r#"{"spec":"600000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":500,"long_running":true}]}"#;
    let status = deployment.submit(0, JOB, body);
    if status != 200 {
        return Verdict::NotRun(format!("the job was not accepted: {status}"));
    }
    let task = format!("{JOB}.0.0.0");
    let runner_of =
        |task: &String| deployment.runners.iter().find(|runner| runner.running().contains(task));
    let mut crashed = 0;
    for _ in 0..4 {
        let until = world.now() + 15_000;
        while runner_of(&task).is_none() && world.now() < until {
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(5_000));
        if let Some(runner) = runner_of(&task).filter(|_| world.has_trouble()) {
            runner.crash(4_500);
            crashed += 1;
        }
        deployment.state(1, JOB);
    }
    thread::sleep(Duration::from_secs(15));
    let states: Vec<Option<String>> = (0..3).map(|entry| deployment.state(entry, JOB)).collect();
    let ends = deployment.events.all();
    let failed = ends.iter().filter(|event| event.end == Some("failed")).count();
    let is_running = runner_of(&task).is_some();
    match states.iter().flatten().find(|state| *state == "failed") {
        Some(_) => Verdict::Broken(format!(
            "LOST: the job is shown as failed after {crashed} crashes and {failed} ends `failed`; it runs: {is_running}"
        )),
        None if is_running => Verdict::Held,
        None => Verdict::NotRun(format!("the job does not run, and is shown as {states:?}")),
    }
}

/// Eight jobs come that run once a minute for 60 days, and some small ones. Without the disruption
/// the eight run for an hour.
fn cron(world: &Arc<World>) -> Verdict {
    const SMALL_JOB: &str =
        r#"{"spec":"300","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":300}]}"#;
    /// The time after the end of the traffic at which jobs are asked for.
    const FINISH: Duration = Duration::from_secs(14);
    let deployment = Deployment::start(world, &[1, 2, 3], &[1, 2, 3], 16_000);
    if !wait_ready(world, &deployment.entries, START_LIMIT) {
        return Verdict::NotRun("the entries did not become ready".to_string());
    }
    deployment.entries.iter().for_each(|entry| entry.enforce_memory(world));
    let times = if world.has_trouble() { 60 * 24 * 60 } else { 60 };
    let epoch_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64);
    let mut accepted = Vec::new();
    for number in 0..30 {
        if world.now() >= LAST_STEP_MS {
            break;
        }
        if number >= 5 && number < 13 {
            let body = format!(
                r#"{{"spec":"300","steps":[{{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":300}}],"repeat_count":{times},"start_at_ms":{},"interval_ms":60000}}"#,
                epoch_ms + 10_000
            );
            let id = format!("5c0e7a21d94b36{number:02x}");
            if deployment.submit(number, &id, &body) == 200 {
                accepted.push(id);
            }
        }
        let id = format!("7d0e7a21d94b36{number:02x}");
        if deployment.submit(number, &id, SMALL_JOB) == 200 {
            accepted.push(id);
        }
        thread::sleep(Duration::from_millis(700));
    }
    thread::sleep(FINISH);
    let unanswered = deployment.unanswered(&accepted).len();
    let events = deployment.events.all();
    let has_begun = |id: &&String| events.iter().any(|event| event.task.starts_with(id.as_str()));
    let idle = accepted.iter().filter(|id| !has_begun(id)).count();
    let kills: Vec<usize> = deployment.entries.iter().map(Entry::kills).collect();
    let often = kills.iter().filter(|kills| **kills >= 3).count();
    let found = format!(
        "of {} accepted jobs {idle} have not begun and {unanswered} are not answered for; processes went over \
         their memory {kills:?} times",
        accepted.len()
    );
    world.note(&found);
    match idle + unanswered + often {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("LOST: {found}")),
    }
}

/// The zone of the owner is cut off for 6 s. A client there, with an open connection to the entry of
/// its zone, cancels a job that was accepted in another zone meanwhile.
fn cancel(world: &Arc<World>) -> Verdict {
    const FIRST_JOB: &str = "5c0e7a21d94b36f0";
    const JOB: &str = "5c0e7a21d94b36f1";
    const SMALL: &str =
        r#"{"spec":"300","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":300}]}"#;
    const LONG: &str = r#"{"spec":"5000","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":5000},{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":5000,"depends_on":[0]}]}"#;
    /// As in the settings.
    const CANCEL_MS: u64 = 3_000;
    let deployment = Deployment::start(world, &[1, 2, 3], &[1, 1, 2, 2, 3, 3], 16_000);
    if !wait_ready(world, &deployment.entries, START_LIMIT)
        || deployment.submit(0, FIRST_JOB, SMALL) != 200
    {
        return Verdict::NotRun("the entries did not become ready".to_string());
    }
    thread::sleep(Duration::from_secs(4));
    let Some(owner) = deployment.store.owner() else {
        return Verdict::NotRun("there is no owner".to_string());
    };
    let (own, other) = (deployment.entries[owner].place(), (owner + 1) % deployment.entries.len());
    world.note(&format!("the owner is {}", own.name()));
    let Some(mut open) = Connection::open(&own.front(), CALL_TIMEOUT_MS) else {
        return Verdict::NotRun("an entry takes no connection".to_string());
    };
    let mut call_on_open = |method: &str, id: &str| {
        let answer = open.call(method, &format!("{PREFIX}{id}"), HOST, "", CALL_TIMEOUT_MS);
        let status = answer.map_or(0, |(status, _)| status);
        world.note(&format!("{method} {PREFIX}{id} on the open connection: {status}"));
        status
    };
    if call_on_open("GET", FIRST_JOB) != 200 {
        return Verdict::NotRun("the first job is not known".to_string());
    }
    let begin = world.now();
    if world.has_trouble() {
        world.set_cut(own.zone);
    }
    sleep_until(world, begin + 2_500);
    if deployment.submit(other, JOB, LONG) != 200 {
        return Verdict::NotRun("the job was not accepted in another zone".to_string());
    }
    sleep_until(world, begin + 3_000);
    call_on_open("GET", JOB);
    let status = call_on_open("DELETE", JOB);
    let acknowledged = world.now();
    sleep_until(world, begin + 6_000);
    if world.has_trouble() {
        world.set_cut(0);
    }
    sleep_until(world, begin + 20_000);
    deployment.state(other, JOB);
    let is_late = |event: &&Event| event.end.is_none() && event.at > acknowledged + CANCEL_MS;
    let events = deployment.events.all();
    let late: Vec<&Event> =
        events.iter().filter(is_late).filter(|event| event.task.starts_with(JOB)).collect();
    match (status, late.first()) {
        (200 | 410, Some(first)) => Verdict::Broken(format!(
            "UNASKED: the cancelling was acknowledged with {status} at {acknowledged}, and {} starts at {}",
            first.task, first.at
        )),
        (200 | 410, None) => Verdict::Held,
        (status, _) => {
            world.note(&format!("the cancelling was not acknowledged: {status}"));
            Verdict::Held
        }
    }
}

/// A job of 100,000 small tasks comes before small jobs. Without the disruption it has 1,000 tasks.
fn wide(world: &Arc<World>) -> Verdict {
    const JOB: &str = "5c0e7a21d94b36f1";
    const SMALL_JOB: &str =
        r#"{"spec":"300","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":300}]}"#;
    /// As in RULES.md, LOST.
    const IDLE_MS: u64 = 3_000;
    let deployment =
        Deployment::start(world, &[1, 2, 3], &[[1; 6], [2; 6], [3; 6]].concat(), 16_000);
    if !wait_ready(world, &deployment.entries, START_LIMIT) {
        return Verdict::NotRun("the entries did not become ready".to_string());
    }
    deployment.entries.iter().for_each(|entry| entry.enforce_memory(world));
    thread::sleep(Duration::from_secs(3));
    let count = if world.has_trouble() { 100_000 } else { 1_000 };
    let body = format!(
        r#"{{"spec":"20000","steps":[{{"count":{count},"cpu":1,"mem_mb":1,"estimate_ms":20000}}]}}"#
    );
    let mut accepted = Vec::new();
    if deployment.submit(0, JOB, &body) == 200 {
        accepted.push((JOB.to_string(), world.now()));
    }
    for number in 0..24 {
        if world.now() >= LAST_STEP_MS {
            break;
        }
        let id = format!("7d0e7a21d94b36{number:02x}");
        if deployment.submit(number, &id, SMALL_JOB) == 200 {
            accepted.push((id, world.now()));
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(14));
    let (events, now) = (deployment.events.all(), world.now());
    let mut idle = Vec::new();
    for (id, at) in &accepted {
        let is_start = |event: &&Event| event.end.is_none() && event.task.starts_with(id.as_str());
        let begun = events.iter().find(is_start).map_or(now, |event| event.at);
        if begun > at + IDLE_MS {
            idle.push(format!("{id} for {} ms", begun - at));
        }
    }
    let kills: Vec<usize> = deployment.entries.iter().map(Entry::kills).collect();
    world.note(&format!("processes that went over their memory: {kills:?} times"));
    match idle.as_slice() {
        [] => Verdict::Held,
        idle => Verdict::Broken(format!(
            "LOST: {} of {} accepted jobs had nothing running, with room for them: {}",
            idle.len(),
            accepted.len(),
            idle.join(", ")
        )),
    }
}
