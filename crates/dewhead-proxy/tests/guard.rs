//! The guard finds each broken promise, and lets what is allowed go.

use dewhead::types::{Idempotency, RepeatScope};
use dewhead_proxy::guard::cold_start::{ColdStartLimit, ZoneLoad};
use dewhead_proxy::guard::{Guard, PendingReply, RepeatFacts, SendFacts, SentAttempt, Violation};
use dewhead_startup::SlowStartSettings;

const SENT: SentAttempt = SentAttempt { at: 100.0, zone: 1, cell: 4 };
const SOUND: SendFacts = SendFacts { client_waiting: true, before_deadline: true, server_ready: true };

fn repeating(effect: Idempotency, ran: Option<SentAttempt>, to: SentAttempt) -> RepeatFacts {
    RepeatFacts {
        idempotency: effect,
        repeat_window: 2.0,
        open_attempts: 0,
        two_at_once: false,
        may_have_run: ran,
        target: to,
    }
}

#[test]
fn sending_needs_a_client_time_and_a_ready_server() {
    let mut guard = Guard::default();
    assert_eq!(guard.may_send(&SOUND, &"request"), Ok(()));
    for (facts, violation) in [
        (SendFacts { client_waiting: false, ..SOUND }, Violation::SentWithoutClient),
        (SendFacts { before_deadline: false, ..SOUND }, Violation::SentAfterDeadline),
        (SendFacts { server_ready: false, ..SOUND }, Violation::SentToUnreadyServer),
    ] {
        assert_eq!(guard.may_send(&facts, &"request"), Err(violation));
    }
    assert_eq!(guard.total(), 3);
    assert!(guard.counts().all(|(_, count)| count <= 1), "each is counted by its own name");
}

#[test]
fn a_repeat_needs_an_effect_a_group_and_a_window_that_bear_it() {
    let (later, too_late) = (SentAttempt { at: 101.9, ..SENT }, SentAttempt { at: 102.0, ..SENT });
    let (cell, zone) = (SentAttempt { cell: 5, ..later }, SentAttempt { zone: 2, ..later });
    let of = |group| Idempotency::Referenced(group);
    let mut guard = Guard::default();
    for (effect, ran, to, allowed) in [
        (Idempotency::OnceOnly, None, later, true),
        (Idempotency::OnceOnly, Some(SENT), later, false),
        (Idempotency::Repeatable, Some(SENT), too_late, true),
        (of(RepeatScope::Cell), Some(SENT), later, true),
        (of(RepeatScope::Cell), Some(SENT), cell, false),
        (of(RepeatScope::Cell), Some(SENT), zone, false),
        (of(RepeatScope::Zone), Some(SENT), cell, true),
        (of(RepeatScope::Zone), Some(SENT), zone, false),
        (of(RepeatScope::All), Some(SENT), zone, true),
        (of(RepeatScope::All), Some(SENT), too_late, false),
    ] {
        let outcome = guard.may_repeat(&repeating(effect, ran, to), &"request");
        let wanted = if allowed { Ok(()) } else { Err(Violation::UnsafeRepeat) };
        assert_eq!(outcome, wanted, "{effect:?} from {ran:?} to {to:?}");
    }
}

#[test]
fn attempts_overlap_only_where_that_is_allowed() {
    let mut guard = Guard::default();
    for (effect, two_at_once, allowed) in [
        (Idempotency::Repeatable, true, true),
        (Idempotency::Repeatable, false, false),
        (Idempotency::OnceOnly, true, false),
        (Idempotency::Referenced(RepeatScope::All), true, false),
    ] {
        let facts = RepeatFacts { open_attempts: 1, two_at_once, ..repeating(effect, None, SENT) };
        let wanted = if allowed { Ok(()) } else { Err(Violation::OverlappingAttempts) };
        assert_eq!(guard.may_repeat(&facts, &"request"), wanted, "{effect:?}, two at once: {two_at_once}");
    }
}

#[test]
fn a_close_counts_where_something_is_owed() {
    let mut guard = Guard::default();
    guard.check_close(PendingReply::Nothing, &"request");
    assert_eq!(guard.total(), 0);
    guard.check_close(PendingReply::Answer, &"request");
    guard.check_close(PendingReply::Move, &"request");
    let found: Vec<Violation> = guard.counts().filter(|(_, count)| *count > 0).map(|(one, _)| one).collect();
    assert_eq!(found, [Violation::ClosedUnanswered, Violation::CutWithoutMove]);
}

#[test]
fn a_server_in_slow_start_is_sent_no_more_than_its_limit() {
    let mut guard = Guard::default();
    assert_eq!(guard.may_send_in_slow_start(0, 0.2, &"request"), Ok(()), "one request is always let go");
    assert_eq!(guard.may_send_in_slow_start(5, 5.9, &"request"), Ok(()));
    assert_eq!(guard.may_send_in_slow_start(6, 5.9, &"request"), Err(Violation::SlowStartExceeded));
}

/// The operators' figures: N, and two roots of N and two; under 30 three roots and three. The limit follows the settings, the
/// list and what is carried; a budget of the decisions that is set too high does not raise it, and is refused beyond it.
#[test]
fn the_limit_of_a_cold_server_is_reckoned_apart_from_the_decisions() {
    let terms = SlowStartSettings {
        cold_share: 0.2,
        warm_after: 10.0,
        overload_multiple: 2.5,
        window: 2.0,
        proxies: 30.0,
        total_quota: 2000.0,
        weights_are_sizes: true,
    };
    let mut limit = ColdStartLimit::new(terms);
    let locations = |connections| {
        [ZoneLoad { connections, ready_weight: 10.0 }, ZoneLoad { connections, ready_weight: 10.0 }]
    };
    limit.observe(&locations(10));
    // 100 connections fill a unit of weight by what was agreed on, and half of them are there at this age.
    let large = 2.5 * 2.0 * 400.0 * 0.6 / 10.0;
    assert!((limit.max_requests(4.0, 5.0) - (large + 2.0 * f64::sqrt(large) + 2.0)).abs() < 1e-9);
    let small = 2.5 * 2.0 * 100.0 * 0.2 / 10.0;
    assert!((limit.max_requests(1.0, 0.0) - (small + 3.0 * f64::sqrt(small) + 3.0)).abs() < 1e-9);
    // What is carried beyond that counts too, also when it stands there no more.
    limit.observe(&locations(100));
    limit.observe(&locations(0));
    assert!((limit.max_requests(1.0, 0.0) - (30.0 + 2.0 * f64::sqrt(30.0) + 2.0)).abs() < 1e-9);
    // A proxy that goes on sending is stopped there.
    let mut guard = Guard::default();
    let most = limit.max_requests(4.0, 5.0);
    let sent =
        (0..1000).take_while(|sent| guard.may_send_in_slow_start(*sent, most, &"request").is_ok()).count();
    assert_eq!(sent, most.ceil() as usize);
    assert_eq!(guard.total(), 1);
}
