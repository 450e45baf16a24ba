//! Spread of demand records over the links that entries choose, simulated without a network.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use cassiawheel_decide::{DemandSample, DemandTable, EntryLocation, links_to_dial};
use cassiawheel_model::{RegionName, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const SERVICE: u64 = 5;
const STEP_MS: u64 = 20;
const SPAN_MS: u64 = 12_000;
const WARM_UP_MS: u64 = 4_000;
/// Measured size of a record in a message, in bytes.
const RECORD_BYTES: f64 = 27.1;
/// Intervals of messages with loads, within a region and between two.
const INTERVALS_MS: [u64; 2] = [200, 600];

struct Link {
    to: usize,
    interval_ms: u64,
    next_at: u64,
    cursor: u64,
}

fn links(entries: usize, regions: usize, rng: &mut SmallRng) -> Vec<Vec<Link>> {
    let location = |index: usize| EntryLocation {
        inner_addr: SocketAddr::from((
            Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200) as u8),
            8,
        )),
        region: RegionName::new(&format!("region-{}", index % regions)).expect("valid"),
    };
    let locations: Vec<_> = (0..entries).map(location).collect();
    let mut links: Vec<BTreeMap<usize, ()>> = (0..entries).map(|_| BTreeMap::new()).collect();
    for index in 0..entries {
        for chosen in links_to_dial(&locations[index], &locations) {
            let to = locations.iter().position(|l| l.inner_addr == chosen).expect("known");
            links[index].insert(to, ());
            links[to].insert(index, ());
        }
    }
    let mut link = |from: usize, to: usize| {
        let interval_ms = INTERVALS_MS[usize::from(from % regions != to % regions)];
        Link { to, interval_ms, next_at: rng.random_range(0..interval_ms), cursor: 0 }
    };
    links
        .iter()
        .enumerate()
        .map(|(from, to)| to.keys().map(|to| link(from, *to)).collect())
        .collect()
}

/// Guards against records that arrive too late to count, and against control traffic beyond what
/// the entries are allowed.
#[rstest]
#[case::today(30, 3, 3.0)]
#[case::largest_that_publishes(64, 3, 8.0)]
fn records_reach_all_entries_in_time_over_the_chosen_links(
    #[case] entries: usize,
    #[case] regions: usize,
    #[case] most_kb_per_s: f64,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut links = links(entries, regions, &mut rng);
    let mut tables: Vec<_> = (0..entries).map(|entry| DemandTable::new(entry as u64)).collect();
    let offsets: Vec<_> = (0..entries).map(|_| rng.random_range(0..5) * STEP_MS).collect();
    let (mut sent, mut heard, mut expected) = (vec![0_u32; entries], 0_usize, 0_usize);
    for ms in (0..SPAN_MS).step_by(STEP_MS as usize) {
        let now = Timestamp(1_000_000 + ms);
        for entry in 0..entries {
            if (ms + offsets[entry]) % 100 == 0 {
                let sample = DemandSample { requests: 1 + entry as u64 % 2, used: 1.0, entries };
                tables[entry].add_own(SERVICE, sample, now);
                let others: Vec<_> = (0..entries as u64).filter(|o| *o != entry as u64).collect();
                let share = tables[entry].share(SERVICE, &others, now);
                if ms >= WARM_UP_MS {
                    heard += share.records;
                    expected += entries - 1;
                }
                tables[entry].expire(now);
            }
            for link in &mut links[entry] {
                if ms < link.next_at {
                    continue;
                }
                link.next_at = ms + link.interval_ms;
                let rows;
                (rows, link.cursor) = tables[entry].rows_since(link.cursor, link.to as u64, now);
                sent[entry] += if ms >= WARM_UP_MS { rows.len() as u32 } else { 0 };
                for row in rows {
                    tables[link.to].merge(row, entry as u64, now);
                }
            }
        }
    }
    let kb_per_s = |rows: u32| f64::from(rows) * RECORD_BYTES / (SPAN_MS - WARM_UP_MS) as f64;
    let mean = kb_per_s(sent.iter().sum()) / entries as f64;
    let most = sent.iter().copied().map(kb_per_s).fold(0.0, f64::max);
    let heard = heard as f64 / expected as f64;
    println!("{entries} entries: {mean:.2} KB/s on average, {most:.2} at most, {heard:.4} heard");
    assert!(heard >= 0.9, "{heard}");
    assert!(most <= most_kb_per_s, "{most}");
}
