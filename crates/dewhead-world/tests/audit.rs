//! Tests of the auditor: the test acts as the proxy on the links of a small world.

use dewhead_world::experiment::Experiment;
use dewhead_world::world::{Effect, EndKind, LinkKey, Target, World};

const EXPERIMENT: &str = r#"
seconds = 20
[fleet]
proxies = 1
nodes = 2
[load]
utilisation = 0.2
warm = false
[[traffic]]
name = "feeds"
life = 8
[[trouble]]
kind = "node-restart"
at = 0.9
lasts = 1
part = 1
"#;

/// Runs the world until an effect matches; other effects are ignored. Returns the time of the next event, and the
/// value of the match.
fn until<T>(world: &mut World, mut matching: impl FnMut(&Effect) -> Option<T>) -> (f64, T) {
    let mut effects = Vec::new();
    loop {
        world.take_effects(&mut effects);
        if let Some(value) = effects.iter().find_map(&mut matching) {
            return (world.next_event_time().expect("there is a next event"), value);
        }
        let now = world.next_event_time().expect("there is a next event");
        assert!(now < 20.0, "the effect does not occur");
        world.step(now);
    }
}

/// The link and the bytes of an effect that carries bytes; only from `source` if that is given.
fn bytes(effect: &Effect, source: Option<LinkKey>) -> Option<(LinkKey, Vec<u8>)> {
    match effect {
        Effect::Bytes(link, bytes) if source.is_none_or(|expected| expected == *link) => {
            Some((*link, bytes.to_vec()))
        }
        _ => None,
    }
}

/// A server's last lines may still be on their way through a proxy when its connection has ended on both
/// sides and a new link has reused its slot.
///
/// Guards against a false violation of `Lines`: the auditor identified links by slot, so that a new link
/// removed the record of a leg whose call was still open. Bytes of the server that the client was sent some
/// milliseconds after the proxy had ended the leg then counted as bytes that the server did not write: 'E',
/// the rest of its `MOVE`, and 'M 15 MOVE', its last line followed by the proxy's own `MOVE` (two of sixty
/// soak runs, seeds 616 and 634).
#[test]
fn lines_in_transit_after_their_leg_has_ended_are_attributed_to_the_server() {
    let experiment = Experiment::parse(EXPERIMENT).expect("the experiment is valid");
    let mut world = World::new(&experiment, 1);
    until(&mut world, |effect| matches!(effect, Effect::Start(..)).then_some(()));
    world.on_listening(0.1, 0);
    let (now, (front, _)) = until(&mut world, |effect| bytes(effect, None));
    world.on_bytes(now, front, b"PONG\r\n");
    let (now, (client, open_line)) = until(&mut world, |effect| {
        bytes(effect, None).filter(|(_, open_line)| open_line.starts_with(b"OPEN "))
    });
    let leg = world.on_dial(now, 0, Target::Node(0));
    let (now, ()) =
        until(&mut world, |effect| matches!(effect, Effect::Established(link) if *link == leg).then_some(()));
    world.on_bytes(now, leg, &open_line);
    let (now, (_, answer)) = until(&mut world, |effect| bytes(effect, Some(leg)));
    let first_line_end = answer.iter().position(|byte| *byte == b'\n').expect("a line") + 1;
    world.on_bytes(now, client, &answer[..first_line_end]);
    let (now, ()) =
        until(&mut world, |effect| matches!(effect, Effect::End(link, _) if *link == leg).then_some(()));
    world.on_end(now, leg, EndKind::Broken);
    // Further links that the proxy opens reuse the slot.
    for _ in 0..4 {
        world.on_dial(now, 0, Target::Node(1));
    }
    world.on_bytes(now, client, &answer[first_line_end..]);
    world.on_bytes(now, client, b"MOVE\r\n");
    world.on_end(now, client, EndKind::Closed);
    // Other calls that arrive meanwhile stay unanswered and are not checked here.
    let id = String::from_utf8_lossy(&open_line).split(' ').nth(1).map(str::to_owned);
    let violations: Vec<_> = world.audit.violations.iter().filter(|violation| violation.call == id).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
