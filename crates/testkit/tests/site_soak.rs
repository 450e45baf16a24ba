//! Randomly generated runs on the users' platform, and checks that each verdict fails on a
//! record with one defect.

use std::time::Duration;

use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_testkit::site_soak::{
    AttemptRecord, BackoffSpan, CallKind, EndpointRecord, LimitSpan, SiteRecord, SiteVerdicts,
    run_soak,
};
use hyper::StatusCode;
use rstest::rstest;

/// Requests that crash endpoints, and rate limits, while entries and endpoints crash, freeze and
/// return: the rules must hold, and other requests must not suffer.
#[rstest]
#[case(1)]
#[case(2)]
fn a_short_day_breaks_no_rule(#[case] seed: u64) {
    let day = run_soak(seed, 4, Duration::from_secs(12));
    let record = cassiawheel_runtime::run(4, day).expect("the executor runs").expect("it plays");
    assert!(record.attempts.len() > 400 && record.endpoints.iter().any(|e| e.ended_at.is_some()));
    assert_eq!(record.judge(), SiteVerdicts::default(), "seed {seed}");
}

/// Long runs, started by hand: `SOAK_SEEDS` seeds from `SOAK_FROM` on, with fifteen entries.
#[test]
#[ignore = "started by hand, see docs/soak.md"]
fn long_days_break_no_rule() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (from, seeds) = (number("SOAK_FROM").unwrap_or(100), number("SOAK_SEEDS").unwrap_or(50));
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let day = run_soak(seed, 15, Duration::from_secs(15));
        let record = cassiawheel_runtime::run(4, day).expect("runs").expect("it plays");
        let (verdicts, attempts) = (record.judge(), record.attempts.len());
        let whole = |a: &&AttemptRecord| a.answer.as_ref().is_some_and(|(s, _)| s.is_success());
        let whole = record.attempts.iter().filter(whole).count();
        let ended = record.endpoints.iter().filter(|e| e.ended_at.is_some()).count();
        let limited = record.endpoints.iter().filter(|e| !e.limits.is_empty()).count();
        println!("| {seed} | {attempts} | {whole} | {ended} | {limited} | {verdicts:?} |");
        if verdicts != SiteVerdicts::default() {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds with a broken rule: {broken:?}");
}

const START: Timestamp = Timestamp(1_000_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

/// A run without a defect: three crashes, and a limit of two requests per second that is fully
/// used.
fn valid_day() -> SiteRecord {
    let mut day = SiteRecord::default();
    let mut limited =
        EndpointRecord { limits: vec![LimitSpan::new(3, at(0), 2.0)], ..EndpointRecord::default() };
    for number in 0..60 {
        let (id, sent_at) = (format!("r-{number}"), at(3_000 + number * 500));
        limited.arrivals.push((sent_at, id.clone()));
        let answer = Some((StatusCode::OK, format!("/safe/{id}")));
        day.attempts.push(AttemptRecord {
            id,
            entry: number as usize % 2,
            kind: CallKind::Sound,
            sent_at,
            undisturbed: true,
            in_service: true,
            answer,
        });
    }
    for number in 0..3 {
        let (id, sent_at) = (format!("fatal-{number}"), at(number * 100));
        day.endpoints.push(EndpointRecord {
            arrivals: vec![(sent_at, id.clone())],
            ended_at: Some(sent_at),
            ..EndpointRecord::default()
        });
        let answer = Some((StatusCode::BAD_GATEWAY, String::new()));
        let (kind, undisturbed) = (CallKind::FatalRequest, true);
        let record =
            AttemptRecord { id, entry: 0, kind, sent_at, undisturbed, in_service: true, answer };
        day.attempts.push(record);
    }
    day.endpoints.push(limited);
    day
}

#[test]
fn a_sound_day_breaks_no_rule() {
    assert_eq!(valid_day().judge(), SiteVerdicts::default());
}

/// Each verdict must be able to fail.
#[test]
fn each_verdict_fails_on_a_day_with_one_thing_wrong() {
    let none = SiteVerdicts::default();
    let mut day = valid_day();
    day.endpoints[3].arrivals.push((at(1_300), "fatal-2".to_owned()));
    assert_eq!(day.judge(), SiteVerdicts { late_sends: 1, ..none });
    day.attempts.iter_mut().for_each(|attempt| attempt.undisturbed = false);
    assert_eq!(day.judge(), none, "entries that were disturbed are exempt");

    let mut day = valid_day();
    for number in 0..9 {
        let (id, sent_at) = (format!("part-{number}"), at(100 * number + 3_000 * (number / 5)));
        let ended_by_part_at = (number < 5).then_some(sent_at);
        let arrivals = vec![(sent_at, id.clone())];
        day.endpoints.push(EndpointRecord { arrivals, ended_by_part_at, ..Default::default() });
        let (kind, undisturbed) = (CallKind::FatalPart, true);
        let in_service = true;
        let record =
            AttemptRecord { id, entry: 0, kind, sent_at, undisturbed, in_service, answer: None };
        day.attempts.push(record);
    }
    assert_eq!(day.judge(), SiteVerdicts { late_parts: 1, ..none }, "four, three are tolerated");
    day.attempts.iter_mut().for_each(|attempt| attempt.undisturbed = false);
    assert_eq!(day.judge(), none, "entries that were disturbed are exempt");

    let mut day = valid_day();
    let more = (0..6).map(|number| (at(8_010), format!("r-{number}")));
    day.endpoints[3].arrivals.extend(more);
    assert!(day.judge().over_limit > 0);
    assert_eq!(SiteVerdicts { over_limit: 0, ..day.judge() }, none);
    day.endpoints[3].limits[0].until = Some(at(8_000));
    assert_eq!(day.judge(), none, "a limit that has ended");

    let mut day = valid_day();
    day.attempts[0].answer = Some((StatusCode::SERVICE_UNAVAILABLE, "quarantined".to_owned()));
    day.endpoints[3].arrivals.remove(0);
    assert_eq!(day.judge(), SiteVerdicts { quarantined_others: 1, ..none });

    let mut day = valid_day();
    day.attempts[5].answer = Some((StatusCode::SERVICE_UNAVAILABLE, "overloaded".to_owned()));
    assert_eq!(day.judge(), none, "a request that reached an endpoint may have been refused");
    day.endpoints[3].runs.push("r-5".to_owned());
    assert_eq!(day.judge(), SiteVerdicts { false_refusals: 1, ..none });

    let mut day = valid_day();
    day.attempts[5].answer = Some((StatusCode::OK, "/safe/r-4".to_owned()));
    assert_eq!(day.judge(), SiteVerdicts { wrong_answers: 1, ..none });

    let mut day = valid_day();
    day.endpoints[3].closed_from = Some(at(32_400));
    assert_eq!(day.judge(), SiteVerdicts { after_departure: 1, ..none });
    day.attempts[59].undisturbed = false;
    assert_eq!(day.judge(), none, "an entry that was disturbed is exempt");
    day.endpoints[3].unlisted_from = Some(at(32_400));
    assert_eq!(day.judge(), SiteVerdicts { after_departure: 1, ..none }, "not so with its row");
    day.attempts[59].in_service = false;
    assert_eq!(day.judge(), none, "a process that has just started is exempt");

    let mut day = valid_day();
    let backoff =
        |until| BackoffSpan { id: "r-1".to_owned(), from: at(4_000), until: Deadline(at(until).0) };
    day.endpoints[3].backoffs.push(backoff(6_500));
    assert_eq!(day.judge(), none, "two requests of this entry, and two of another one");
    day.endpoints[3].backoffs.push(backoff(6_600));
    assert_eq!(day.judge(), SiteVerdicts { broken_backoffs: 1, ..none });
}
