//! The forecast that is compared with `ready_by`.

use cassiawheel_decide::forecast::{ProgressSample, forecast};
use cassiawheel_model::{Deadline, Timestamp};

/// A steady transfer is extrapolated from its rate. A transfer without progress gives no
/// forecast, since an invented one would mislead operators.
#[test]
fn a_steady_transfer_is_forecast_by_its_rate() {
    let start = ProgressSample { seen_at: Timestamp(1_000), chunks: 10 };
    assert_eq!(forecast(start, 10, 110, Timestamp(5_000)), None);
    assert_eq!(forecast(start, 60, 110, Timestamp(2_000)), Some(Deadline(3_000)));
    assert_eq!(forecast(start, 110, 110, Timestamp(9_000)), Some(Deadline(9_000)));
}

/// If restarted endpoints hold less than before, there is no forecast until new progress.
#[test]
fn lost_progress_gives_no_forecast() {
    let start = ProgressSample { seen_at: Timestamp(1_000), chunks: 50 };
    assert_eq!(forecast(start, 20, 110, Timestamp(2_000)), None);
}
