//! Lists of entries for agents, over connections whose queues may be full.

use std::collections::BTreeMap;

use cassiawheel_decide::SentEntryLists;
use cassiawheel_model::{InstanceId, RegionName};
use rstest::rstest;

/// Guards against an agent that never gets a list of entries which the full queue of its
/// connection has dropped.
#[rstest]
#[case::queue_full_once(1)]
#[case::queue_full_for_long(20)]
fn a_list_that_a_full_queue_dropped_is_sent_again(#[case] full_rounds: usize) {
    let [free, full] = ["agent-1", "agent-2"].map(|name| InstanceId::new(name).expect("valid"));
    let region = RegionName::new("west").expect("valid");
    let list = vec!["10.0.0.1:7700".parse().expect("valid")];
    let mut sent = SentEntryLists::default();
    let mut received = BTreeMap::<_, usize>::new();
    for round in 0..full_rounds + 5 {
        for agent in [&free, &full] {
            if !sent.is_due(agent, &region, &list) {
                continue;
            }
            let is_queued = *agent == free || round >= full_rounds;
            sent.record(agent, is_queued);
            *received.entry(agent).or_default() += usize::from(is_queued);
        }
        sent.finish(BTreeMap::from([(region.clone(), list.clone())]), |_| true);
    }
    assert_eq!(received, BTreeMap::from([(&free, 1), (&full, 1)]));
}
