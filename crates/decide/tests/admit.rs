//! Places and waiting requests under many threads.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
        mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    },
    time::Duration,
};

use cassiawheel_decide::{AdmitTicket, AdmitVerdict, ServiceAdmission};
use cassiawheel_model::{Deadline, NotRunReason, PriorityClass, Timestamp, WorkspaceId};

const CAPACITY: u32 = 3;
const NOW: Timestamp = Timestamp(1_000);

type Handle = SyncSender<AdmitVerdict>;

fn tell(handle: Handle, verdict: AdmitVerdict) -> bool {
    handle.try_send(verdict).is_ok()
}

fn ticket(workspace: &str, priority: PriorityClass) -> AdmitTicket {
    let workspace = WorkspaceId::new(workspace).expect("a workspace");
    AdmitTicket { workspace, priority, deadline: Deadline(NOW.0 + 60_000) }
}

fn wait(
    admission: &ServiceAdmission<Handle>,
    workspace: &str,
    priority: PriorityClass,
) -> Receiver<AdmitVerdict> {
    let (handle, verdict) = sync_channel(1);
    admission.wait(&ticket(workspace, priority), handle, CAPACITY, NOW, tell);
    verdict
}

/// Requests come, wait and end on many threads at once. A place that is given
/// back while nobody seems to wait would be lost, and callers would wait at an
/// idle engine until their deadlines.
#[test]
fn no_place_is_lost_or_given_twice() {
    let admission = Arc::new(ServiceAdmission::<Handle>::new(1_000));
    let (active, most) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let threads: Vec<_> = (0..8)
        .map(|thread| {
            let (admission, active, most) = (admission.clone(), active.clone(), most.clone());
            std::thread::spawn(move || {
                for _ in 0..2_000 {
                    if !admission.admit_now(CAPACITY) {
                        let verdict =
                            wait(&admission, &format!("w{thread}"), PriorityClass::Normal);
                        let verdict = verdict.recv_timeout(Duration::from_secs(30));
                        assert_eq!(verdict, Ok(AdmitVerdict::Admitted));
                    }
                    most.fetch_max(active.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    active.fetch_sub(1, Ordering::SeqCst);
                    admission.release(CAPACITY, NOW, tell);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("no thread waits for ever"));
    assert_eq!((admission.active(), admission.waiting()), (0, 0));
    assert!(most.load(Ordering::SeqCst) <= CAPACITY);
}

/// The queue is full. What is shed is the least urgent of the workspace that
/// waits the most, not the one call of a small practice.
#[test]
fn a_full_queue_sheds_the_least_urgent_of_the_greediest() {
    let admission = ServiceAdmission::<Handle>::new(4);
    (0..CAPACITY).for_each(|_| assert!(admission.admit_now(CAPACITY)));
    let small = wait(&admission, "small", PriorityClass::Low);
    let urgent = wait(&admission, "large", PriorityClass::High);
    let low = wait(&admission, "large", PriorityClass::Low);
    let normal = wait(&admission, "large", PriorityClass::Normal);
    let last = wait(&admission, "large", PriorityClass::Normal);
    assert_eq!(low.try_recv(), Ok(AdmitVerdict::Refused(NotRunReason::Overloaded)));
    for waiting in [&small, &urgent, &normal, &last] {
        assert_eq!(waiting.try_recv(), Err(TryRecvError::Empty));
    }
    admission.release(CAPACITY, NOW, tell);
    admission.release(CAPACITY, NOW, tell);
    assert_eq!(small.try_recv(), Ok(AdmitVerdict::Admitted));
    assert_eq!(urgent.try_recv(), Ok(AdmitVerdict::Admitted));
}
