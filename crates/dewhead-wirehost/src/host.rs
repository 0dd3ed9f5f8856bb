//! The instances of one process: what the wire says becomes calls on their balancers.

use crate::door::{Door, Output};
use dewhead::state::{Balancer, Call};
use dewhead::terms::{Ending, Listed, News, State, Wanted};
use dewhead_startup::fields::{
    array, boolean, field, index_in, integer, invalid, number, optional, seconds, text, ParseResult,
};
use dewhead_startup::{KnownNames, Startup};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;

/// For how long the wire may still name a call that has ended, in milliseconds.
const ECHO_MS: f64 = 1000.0;

struct Instance {
    door: Rc<Door>,
    balancer: Rc<Balancer>,
    known: KnownNames,
    /// Where in a load report the load asked over the load possible stands.
    asked_field: Option<usize>,
    /// Calls the wire may still speak of; one leaves when it is over.
    calls: HashMap<u64, Rc<Call>>,
    /// Calls that are over, for `ECHO_MS`: an event about one of them is late, not wrong.
    echoes: VecDeque<(f64, u64)>,
}

#[derive(Default)]
pub struct Host {
    output: Output,
    instances: HashMap<String, Instance>,
    /// Numbered lists, by number; the wire uses the same few numbers again and again.
    lists: HashMap<u64, List>,
}

/// A numbered list as it came, and as last decoded: by which zone names, and the entries. Where weights move with load
/// it comes each second to hundreds of instances, which all have the same names; decoded for each it took most of the
/// time (ktm-ingest, big-1).
struct List {
    rows: Value,
    decoded: RefCell<Option<Decoded>>,
}

type Decoded = (Vec<String>, Rc<Vec<Listed>>);

impl List {
    fn entries(&self, zones: &[String]) -> ParseResult<Rc<Vec<Listed>>> {
        if let Some((_, entries)) = self.decoded.borrow().as_ref().filter(|(by, _)| by == zones) {
            return Ok(entries.clone());
        }
        let rows = self.rows.as_array().map(Vec::as_slice).unwrap_or_default();
        let entries = Rc::new(rows.iter().map(|row| entry(row, zones)).collect::<ParseResult<Vec<_>>>()?);
        *self.decoded.borrow_mut() = Some((zones.to_vec(), entries.clone()));
        Ok(entries)
    }
}

fn entry(row: &Value, zones: &[String]) -> ParseResult<Listed> {
    Ok(Listed {
        id: server_id(row)?,
        zone: index_in(row, "rackZone", zones)?,
        cell: optional(row, "block", integer)?.unwrap_or(0),
        state: match text(row, "mode")? {
            "Ready" => State::Ready,
            "Terminating" => State::Draining,
            "Gone" => State::Gone,
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
    /// One batch in, one reply out; an error says what is wrong with the batch.
    pub fn batch(&mut self, line: &[u8]) -> ParseResult<String> {
        let batch: Value = serde_json::from_slice(line).map_err(|e| format!("malformed line: {e}"))?;
        let frame = integer(&batch, "frame").map_err(|e| format!("batch: {e}"))?;
        let tell = |e: String| format!("frame {frame}: {e}");
        let wall = number(&batch, "wall").map_err(tell)?;
        let inbox = array(&batch, "inbox").map_err(tell)?;
        {
            let mut output = self.output.borrow_mut();
            output.clear();
            let _ = write!(output, "{{\"frame\":{frame},\"output\":[");
        }
        for event in inbox {
            let one = event.as_object().filter(|o| o.len() == 1).and_then(|o| o.iter().next());
            let (name, fields) = one.ok_or_else(|| tell("an event is not an object with one key".into()))?;
            self.event(wall, name, fields).map_err(|e| tell(format!("{name}: {e}")))?;
        }
        self.output.borrow_mut().push_str("]}\n");
        Ok(self.output.borrow().clone())
    }

    fn event(&mut self, wall: f64, name: &str, of: &Value) -> ParseResult<()> {
        if name == "LIST" {
            let slot = integer(of, "slot")?;
            array(of, "rowsIn")?;
            self.lists.insert(slot, List { rows: of["rowsIn"].clone(), decoded: RefCell::default() });
            return Ok(());
        }
        let who = text(of, "who")?;
        if name == "UP" {
            let instance = Instance::start(wall / 1000.0, who, self.output.clone(), of)?;
            self.instances.insert(who.to_owned(), instance);
            return Ok(());
        }
        if name == "POWER_OFF" {
            self.instances.remove(who);
            return Ok(());
        }
        let instance =
            self.instances.get_mut(who).ok_or_else(|| format!("field 'who' names unknown '{who}'"))?;
        if name == "DIRECTORY_UPDATE" {
            return instance.list(wall / 1000.0, of, &self.lists);
        }
        instance.event(wall, name, of)
    }
}

impl Instance {
    fn start(now: f64, who: &str, output: Output, of: &Value) -> ParseResult<Instance> {
        let seed = u128::from(integer(of, "initSeed")?);
        let startup = Startup::parse(field(of, "profileData")?)?;
        let door = Rc::new(Door::new(who, output));
        let asked_field = startup.requested_load_field;
        let (balancer, known) = startup.into_balancer(seed, door.clone());
        balancer.begin(now);
        Ok(Instance { door, balancer, known, asked_field, calls: HashMap::new(), echoes: VecDeque::new() })
    }

    fn list(&self, now: f64, of: &Value, lists: &HashMap<u64, List>) -> ParseResult<()> {
        let news = match text(of, "form")? {
            "delta" => News::Changes,
            "full" => News::Whole,
            "cached" => News::Remembered,
            "failed" => {
                self.balancer.list(now, News::Failed, &[]);
                return Ok(());
            }
            other => return Err(format!("field 'form' names unknown '{other}'")),
        };
        let slot = integer(of, "slot")?;
        let list = lists.get(&slot).ok_or_else(|| format!("field 'slot' names unknown list {slot}"))?;
        let entries = list.entries(&self.known.zones)?;
        self.balancer.list(now, news, &entries);
        Ok(())
    }

    fn event(&mut self, wall: f64, name: &str, of: &Value) -> ParseResult<()> {
        let now = wall / 1000.0;
        match name {
            "INGRESS" | "ALREADY_OPEN" => {
                let id = call_id(of)?;
                let wanted = Wanted {
                    traffic: index_in(of, "band", &self.known.traffic_types)?,
                    shop: match of.get("org") {
                        Some(Value::String(_)) => Some(index_in(of, "org", &self.known.tenants)?),
                        _ => None,
                    },
                    until: seconds(of, "deadline")?,
                    // Milliseconds of work a second.
                    hint: optional(of, "costGuess", seconds)?,
                    group: optional(of, "teamId", integer)?,
                };
                let call = match name {
                    "INGRESS" => self.balancer.take(now, id, wanted),
                    _ => self.balancer.adopt(now, id, wanted, server_id(of)?),
                };
                self.calls.insert(id, call);
                self.settle(wall, id);
            }
            "FIRST_BYTE" => {
                let leg = integer(of, "roundNo")? as usize;
                self.with_call(wall, of, |call| {
                    call.established(now, leg);
                    Ok(())
                })?;
            }
            "VANISHED" => self.with_call(wall, of, |call| {
                call.left();
                Ok(())
            })?,
            "INTERIM" => self.with_call(wall, of, |call| {
                let (leg, amount) = (integer(of, "roundNo")? as usize, number(of, "amount")?);
                match integer(of, "kind")? {
                    1 => call.load_is(now, leg, amount / 1e6),
                    2 => call.messages_take(now, leg, amount / 1000.0),
                    _ => {}
                }
                Ok(())
            })?,
            "ATTEMPT_END" => {
                let (leg, last) = (integer(of, "roundNo")? as usize, boolean(of, "last")?);
                let ending = ending(text(of, "result")?)?;
                self.with_call(wall, of, |call| {
                    call.ended(now, leg, ending, last);
                    Ok(())
                })?;
            }
            "TICK_DUE" => match self.door.fired(integer(of, "name")?) {
                Some(None) => self.balancer.woken(now),
                Some(Some(id)) => {
                    if let Some(call) = self.calls.get(&id).cloned() {
                        call.woken(now);
                        self.settle(wall, id);
                    }
                }
                None => {}
            },
            // A call that is over with this is let go of when its timer for the probe fires.
            "PROBE_RESULT" => self.balancer.probed(now, server_id(of)?, self.asked(of)?),
            // Nothing is told to peers.
            "FROM_PEER" => {}
            other => return Err(format!("unknown event '{other}'")),
        }
        Ok(())
    }

    /// The load asked over the load possible, where a report came along.
    fn asked(&self, of: &Value) -> ParseResult<Option<f64>> {
        let usage = optional(of, "usage", array)?;
        Ok(self.asked_field.and_then(|at| usage?.get(at)?.as_f64()))
    }

    fn with_call(
        &mut self,
        wall: f64,
        of: &Value,
        tell: impl FnOnce(&Rc<Call>) -> ParseResult<()>,
    ) -> ParseResult<()> {
        let id = call_id(of)?;
        match self.calls.get(&id) {
            Some(call) => tell(call)?,
            None if self.echoes.iter().any(|(_, echo)| *echo == id) => return Ok(()),
            None => return Err("field 'txn' names an unknown call".into()),
        }
        self.settle(wall, id);
        Ok(())
    }

    /// Lets go of a call that is over.
    fn settle(&mut self, wall: f64, id: u64) {
        if self.calls.get(&id).is_some_and(|call| call.is_over()) {
            self.calls.remove(&id);
            self.echoes.push_back((wall, id));
        }
        while self.echoes.front().is_some_and(|(at, _)| wall - at > ECHO_MS) {
            self.echoes.pop_front();
        }
    }
}

fn ending(name: &str) -> ParseResult<Ending> {
    Ok(match name {
        "OK" => Ending::Served,
        "INTERNAL" => Ending::Error,
        "RESOURCE_EXHAUSTED" => Ending::Full,
        "DEADLINE_EXCEEDED" => Ending::TimedOut,
        "UNAVAILABLE" => Ending::Unreachable,
        "ABORTED" => Ending::Broken,
        "CANCELLED" => Ending::Cancelled,
        "TOO_LATE" => Ending::NotSent,
        other => return Err(format!("field 'result' names unknown '{other}'")),
    })
}
