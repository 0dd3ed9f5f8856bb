//! The balancers of one process: events from the simulator's wire become method calls on them.

use crate::actions::{ActionWriter, Output};
use dewhead::state::{Balancer, Call};
use dewhead::types::{CallRequest, LegOutcome, ListUpdate, ServerEntry, ServerState};
use dewhead_startup::fields::{
    array, boolean, field, index_in, integer, invalid, number, optional, seconds, text, ParseResult,
};
use dewhead_startup::{KnownNames, Startup};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;

/// How long events may still refer to a call that has ended, in milliseconds.
const LATE_EVENTS_MS: f64 = 1000.0;

/// One balancer and what its host keeps for it.
struct Instance {
    actions: Rc<ActionWriter>,
    balancer: Rc<Balancer>,
    names: KnownNames,
    /// Index, within a load report, of the ratio of offered load to capacity, if servers report it.
    offered_load_field: Option<usize>,
    /// The open calls by id.
    calls: HashMap<u64, Rc<Call>>,
    /// Calls that ended within the last `LATE_EVENTS_MS`, each after the time at which it ended, in milliseconds. An
    /// event that refers to one of them is late, not an error.
    ended_calls: VecDeque<(f64, u64)>,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    output: Output,
    /// By name on the wire.
    instances: HashMap<String, Instance>,
    /// Server lists by slot number; the wire reuses the same few slots.
    lists: HashMap<u64, List>,
}

/// A server list as received, and as last decoded. Where weights follow load, each second a list is sent to hundreds of
/// instances that have the same zone names; decoding it for each of them took most of the time (ktm-ingest, big-1).
struct List {
    rows: Value,
    decoded: RefCell<Option<Decoded>>,
}

/// The zone names that a list was decoded with, and its entries.
type Decoded = (Vec<String>, Rc<Vec<ServerEntry>>);

impl List {
    /// The decoded entries; decodes them unless they were last decoded with the same zone names.
    fn entries(&self, zones: &[String]) -> ParseResult<Rc<Vec<ServerEntry>>> {
        if let Some((_, entries)) =
            self.decoded.borrow().as_ref().filter(|(decoded_with, _)| decoded_with == zones)
        {
            return Ok(entries.clone());
        }
        let rows = self.rows.as_array().map(Vec::as_slice).unwrap_or_default();
        let entries =
            Rc::new(rows.iter().map(|row| parse_entry(row, zones)).collect::<ParseResult<Vec<_>>>()?);
        *self.decoded.borrow_mut() = Some((zones.to_vec(), entries.clone()));
        Ok(entries)
    }
}

fn parse_entry(row: &Value, zones: &[String]) -> ParseResult<ServerEntry> {
    Ok(ServerEntry {
        id: server_id(row)?,
        zone: index_in(row, "rackZone", zones)?,
        cell: optional(row, "block", integer)?.unwrap_or(0),
        state: match text(row, "mode")? {
            "Ready" => ServerState::Ready,
            "Terminating" => ServerState::Draining,
            "Gone" => ServerState::Gone,
            other => return Err(format!("field 'mode' names unknown '{other}'")),
        },
        weight: optional(row, "size", number)?.unwrap_or(1.0),
        started: optional(row, "readyAt", seconds)?.filter(|at| *at > 0.0),
    })
}

fn server_id(of: &Value) -> ParseResult<u64> {
    u32::try_from(integer(of, "server")?).map(u64::from).map_err(|_| invalid("server", "a number below 2^32"))
}

fn call_id(of: &Value) -> ParseResult<u64> {
    let hex = text(of, "txn")?;
    match u64::from_str_radix(hex, 16) {
        Ok(id) if hex.len() == 16 => Ok(id),
        _ => Err(invalid("txn", "16 hex digits")),
    }
}

impl Host {
    /// Handles one batch of events and returns the reply line.
    ///
    /// # Errors
    ///
    /// What is wrong with the batch.
    pub fn batch(&mut self, line: &[u8]) -> ParseResult<String> {
        let batch: Value = serde_json::from_slice(line).map_err(|e| format!("malformed line: {e}"))?;
        let frame = integer(&batch, "frame").map_err(|e| format!("batch: {e}"))?;
        let with_frame = |e: String| format!("frame {frame}: {e}");
        let wall = number(&batch, "wall").map_err(with_frame)?;
        let inbox = array(&batch, "inbox").map_err(with_frame)?;
        {
            let mut output = self.output.borrow_mut();
            output.clear();
            let _ = write!(output, "{{\"frame\":{frame},\"output\":[");
        }
        for event in inbox {
            let entry = event.as_object().filter(|o| o.len() == 1).and_then(|o| o.iter().next());
            let (name, fields) =
                entry.ok_or_else(|| with_frame("an event is not an object with one key".into()))?;
            self.event(wall, name, fields).map_err(|e| with_frame(format!("{name}: {e}")))?;
        }
        self.output.borrow_mut().push_str("]}\n");
        Ok(self.output.borrow().clone())
    }

    /// Handles an event, at `wall` milliseconds.
    fn event(&mut self, wall: f64, name: &str, of: &Value) -> ParseResult<()> {
        if name == "LIST" {
            let slot = integer(of, "slot")?;
            array(of, "rowsIn")?;
            self.lists.insert(slot, List { rows: of["rowsIn"].clone(), decoded: RefCell::default() });
            return Ok(());
        }
        let instance_name = text(of, "who")?;
        if name == "UP" {
            let instance = Instance::start(wall / 1000.0, instance_name, self.output.clone(), of)?;
            self.instances.insert(instance_name.to_owned(), instance);
            return Ok(());
        }
        if name == "POWER_OFF" {
            self.instances.remove(instance_name);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(instance_name)
            .ok_or_else(|| format!("field 'who' names unknown '{instance_name}'"))?;
        if name == "DIRECTORY_UPDATE" {
            return instance.list(wall / 1000.0, of, &self.lists);
        }
        instance.event(wall, name, of)
    }
}

impl Instance {
    /// Starts an instance of this name at `now`, in seconds.
    fn start(now: f64, instance_name: &str, output: Output, of: &Value) -> ParseResult<Instance> {
        let seed = u128::from(integer(of, "initSeed")?);
        let startup = Startup::parse(field(of, "profileData")?)?;
        let actions = Rc::new(ActionWriter::new(instance_name, output));
        let offered_load_field = startup.offered_load_field;
        let (balancer, names) = startup.into_balancer(seed, actions.clone());
        balancer.start(now);
        Ok(Instance {
            actions,
            balancer,
            names,
            offered_load_field,
            calls: HashMap::new(),
            ended_calls: VecDeque::new(),
        })
    }

    /// Passes an update of the server list to the balancer.
    fn list(&self, now: f64, of: &Value, lists: &HashMap<u64, List>) -> ParseResult<()> {
        let update = match text(of, "form")? {
            "delta" => ListUpdate::Delta,
            "full" => ListUpdate::Full,
            "cached" => ListUpdate::Cached,
            "failed" => {
                self.balancer.on_list_update(now, ListUpdate::Failed, &[]);
                return Ok(());
            }
            other => return Err(format!("field 'form' names unknown '{other}'")),
        };
        let slot = integer(of, "slot")?;
        let list = lists.get(&slot).ok_or_else(|| format!("field 'slot' names unknown list {slot}"))?;
        let entries = list.entries(&self.names.zones)?;
        self.balancer.on_list_update(now, update, &entries);
        Ok(())
    }

    /// Handles an event for this instance, at `wall` milliseconds.
    fn event(&mut self, wall: f64, name: &str, of: &Value) -> ParseResult<()> {
        let now = wall / 1000.0;
        match name {
            "INGRESS" | "ALREADY_OPEN" => {
                let id = call_id(of)?;
                let request = CallRequest {
                    traffic_type: index_in(of, "band", &self.names.traffic_types)?,
                    tenant: match of.get("org") {
                        Some(Value::String(_)) => Some(index_in(of, "org", &self.names.tenants)?),
                        _ => None,
                    },
                    deadline: seconds(of, "deadline")?,
                    // In milliseconds of work a second.
                    load_hint: optional(of, "costGuess", seconds)?,
                    group: optional(of, "teamId", integer)?,
                };
                let call = match name {
                    "INGRESS" => self.balancer.accept_call(now, id, request),
                    _ => self.balancer.adopt_connection(now, id, request, server_id(of)?),
                };
                self.calls.insert(id, call);
                self.remove_if_finished(wall, id);
            }
            "FIRST_BYTE" => {
                let leg = integer(of, "roundNo")? as usize;
                self.with_call(wall, of, |call| {
                    call.on_established(now, leg);
                    Ok(())
                })?;
            }
            "VANISHED" => self.with_call(wall, of, |call| {
                call.on_client_left();
                Ok(())
            })?,
            "INTERIM" => self.with_call(wall, of, |call| {
                let (leg, amount) = (integer(of, "roundNo")? as usize, number(of, "amount")?);
                match integer(of, "kind")? {
                    1 => call.on_load(now, leg, amount / 1e6),
                    2 => call.on_message_delay(now, leg, amount / 1000.0),
                    _ => {}
                }
                Ok(())
            })?,
            "ATTEMPT_END" => {
                let (leg, last) = (integer(of, "roundNo")? as usize, boolean(of, "last")?);
                let outcome = parse_outcome(text(of, "result")?)?;
                self.with_call(wall, of, |call| {
                    call.on_leg_ended(now, leg, outcome, last);
                    Ok(())
                })?;
            }
            "TICK_DUE" => match self.actions.take_timer(integer(of, "name")?) {
                Some(None) => self.balancer.on_timer(now),
                Some(Some(id)) => {
                    if let Some(call) = self.calls.get(&id).cloned() {
                        call.on_timer(now);
                        self.remove_if_finished(wall, id);
                    }
                }
                None => {}
            },
            // A call that this ends is removed when the timer of its probe fires.
            "PROBE_RESULT" => self.balancer.on_probe_result(now, server_id(of)?, self.offered_load(of)?),
            // Balancers send nothing to their peers.
            "FROM_PEER" => {}
            other => return Err(format!("unknown event '{other}'")),
        }
        Ok(())
    }

    /// The ratio of offered load to capacity, if the event contains a load report.
    fn offered_load(&self, of: &Value) -> ParseResult<Option<f64>> {
        let usage = optional(of, "usage", array)?;
        Ok(self.offered_load_field.and_then(|index| usage?.get(index)?.as_f64()))
    }

    /// Applies an event to the call that it names, and removes the call if that ends it.
    fn with_call(
        &mut self,
        wall: f64,
        of: &Value,
        apply: impl FnOnce(&Rc<Call>) -> ParseResult<()>,
    ) -> ParseResult<()> {
        let id = call_id(of)?;
        match self.calls.get(&id) {
            Some(call) => apply(call)?,
            None if self.ended_calls.iter().any(|(_, ended)| *ended == id) => return Ok(()),
            None => return Err("field 'txn' names an unknown call".into()),
        }
        self.remove_if_finished(wall, id);
        Ok(())
    }

    /// Removes a call if it is finished, and the ended calls that are older than `LATE_EVENTS_MS`.
    fn remove_if_finished(&mut self, wall: f64, id: u64) {
        if self.calls.get(&id).is_some_and(|call| call.is_finished()) {
            self.calls.remove(&id);
            self.ended_calls.push_back((wall, id));
        }
        while self.ended_calls.front().is_some_and(|(at, _)| wall - at > LATE_EVENTS_MS) {
            self.ended_calls.pop_front();
        }
    }
}

fn parse_outcome(name: &str) -> ParseResult<LegOutcome> {
    Ok(match name {
        "OK" => LegOutcome::Served,
        "INTERNAL" => LegOutcome::Error,
        "RESOURCE_EXHAUSTED" => LegOutcome::Full,
        "DEADLINE_EXCEEDED" => LegOutcome::TimedOut,
        "UNAVAILABLE" => LegOutcome::Unreachable,
        "ABORTED" => LegOutcome::Broken,
        "CANCELLED" => LegOutcome::Cancelled,
        "TOO_LATE" => LegOutcome::NotSent,
        other => return Err(format!("field 'result' names unknown '{other}'")),
    })
}
