//! The guard detects each violation, and allows everything else.

use dewhead::types::{Idempotency, RepeatScope};
use dewhead_proxy::guard::cold_start::{ColdStartLimit, ZoneLoad};
use dewhead_proxy::guard::{Guard, PendingReply, RepeatFacts, SendFacts, SentAttempt, Violation};
use dewhead_startup::SlowStartSettings;

/// The attempt that was sent first.
const EARLIER_ATTEMPT: SentAttempt = SentAttempt { at: 100.0, zone: 1, cell: 4 };
/// Facts that allow a request to be sent.
const ALLOWED_SEND: SendFacts = SendFacts { client_waiting: true, before_deadline: true, server_ready: true };

/// The facts before a repeat at `target`, after an attempt that may have run.
fn repeat_facts(
    call_idempotency: Idempotency,
    may_have_run: Option<SentAttempt>,
    target: SentAttempt,
) -> RepeatFacts {
    RepeatFacts {
        idempotency: call_idempotency,
        repeat_window: 2.0,
        open_attempts: 0,
        two_at_once: false,
        may_have_run,
        target,
    }
}

#[test]
fn a_request_is_sent_only_with_a_waiting_client_before_its_deadline_to_a_ready_server() {
    let mut guard = Guard::default();
    assert_eq!(guard.may_send(&ALLOWED_SEND, &"request"), Ok(()));
    for (facts, violation) in [
        (SendFacts { client_waiting: false, ..ALLOWED_SEND }, Violation::SentWithoutClient),
        (SendFacts { before_deadline: false, ..ALLOWED_SEND }, Violation::SentAfterDeadline),
        (SendFacts { server_ready: false, ..ALLOWED_SEND }, Violation::SentToUnreadyServer),
    ] {
        assert_eq!(guard.may_send(&facts, &"request"), Err(violation));
    }
    assert_eq!(guard.total(), 3);
    assert!(guard.counts().all(|(_, count)| count <= 1), "each violation is counted separately");
}

#[test]
fn whether_a_repeat_is_allowed_depends_on_idempotency_repeat_scope_and_repeat_window() {
    let (within_window, after_window) =
        (SentAttempt { at: 101.9, ..EARLIER_ATTEMPT }, SentAttempt { at: 102.0, ..EARLIER_ATTEMPT });
    let (other_cell, other_zone) =
        (SentAttempt { cell: 5, ..within_window }, SentAttempt { zone: 2, ..within_window });
    let referenced = |scope| Idempotency::Referenced(scope);
    let mut guard = Guard::default();
    for (call_idempotency, may_have_run, target, allowed) in [
        (Idempotency::OnceOnly, None, within_window, true),
        (Idempotency::OnceOnly, Some(EARLIER_ATTEMPT), within_window, false),
        (Idempotency::Repeatable, Some(EARLIER_ATTEMPT), after_window, true),
        (referenced(RepeatScope::Cell), Some(EARLIER_ATTEMPT), within_window, true),
        (referenced(RepeatScope::Cell), Some(EARLIER_ATTEMPT), other_cell, false),
        (referenced(RepeatScope::Cell), Some(EARLIER_ATTEMPT), other_zone, false),
        (referenced(RepeatScope::Zone), Some(EARLIER_ATTEMPT), other_cell, true),
        (referenced(RepeatScope::Zone), Some(EARLIER_ATTEMPT), other_zone, false),
        (referenced(RepeatScope::All), Some(EARLIER_ATTEMPT), other_zone, true),
        (referenced(RepeatScope::All), Some(EARLIER_ATTEMPT), after_window, false),
    ] {
        let outcome = guard.may_repeat(&repeat_facts(call_idempotency, may_have_run, target), &"request");
        let expected = if allowed { Ok(()) } else { Err(Violation::UnsafeRepeat) };
        assert_eq!(outcome, expected, "{call_idempotency:?} from {may_have_run:?} to {target:?}");
    }
}

#[test]
fn attempts_overlap_only_where_that_is_allowed() {
    let mut guard = Guard::default();
    for (call_idempotency, two_at_once, allowed) in [
        (Idempotency::Repeatable, true, true),
        (Idempotency::Repeatable, false, false),
        (Idempotency::OnceOnly, true, false),
        (Idempotency::Referenced(RepeatScope::All), true, false),
    ] {
        let facts = RepeatFacts {
            open_attempts: 1,
            two_at_once,
            ..repeat_facts(call_idempotency, None, EARLIER_ATTEMPT)
        };
        let expected = if allowed { Ok(()) } else { Err(Violation::OverlappingAttempts) };
        assert_eq!(
            guard.may_repeat(&facts, &"request"),
            expected,
            "{call_idempotency:?}, two at once: {two_at_once}"
        );
    }
}

#[test]
fn closing_is_counted_only_where_an_answer_or_a_move_is_pending() {
    let mut guard = Guard::default();
    guard.check_close(PendingReply::Nothing, &"request");
    assert_eq!(guard.total(), 0);
    guard.check_close(PendingReply::Answer, &"request");
    guard.check_close(PendingReply::Move, &"request");
    let found: Vec<Violation> =
        guard.counts().filter(|(_, count)| *count > 0).map(|(violation, _)| violation).collect();
    assert_eq!(found, [Violation::ClosedUnanswered, Violation::CutWithoutMove]);
}

#[test]
fn a_server_in_slow_start_is_sent_no_more_than_its_limit() {
    let mut guard = Guard::default();
    assert_eq!(guard.may_send_in_slow_start(0, 0.2, &"request"), Ok(()), "one request is always allowed");
    assert_eq!(guard.may_send_in_slow_start(5, 5.9, &"request"), Ok(()));
    assert_eq!(guard.may_send_in_slow_start(6, 5.9, &"request"), Err(Violation::SlowStartExceeded));
}

/// The operators' tolerance for a limit of N is two square roots of N plus two, and three square roots plus three for N
/// under 30. The limit follows from the settings, the server list and the connections carried: a budget that the
/// decisions set too high does not raise it, and requests beyond the limit are refused.
#[test]
fn the_limit_of_a_cold_server_is_independent_of_the_decisions() {
    let settings = SlowStartSettings {
        cold_share: 0.2,
        warm_after: 10.0,
        overload_multiple: 2.5,
        window: 2.0,
        proxies: 30.0,
        total_quota: 2000.0,
        weights_are_sizes: true,
    };
    let mut limit = ColdStartLimit::new(settings);
    let locations = |connections| {
        [ZoneLoad { connections, ready_weight: 10.0 }, ZoneLoad { connections, ready_weight: 10.0 }]
    };
    limit.observe(&locations(10));
    // The agreed connections give 100 for each unit of weight, and the capacity at this age is 60% of the full one.
    let large_limit = 2.5 * 2.0 * 400.0 * 0.6 / 10.0;
    assert!((limit.max_requests(4.0, 5.0) - (large_limit + 2.0 * f64::sqrt(large_limit) + 2.0)).abs() < 1e-9);
    let small_limit = 2.5 * 2.0 * 100.0 * 0.2 / 10.0;
    assert!((limit.max_requests(1.0, 0.0) - (small_limit + 3.0 * f64::sqrt(small_limit) + 3.0)).abs() < 1e-9);
    // Connections carried beyond that raise the limit, also after they have closed.
    limit.observe(&locations(100));
    limit.observe(&locations(0));
    assert!((limit.max_requests(1.0, 0.0) - (30.0 + 2.0 * f64::sqrt(30.0) + 2.0)).abs() < 1e-9);
    // A proxy that keeps sending is refused at the limit.
    let mut guard = Guard::default();
    let max_requests = limit.max_requests(4.0, 5.0);
    let sent = (0..1000)
        .take_while(|sent| guard.may_send_in_slow_start(*sent, max_requests, &"request").is_ok())
        .count();
    assert_eq!(sent, max_requests.ceil() as usize);
    assert_eq!(guard.total(), 1);
}
