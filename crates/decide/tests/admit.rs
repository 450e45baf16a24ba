//! Admission slots and queued requests under many threads.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
        mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    },
    time::Duration,
};

use cassiawheel_decide::{AdmitTicket, AdmitTier, AdmitVerdict, ServiceAdmission};
use cassiawheel_model::{Deadline, NotRunReason, PriorityClass, Timestamp, WorkspaceId};

const CAPACITY: u32 = 3;
const NOW: Timestamp = Timestamp(1_000);

type Handle = SyncSender<AdmitVerdict>;

fn notify(handle: Handle, verdict: AdmitVerdict) -> bool {
    handle.try_send(verdict).is_ok()
}

fn ticket(workspace: &str, priority: PriorityClass) -> AdmitTicket {
    let workspace = WorkspaceId::new(workspace).expect("a workspace");
    let deadline = Deadline(NOW.0 + 60_000);
    AdmitTicket { workspace, priority, deadline, tier: AdmitTier::Fresh }
}

fn enqueue(
    admission: &ServiceAdmission<Handle>,
    workspace: &str,
    priority: PriorityClass,
) -> Receiver<AdmitVerdict> {
    let (handle, verdict) = sync_channel(1);
    admission.enqueue(&ticket(workspace, priority), handle, CAPACITY, NOW, notify);
    verdict
}

/// Guards against a lost slot. Requests arrive, wait and finish on many threads at once; a slot
/// that is released while a request is being queued could go unnoticed, and callers would wait at
/// an idle engine until their deadlines.
#[test]
fn no_place_is_lost_or_given_twice() {
    let admission = Arc::new(ServiceAdmission::<Handle>::new(1_000));
    let (active, most) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let threads: Vec<_> = (0..8)
        .map(|thread| {
            let (admission, active, most) = (admission.clone(), active.clone(), most.clone());
            std::thread::spawn(move || {
                for _ in 0..2_000 {
                    if !admission.try_admit(AdmitTier::Fresh, CAPACITY) {
                        let verdict =
                            enqueue(&admission, &format!("w{thread}"), PriorityClass::Normal);
                        let verdict = verdict.recv_timeout(Duration::from_secs(30));
                        assert_eq!(verdict, Ok(AdmitVerdict::Admitted));
                    }
                    most.fetch_max(active.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    active.fetch_sub(1, Ordering::SeqCst);
                    admission.release(CAPACITY, NOW, notify);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("no thread waits for ever"));
    assert_eq!((admission.active(), admission.waiting()), (0, 0));
    assert!(most.load(Ordering::SeqCst) <= CAPACITY);
}

/// Guards against shedding the only request of a small workspace. A full queue sheds the lowest
/// priority of the workspace with the most waiting requests.
#[test]
fn a_full_queue_sheds_the_lowest_priority_of_the_longest_queue() {
    let admission = ServiceAdmission::<Handle>::new(4);
    (0..CAPACITY).for_each(|_| assert!(admission.try_admit(AdmitTier::Fresh, CAPACITY)));
    let small = enqueue(&admission, "small", PriorityClass::Low);
    let urgent = enqueue(&admission, "large", PriorityClass::High);
    let low = enqueue(&admission, "large", PriorityClass::Low);
    let normal = enqueue(&admission, "large", PriorityClass::Normal);
    let last = enqueue(&admission, "large", PriorityClass::Normal);
    assert_eq!(low.try_recv(), Ok(AdmitVerdict::Refused(NotRunReason::Overloaded)));
    for waiting in [&small, &urgent, &normal, &last] {
        assert_eq!(waiting.try_recv(), Err(TryRecvError::Empty));
    }
    admission.release(CAPACITY, NOW, notify);
    admission.release(CAPACITY, NOW, notify);
    assert_eq!(small.try_recv(), Ok(AdmitVerdict::Admitted));
    assert_eq!(urgent.try_recv(), Ok(AdmitVerdict::Admitted));
}

/// Number of admitted requests under sustained overload, by tier.
#[derive(Debug, Default)]
struct OverloadCount {
    in_time: u32,
    returned: u32,
}

/// Simulates a minute with a third more requests than the slots can serve. Each request holds its
/// slot for 100 ms. A refused caller returns once, two seconds later; `tier_of` sets the tier of
/// its request.
fn simulate_overload(tier_of: impl Fn(bool) -> AdmitTier) -> OverloadCount {
    const PLACES: u32 = 16;
    const HELD_MS: u64 = 100;
    const BACK_MS: u64 = 2_000;
    let admission = ServiceAdmission::<(u64, bool)>::new(64);
    let mut count = OverloadCount::default();
    let mut due: std::collections::BTreeMap<u64, Vec<bool>> = std::collections::BTreeMap::new();
    let mut ends: std::collections::BTreeMap<u64, u32> = std::collections::BTreeMap::new();
    for ms in 0..60_000_u64 {
        let now = Timestamp(NOW.0 + ms);
        let mut verdicts = Vec::new();
        for _ in 0..ends.remove(&ms).unwrap_or(0) {
            admission.release(PLACES, now, |handle, verdict| {
                verdicts.push((handle, verdict));
                true
            });
        }
        // Sixteen slots free up 160 times a second; 213 first-time requests arrive.
        let fresh = (ms + 1) * 213 / 1_000 - ms * 213 / 1_000;
        let mut arrivals = due.remove(&ms).unwrap_or_default();
        arrivals.extend((0..fresh).map(|_| false));
        for is_returning in arrivals {
            let tier = tier_of(is_returning);
            if admission.try_admit(tier, PLACES) {
                verdicts.push(((ms, is_returning), AdmitVerdict::Admitted));
                continue;
            }
            let name = format!("w{}", ms % 5);
            let deadline = Deadline(now.0 + 200);
            let ticket = AdmitTicket { deadline, tier, ..ticket(&name, PriorityClass::Normal) };
            admission.enqueue(&ticket, (ms, is_returning), PLACES, now, |handle, verdict| {
                verdicts.push((handle, verdict));
                true
            });
        }
        for ((_, is_returning), verdict) in verdicts {
            match verdict {
                AdmitVerdict::Admitted => {
                    *ends.entry(ms + HELD_MS).or_default() += 1;
                    count.in_time += u32::from(!is_returning);
                    count.returned += u32::from(is_returning);
                }
                AdmitVerdict::Refused(_) if !is_returning => {
                    due.entry(ms + BACK_MS).or_default().push(true);
                }
                AdmitVerdict::Refused(_) => {}
            }
        }
    }
    count
}

/// Guards against serving callers too late under sustained overload, a third above capacity.
/// Refused callers that return have missed their latency target; each slot they take makes a
/// first-time request miss its target as well. With tiers, as many requests are answered, and far
/// more of them in time.
#[test]
fn fresh_requests_go_before_returning_ones_in_lasting_overload() {
    let untiered = simulate_overload(|_| AdmitTier::Fresh);
    let tiered = simulate_overload(|is_returning| match is_returning {
        true => AdmitTier::Returned,
        false => AdmitTier::Fresh,
    });
    let total = |count: &OverloadCount| count.in_time + count.returned;
    assert!(total(&tiered) * 100 >= total(&untiered) * 98, "{tiered:?} {untiered:?}");
    assert!(tiered.in_time * 100 >= untiered.in_time * 115, "{tiered:?} {untiered:?}");
    assert!(tiered.in_time * 100 >= total(&tiered) * 95, "{tiered:?}");
}
