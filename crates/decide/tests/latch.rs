//! Race between the start of a run and its cancellation.

use std::sync::Arc;

use cassiawheel_decide::RunLatch;

/// Guards against a run that starts although it was cancelled: its caller leaves at the moment the
/// claim is won, and the agent has already released the claim to others.
#[test]
fn a_run_and_its_cancel_never_both_win() {
    for _ in 0..2_000 {
        let latch = Arc::new(RunLatch::default());
        let other = latch.clone();
        let cancel = std::thread::spawn(move || other.cancel());
        let begun = latch.begin();
        let cancelled = cancel.join().expect("the thread ends");
        assert!(begun ^ cancelled);
        assert_eq!(latch.is_cancelled(), cancelled);
    }
}
