//! The auditor, by hand: the test plays the proxy's part on the wires of a small world.

use dewhead_world::experiment::Experiment;
use dewhead_world::world::{Effect, EndKind, LinkKey, Target, World};

const DAY: &str = r#"
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

/// Lets the world go on until an effect is what is waited for; other effects are passed over.
fn until<T>(world: &mut World, mut wanted: impl FnMut(&Effect) -> Option<T>) -> (f64, T) {
    let mut effects = Vec::new();
    loop {
        world.take_effects(&mut effects);
        if let Some(found) = effects.iter().find_map(&mut wanted) {
            return (world.next_event_time().expect("there is always more to come"), found);
        }
        let now = world.next_event_time().expect("there is always more to come");
        assert!(now < 20.0, "it does not happen");
        world.step(now);
    }
}

fn bytes(effect: &Effect, from: Option<LinkKey>) -> Option<(LinkKey, Vec<u8>)> {
    match effect {
        Effect::Bytes(link, bytes) if from.is_none_or(|one| one == *link) => Some((*link, bytes.to_vec())),
        _ => None,
    }
}

/// A server's last lines may still be on their way through a proxy when its connection has ended on both sides, and a new
/// connection takes its place in the world's books.
///
/// What was seen: two soaks of sixty (seeds 616 and 634) counted a breach of `Lines`, 'a standing client was told "E", which its
/// server did not say' and the same of 'M 15 MOVE': the rest of a server's `MOVE`, and its last line before the proxy's own
/// word. Both came some milliseconds after the proxy had ended the leg. The auditor kept what it had seen of a link by the
/// link's slot, so that the next link in that slot took away the leg of a call that was still open.
#[test]
fn lines_that_are_on_their_way_when_their_leg_has_ended_are_the_servers() {
    let of = Experiment::parse(DAY).expect("it is sound");
    let mut world = World::new(&of, 1);
    until(&mut world, |effect| matches!(effect, Effect::Start(..)).then_some(()));
    world.on_listening(0.1, 0);
    let (now, (front, _)) = until(&mut world, |effect| bytes(effect, None));
    world.on_bytes(now, front, b"PONG\r\n");
    let (now, (client, head)) =
        until(&mut world, |effect| bytes(effect, None).filter(|(_, head)| head.starts_with(b"OPEN ")));
    let leg = world.on_dial(now, 0, Target::Node(0));
    let (now, ()) =
        until(&mut world, |effect| matches!(effect, Effect::Established(link) if *link == leg).then_some(()));
    world.on_bytes(now, leg, &head);
    let (now, (_, answer)) = until(&mut world, |effect| bytes(effect, Some(leg)));
    let first = answer.iter().position(|byte| *byte == b'\n').expect("a line") + 1;
    world.on_bytes(now, client, &answer[..first]);
    let (now, ()) =
        until(&mut world, |effect| matches!(effect, Effect::End(link, _) if *link == leg).then_some(()));
    world.on_end(now, leg, EndKind::Broken);
    // What comes next in the books: connections that the proxy makes elsewhere.
    for _ in 0..4 {
        world.on_dial(now, 0, Target::Node(1));
    }
    world.on_bytes(now, client, &answer[first..]);
    world.on_bytes(now, client, b"MOVE\r\n");
    world.on_end(now, client, EndKind::Closed);
    // Clients that come meanwhile are not answered by anybody here.
    let id = String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_owned);
    let breaches: Vec<_> = world.audit.violations.iter().filter(|breach| breach.call == id).collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
}
