//! Runners: they start what they are told under a lease, and list what runs and what has ended.
//!
//! The text of a task is the time that it runs, in milliseconds.

use crate::World;
use crate::http::{Request, Response, serve};
use crate::json::{Json, quote};
use crate::store::Store;
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest lease that a runner gives.
const MAX_LEASE_MS: u64 = 10_000;
/// The time between two writes of a runner's record in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// A record without a write for this long is removed.
const RECORD_EXPIRY_MS: u64 = 4_500;
/// How often runs and leases are checked for their end.
const TICK: Duration = Duration::from_millis(5);
const MAX_LISTED_ENDS: usize = 500;

struct Run {
    number: u64,
    ends_at: Instant,
}

struct State {
    /// The number of the life, from 1. Each crash begins another one.
    life: u64,
    born: Instant,
    /// Until when the runner is down after a crash.
    down_until: Option<Instant>,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Run>,
    /// Ends that are not confirmed: number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// The highest run of each task that was stopped or has ended.
    last_runs: HashMap<String, u64>,
    written_at: u64,
    listed: Option<String>,
}

impl State {
    fn new(life: u64) -> Self {
        Self {
            life,
            born: Instant::now(),
            down_until: None,
            fence: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            last_runs: HashMap::new(),
            written_at: 0,
            listed: None,
        }
    }

    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// A start or an end of a run, as the runner saw it.
#[derive(Clone)]
pub struct Event {
    pub at: u64,
    pub runner: String,
    pub task: String,
    pub run: u64,
    /// `None`: a start.
    pub end: Option<&'static str>,
}

/// What all runners saw.
#[derive(Default)]
pub struct Events(Mutex<Vec<Event>>);

impl Events {
    pub fn all(&self) -> Vec<Event> {
        self.0.lock().unwrap().clone()
    }

    fn add(&self, world: &World, event: Event) {
        let Event { runner, task, run, .. } = &event;
        match event.end {
            None => world.note(&format!("{runner} starts {task} run {run}")),
            Some(how) => world.note(&format!("{runner} ends {task} run {run}: {how}")),
        }
        self.0.lock().unwrap().push(event);
    }
}

pub struct Runner {
    world: Arc<World>,
    events: Arc<Events>,
    name: String,
    addr: String,
    zone: u8,
    zone_name: String,
    service: String,
    cpu: u64,
    state: Mutex<State>,
    changed: Condvar,
}

impl Runner {
    /// Starts a runner at an address, in a zone.
    pub fn start(
        world: &Arc<World>,
        store: &Arc<Store>,
        events: &Arc<Events>,
        (name, addr, cpu): (&str, &str, u64),
        (zone, zone_name, service): (u8, &str, &str),
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            world: world.clone(),
            events: events.clone(),
            name: name.to_string(),
            addr: addr.to_string(),
            zone,
            zone_name: zone_name.to_string(),
            service: service.to_string(),
            cpu,
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(addr).expect("the address of a runner is taken");
        let (up, handler) = (runner.clone(), runner.clone());
        let is_up = move || !up.state.lock().unwrap().is_down();
        serve(listener, is_up, move |request| handler.handle(request));
        let (ticking, writing, store) = (runner.clone(), runner.clone(), store.clone());
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        thread::spawn(move || writing.write_records(&store));
        runner
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().running.keys().cloned().collect()
    }

    /// Crashes the runner: all that runs on it is lost, and it starts again, with a new id, after
    /// `down_ms`.
    pub fn crash(&self, down_ms: u64) {
        let mut state = self.state.lock().unwrap();
        self.world.note(&format!("{} crashes and is down for {down_ms} ms", self.id(&state)));
        for (task, run) in std::mem::take(&mut state.running) {
            self.add_event(&state, &task, run.number, Some("lost with its runner"));
        }
        let (life, listed, written_at) = (state.life + 1, state.listed.take(), state.written_at);
        let until = Instant::now() + Duration::from_millis(down_ms);
        *state = State::new(life);
        (state.born, state.down_until) = (until, Some(until));
        (state.listed, state.written_at) = (listed, written_at);
        self.changed.notify_all();
    }

    fn id(&self, state: &State) -> String {
        format!("{}{:02x}", self.name, state.life)
    }

    fn add_event(&self, state: &State, task: &str, run: u64, end: Option<&'static str>) {
        let (at, runner, task) = (self.world.now(), self.id(state), task.to_string());
        self.events.add(&self.world, Event { at, runner, task, run, end });
    }

    /// Writes the runner's record to the store for as long as it can, and removes it once it was not
    /// written for [`RECORD_EXPIRY_MS`].
    fn write_records(&self, store: &Store) {
        let mut seq = 0;
        loop {
            let (is_up, id) = {
                let state = self.state.lock().unwrap();
                (!state.is_down() && !self.world.is_cut(self.zone, 0), self.id(&state))
            };
            let mut state = self.state.lock().unwrap();
            let now = self.world.now();
            if is_up {
                seq += 1;
                if let Some(old) = state.listed.take().filter(|old| *old != id) {
                    store.put("keyed.servers", &old, b"");
                }
                store.put("keyed.servers", &id, self.record(&state, seq).as_bytes());
                (state.listed, state.written_at) = (Some(id), now);
            } else if now - state.written_at >= RECORD_EXPIRY_MS
                && let Some(old) = state.listed.take()
            {
                store.put("keyed.servers", &old, b"");
            }
            let down_until = state.down_until;
            drop(state);
            let until_up = down_until.map(|until| until.saturating_duration_since(Instant::now()));
            let pause = until_up.filter(|left| !left.is_zero()).unwrap_or(HEARTBEAT);
            thread::sleep(pause.min(HEARTBEAT));
        }
    }

    fn record(&self, state: &State, seq: u64) -> String {
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\
             \"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r{}-1\"],\"clock_ms\":{},\"seq\":{seq}}}",
            quote(&self.service),
            quote(&self.addr),
            quote(&self.zone_name),
            self.cpu,
            self.zone,
            state.clock()
        )
    }

    /// Ends the runs that are done, and all if the lease has run out.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down() {
            return;
        }
        let has_lapsed = state.clock() >= state.lease_end;
        let now = Instant::now();
        let over = state.running.iter().filter(|(_, run)| has_lapsed || run.ends_at <= now);
        let over: Vec<(String, &str)> = over
            .map(|(task, run)| (task.clone(), if run.ends_at <= now { "done" } else { "lapsed" }))
            .collect();
        for (task, how) in over {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.end_count += 1;
        let row = (state.end_count, task.to_string(), run.number, how);
        state.ended.push(row);
        let last = state.last_runs.entry(task.to_string()).or_default();
        *last = (*last).max(run.number);
        self.add_event(state, task, run.number, Some(how));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&request.body);
        let mut state = self.state.lock().unwrap();
        let wanted = request.headers.get("x-sprucerudder-expected-instance");
        if wanted.is_some_and(|wanted| *wanted != self.id(&state)) {
            return Response::json(421, "{}".to_string());
        }
        let fence = body.get("fence").number();
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        if fence > state.fence {
            self.world.note(&format!("{} hears fence {fence}", self.id(&state)));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => {
                let task = body.get("task").text().to_string();
                let run = body.get("run").number();
                let last = state.last_runs.entry(task.clone()).or_default();
                *last = (*last).max(run);
                if state.running.get(&task).is_some_and(|known| known.number == run) {
                    self.end(&mut state, &task, "stopped");
                }
                accept(&state)
            }
            "/pace" => accept(&state),
            "/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Response::json(404, "{}".to_string()),
        }
    }

    fn run_start(&self, state: &mut State, body: &Json) -> Option<Response> {
        let (task, run) = (body.get("task").text().to_string(), body.get("run").number());
        let (until, clock) = (body.get("until_ms").number(), state.clock());
        if until <= clock {
            return refuse(state, "late");
        }
        state.lease_end = state.lease_end.max(until.min(clock + MAX_LEASE_MS));
        match state.running.get(&task) {
            Some(known) if known.number == run => return accept(state),
            _ if state.last_runs.get(&task).is_some_and(|last| run <= *last) => {
                return refuse(state, "old");
            }
            _ => {}
        }
        let run_ms = body.get("spec").text().parse().unwrap_or(100);
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        state.running.insert(task.clone(), Run { number: run, ends_at });
        self.add_event(state, &task, run, None);
        accept(state)
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        let (clock, life) = (state.clock(), state.life);
        state.lease_end =
            state.lease_end.max(body.get("until_ms").number().min(clock + MAX_LEASE_MS));
        let seen = body.get("last_seen").number();
        state.ended.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let deadline = Instant::now() + wait;
        while state.ended.is_empty() && state.life == life {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if state.life != life {
            return None;
        }
        let running = state.running.iter();
        let running: Vec<String> = running
            .map(|(task, run)| format!("[{},{},\"\",100]", quote(task), run.number))
            .collect();
        let ended = state.ended.iter().take(MAX_LISTED_ENDS);
        let ended: Vec<String> = ended
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        let (clock, running, ended) = (state.clock(), running.join(","), ended.join(","));
        let body = format!("{{\"clock_ms\":{clock},\"running\":[{running}],\"ended\":[{ended}]}}");
        Response::json(200, body)
    }
}

fn accept(state: &State) -> Option<Response> {
    Response::json(200, format!("{{\"clock_ms\":{}}}", state.clock()))
}

fn refuse(state: &State, reason: &str) -> Option<Response> {
    Response::json(409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", state.clock()))
}
