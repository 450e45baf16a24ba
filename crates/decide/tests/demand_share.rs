//! Shares of the slots by demand: bounds, and what happens when records are missing.

use cassiawheel_decide::{DemandSample, DemandShare, DemandTable, ShareReason};
use cassiawheel_model::{DemandRecord, Timestamp};
use rstest::rstest;

const SERVICE: u64 = 5;
const SPAN_MS: u64 = 15_000;
const START: u64 = 1_000_000;
const LINK: u64 = 1;

fn at(ms: u64) -> Timestamp {
    Timestamp(START + ms)
}

fn record(entry: usize, per_second: f32) -> DemandRecord {
    DemandRecord { instance_hash: entry as u64, service_hash: SERVICE, per_second, age_ms: 0 }
}

/// Sample while the service is short of slots.
fn busy(requests: u64) -> DemandSample {
    DemandSample { requests, used: 1.0, entries: 30 }
}

fn others(own: usize, entries: usize) -> Vec<u64> {
    (0..entries).filter(|entry| *entry != own).map(|entry| entry as u64).collect()
}

/// Table of the entry `own` after `SPAN_MS` of constant rates, of which it hears those for which
/// `is_heard` is true.
fn table(own: usize, rates: &[f32], is_heard: impl Fn(usize) -> bool) -> DemandTable {
    let mut table = DemandTable::new(own as u64);
    for ms in (0..=SPAN_MS).step_by(100) {
        table.add_own(SERVICE, busy((rates[own] / 10.0) as u64), at(ms));
        if ms % 1_000 == 0 {
            for (entry, rate) in rates.iter().enumerate().filter(|(entry, _)| is_heard(*entry)) {
                table.merge(record(entry, *rate), LINK, at(ms));
            }
        }
    }
    table
}

fn share(own: usize, rates: &[f32]) -> DemandShare {
    table(own, rates, |_| true).share(SERVICE, &others(own, rates.len()), at(SPAN_MS))
}

/// Guards against shares that add up to more than all slots, also where some are raised to the lower
/// bound.
#[rstest]
#[case::one_third_has_more([[140.0; 10], [100.0; 10], [100.0; 10]].concat())]
#[case::most_have_none([[300.0; 10], [0.0; 10], [0.0; 10]].concat())]
#[case::one_has_most([vec![900.0], vec![20.0; 29]].concat())]
#[case::graded((1..=30).map(|step| 10.0 * step as f32).collect())]
#[case::two([400.0, 100.0].to_vec())]
fn the_shares_of_entries_with_the_same_records_add_up_to_one_at_most(#[case] rates: Vec<f32>) {
    let shares: Vec<_> = (0..rates.len()).map(|own| share(own, &rates)).collect();
    assert!(shares.iter().all(|share| share.fraction.is_some()), "{shares:?}");
    let sum: f64 = shares.iter().filter_map(|share| share.fraction).sum();
    assert!(sum <= 1.0 + 1e-3, "{sum}");
    assert!(shares.iter().all(|share| (0.25..=4.0).contains(&share.factor())), "{shares:?}");
}

/// Guards against an entry without callers that gets no slot for its first one, and against one that
/// takes nearly all slots.
#[test]
fn a_share_is_between_a_quarter_and_four_times_the_even_one() {
    let rates = [vec![900.0], vec![20.0; 29]].concat();
    let (busy, idle) = (share(0, &rates), share(1, &rates));
    assert_eq!((busy.reason, busy.factor()), (ShareReason::UpperBound, 4.0));
    assert_eq!(idle.reason, ShareReason::Demand);
    let rates = [vec![100.0; 29], vec![0.0]].concat();
    let idle = share(29, &rates);
    assert_eq!((idle.reason, idle.factor()), (ShareReason::LowerBound, 0.25));
}

/// Guards against any change where demand is even.
#[rstest]
#[case::within_a_tenth([[100.0; 15], [109.0; 15]].concat())]
#[case::by_chance([[10.0; 15], [13.0; 15]].concat())]
#[case::none(vec![0.0; 30])]
#[case::alone(vec![50.0])]
fn demand_that_is_even_but_for_chance_gives_even_shares(#[case] rates: Vec<f32>) {
    assert!((0..rates.len()).all(|own| share(own, &rates).fraction.is_none()));
}

/// Guards against shares from the records of a few entries: those of a partition's other side, or of
/// entries of an older build, are missing.
#[rstest]
#[case::partitioned(0, None)]
#[case::less_than_half(14, None)]
#[case::half(15, Some(()))]
fn at_least_half_of_the_other_entries_have_to_be_heard(
    #[case] heard: usize,
    #[case] uneven: Option<()>,
) {
    let rates = [[200.0; 15], [100.0; 15]].concat();
    // Entry 29 hears the first entries.
    let table = table(29, &rates, |entry| entry < heard);
    let share = table.share(SERVICE, &others(29, 30), at(SPAN_MS));
    assert_eq!(share.fraction.map(|_| ()), uneven, "{share:?}");
    assert_eq!(share.reason == ShareReason::FewRecords, uneven.is_none());
}

/// Guards against the shares of a partition that has lasted for two seconds: the records of its other
/// side describe the past.
#[test]
fn entries_that_no_longer_hear_each_other_return_to_even_shares() {
    let rates = [[200.0; 15], [100.0; 15]].concat();
    let mut table = table(0, &rates, |_| true);
    let mut fraction_after = |ms| {
        table.add_own(SERVICE, busy(0), at(SPAN_MS + ms));
        table.share(SERVICE, &others(0, 30), at(SPAN_MS + ms)).fraction
    };
    assert!(fraction_after(1_900).is_some());
    assert_eq!(fraction_after(2_000), None);
}

/// Guards against slots that stay reserved for an entry that has ended, and against shares that jump
/// as soon as one record is missing.
#[test]
fn an_entry_that_ends_is_left_out_after_two_seconds() {
    let rates = [vec![300.0], vec![100.0; 9]].concat();
    let mut table = table(1, &rates, |_| true);
    let mut share_after = |ms| {
        let now = at(SPAN_MS + ms);
        for entry in 2..10 {
            table.merge(record(entry, 100.0), LINK, now);
        }
        (0..10).for_each(|_| table.add_own(SERVICE, busy(0), now));
        table.share(SERVICE, &others(1, 10), now)
    };
    assert_eq!(share_after(0).records, 9);
    assert_eq!(share_after(1_900).records, 9);
    assert_eq!(share_after(2_000).records, 8);
}

/// Guards against an entry that restarts and takes or gives up slots before it knows the others.
#[test]
fn an_entry_that_has_just_started_uses_the_even_share() {
    let mut table = DemandTable::new(0);
    table.add_own(SERVICE, busy(0), at(0));
    table.add_own(SERVICE, busy(40), at(100));
    let share = table.share(SERVICE, &others(0, 30), at(100));
    assert_eq!((share.fraction, share.reason), (None, ShareReason::FewRecords));
}

/// Guards against a faulty process whose figures would disturb the sums of all others.
#[rstest]
#[case(record(1, f32::NAN))]
#[case(record(1, f32::INFINITY))]
#[case(record(1, -1.0))]
#[case(record(0, 10.0))]
#[case(DemandRecord { age_ms: 2_000, ..record(1, 10.0) })]
fn records_that_are_invalid_outdated_or_about_this_entry_are_ignored(#[case] record: DemandRecord) {
    let mut table = DemandTable::new(0);
    assert!(!table.merge(record, LINK, at(5_000)));
    assert!(table.is_empty());
}

/// Guards against control traffic that multiplies: a record goes once over each link, and not back.
#[test]
fn a_record_is_not_sent_to_entries_that_have_delivered_it() {
    let mut table = DemandTable::new(0);
    assert!(table.merge(record(1, 10.0), 1, at(0)));
    // The same measurement over another link, 30 ms later.
    assert!(!table.merge(DemandRecord { age_ms: 30, ..record(1, 10.0) }, 2, at(30)));
    let (rows, cursor) = table.rows_since(0, 3, at(250));
    assert_eq!(rows, [DemandRecord { age_ms: 250, ..record(1, 10.0) }]);
    assert!(table.rows_since(cursor, 3, at(300)).0.is_empty());
    assert!(table.rows_since(0, 1, at(250)).0.is_empty());
    assert!(table.rows_since(0, 2, at(250)).0.is_empty());
    assert!(table.rows_since(0, 3, at(2_000)).0.is_empty(), "an outdated record is sent");
    table.expire(at(10_000));
    assert!(table.is_empty());
}

/// Guards against control traffic for services that are not short of slots, and against traffic that
/// grows with the square of the number of entries.
#[rstest]
#[case::idle(DemandSample { used: 0.3, ..busy(5) }, false)]
#[case::short(busy(5), true)]
#[case::many_entries(DemandSample { entries: 65, ..busy(5) }, false)]
fn demand_is_published_where_slots_are_short_and_entries_few(
    #[case] sample: DemandSample,
    #[case] published: bool,
) {
    let mut table = DemandTable::new(0);
    table.add_own(SERVICE, sample, at(0));
    assert_eq!(table.rows_since(0, LINK, at(0)).0.len(), usize::from(published));
    // Shortage comes and goes within seconds.
    table.add_own(SERVICE, DemandSample { used: 0.0, ..sample }, at(4_900));
    assert_eq!(table.rows_since(0, LINK, at(4_900)).0.len(), usize::from(published));
    table.expire(at(7_000));
    table.add_own(SERVICE, DemandSample { used: 0.0, ..sample }, at(7_000));
    assert!(table.rows_since(0, LINK, at(7_000)).0.is_empty());
}

/// Guards against a rate that differs from the requests that arrived.
#[test]
fn the_rate_is_an_average_over_about_a_second() {
    let rate_after = |ms| {
        let mut table = DemandTable::new(0);
        (0..=ms).step_by(100).for_each(|ms| table.add_own(SERVICE, busy(5), at(ms)));
        table.share(SERVICE, &[], at(ms)).own_per_second
    };
    assert!((rate_after(1_000) - 50.0 * 0.632).abs() < 1.0);
    assert!((rate_after(8_000) - 50.0).abs() < 0.5);
}
