//! The race between the beginning of a run and its cancel.

use std::sync::Arc;

use cassiawheel_decide::RunLatch;

/// A caller goes away in the moment in which its claim is won. If both won, a
/// sale would run that its agent has just released to others.
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
