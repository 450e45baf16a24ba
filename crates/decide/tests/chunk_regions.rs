//! Chunk fetches from other regions and from the origin, and their concurrency.

use cassiawheel_decide::{
    ChunkPicker, ChunkSource, FetchFailure, FetchOrder, PeerLocation, PickerSettings,
};
use cassiawheel_model::{InstanceId, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};

const CHUNKS: usize = 24;
const START: Timestamp = Timestamp(1_000_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).expect("valid")
}

fn settings(name: &str) -> PickerSettings {
    PickerSettings {
        instance: instance(name),
        stall_ms: 20_000,
        origin_step_ms: 20_000,
        max_fetches_per_peer: CHUNKS,
        max_peer_fetches: CHUNKS,
        queue_ms: 0,
        rescue_ms: 0,
        extra_copies: 0.0,
        origin_chunk_ms: 0.0,
        in_origin_region: false,
        max_origin_fetches: 0,
    }
}

fn picker(settings: PickerSettings) -> ChunkPicker {
    ChunkPicker::new(settings, CHUNKS, START)
}

const NEAR: PeerLocation = PeerLocation { is_remote: false, in_origin_region: false };
const FAR: PeerLocation = PeerLocation { is_remote: true, in_origin_region: true };

fn connect(picker: &mut ChunkPicker, name: &str, location: PeerLocation, held: &[usize]) {
    let peer = instance(name);
    picker.set_peer_location(&peer, location, START);
    picker.peer_connected(&peer, START);
    picker.peer_holds(&peer, held.iter().copied(), START);
    picker.peer_inventory_complete(&peer);
}

fn orders(picker: &mut ChunkPicker, now: Timestamp) -> Vec<FetchOrder> {
    let mut rng = SmallRng::seed_from_u64(5);
    std::iter::from_fn(|| picker.next(now, &mut rng)).collect()
}

fn from(orders: &[FetchOrder], source: &ChunkSource) -> Vec<usize> {
    let mut found: Vec<_> =
        orders.iter().filter(|order| order.source == *source).map(|order| order.index).collect();
    found.sort_unstable();
    found
}

/// Chunks available only in another region are divided among the agents of this region, so
/// that each crosses the shared, costly link once.
#[test]
fn each_chunk_is_imported_by_one_agent_of_a_region() {
    let names = ["own-a", "own-b", "own-c"];
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut imported = Vec::new();
    for name in names {
        let mut picker = picker(settings(name));
        for other in names.iter().filter(|other| **other != name) {
            connect(&mut picker, other, NEAR, &[]);
        }
        connect(&mut picker, "far", FAR, &all);
        imported.extend(from(&orders(&mut picker, at(10)), &ChunkSource::Peer(instance("far"))));
    }
    imported.sort_unstable();
    assert_eq!(imported, all);
}

/// If the importer of a chunk does not deliver it, the others import it after a timeout.
#[test]
fn a_missing_import_is_replaced() {
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings("own-a"));
    connect(&mut picker, "own-b", NEAR, &[]);
    connect(&mut picker, "far", FAR, &all);
    let first = orders(&mut picker, at(10)).len();
    assert!(first < CHUNKS);
    assert_eq!(first + orders(&mut picker, at(900)).len(), CHUNKS);
}

/// Concurrent fetches share the origin's bandwidth. Owners fetch one after another, so that
/// the first chunks can be exchanged early.
#[test]
fn origin_fetches_are_staggered() {
    let settings = PickerSettings { origin_chunk_ms: 30.0, ..settings("own-a") };
    let mut picker = picker(settings);
    assert_eq!(from(&orders(&mut picker, START), &ChunkSource::Origin), [0]);
    assert_eq!(from(&orders(&mut picker, at(30)), &ChunkSource::Origin), [1]);
}

/// Agents in the origin's region own its chunks, since a chunk fetched from elsewhere would
/// cross between regions twice.
#[test]
fn agents_near_the_origin_fetch_from_it() {
    let mut picker = picker(settings("own-a"));
    connect(&mut picker, "near-origin", FAR, &[]);
    assert!(from(&orders(&mut picker, at(10)), &ChunkSource::Origin).is_empty());
}

/// Guards against all agents waiting for the last chunk when its only holder has a congested
/// link. Another agent fetches it from the origin again.
#[test]
fn a_stalled_chunk_is_fetched_again() {
    let settings = PickerSettings { rescue_ms: 900, max_peer_fetches: 0, ..settings("own-a") };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    connect(&mut picker, "stuck", NEAR, &all);
    assert!(orders(&mut picker, at(800)).is_empty());
    assert!(!from(&orders(&mut picker, at(1_000)), &ChunkSource::Origin).is_empty());
}

/// A chunk that spreads among peers is not fetched again, however long it takes to arrive.
#[test]
fn a_chunk_that_spreads_is_not_fetched_again() {
    let settings = PickerSettings { rescue_ms: 900, max_peer_fetches: 0, ..settings("own-a") };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    for name in ["one", "two", "three"] {
        connect(&mut picker, name, NEAR, &all);
    }
    assert!(orders(&mut picker, at(5_000)).is_empty());
}

/// Guards against further fetches on a link that becomes congested with four chunks in
/// transit. They would lengthen the queue in which the engine's requests wait.
#[test]
fn fewer_chunks_are_requested_when_they_are_late() {
    let settings = PickerSettings { queue_ms: 350, max_peer_fetches: 4, ..settings("own-a") };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    connect(&mut picker, "peer", NEAR, &all);
    let first = orders(&mut picker, at(10));
    assert_eq!(first.len(), 4);
    picker.fetch_succeeded(&first[0], at(1_410));
    assert!(orders(&mut picker, at(1_420)).is_empty(), "three are on their way still");
    first[1..].iter().for_each(|order| picker.fetch_succeeded(order, at(1_430)));
    assert_eq!(orders(&mut picker, at(1_440)).len(), 1);
}

/// Guards against two concurrent fetches from the origin on a congested link. The origin sends
/// each chunk in one piece; with two, the notice that a caller has disconnected arrived half
/// a second late and the engine kept working on its request.
#[test]
fn one_chunk_at_a_time_is_fetched_over_links_that_may_narrow() {
    let mut narrow = picker(PickerSettings { queue_ms: 350, ..settings("own-a") });
    assert_eq!(orders(&mut narrow, at(10)).len(), 1);
    let mut wide = picker(settings("own-a"));
    assert_eq!(orders(&mut wide, at(10)).len(), 2);
}

/// Guards against retries every few milliseconds at the single, busy holder of a chunk. It
/// would answer thousands of requests on the link over which it sends the chunk.
#[test]
fn requests_to_a_busy_holder_back_off() {
    let mut picker = picker(settings("own"));
    connect(&mut picker, "holder", NEAR, &[3]);
    let mut requested = 0;
    for ms in 0..400 {
        for order in orders(&mut picker, at(ms)) {
            if order.source == ChunkSource::Peer(instance("holder")) {
                picker.fetch_deferred(&order, at(ms));
                requested += 1;
            }
        }
    }
    assert!((4..=8).contains(&requested), "asked {requested} times");
}

/// Guards against all agents waiting for the chunks of an owner that was paused before they
/// were due. The agent with the next rank fetches them before the owner counts as silent.
#[test]
fn chunks_of_a_paused_owner_are_fetched_by_the_next() {
    let settings = PickerSettings { origin_chunk_ms: 10.0, ..settings("own-a") };
    let mut picker = picker(settings);
    connect(&mut picker, "paused", NEAR, &[]);
    let owned = fetched_from_origin(&mut picker, 240);
    let others: Vec<_> = (0..CHUNKS).filter(|index| !owned.contains(index)).collect();
    let (imported_chunks, missing) = others.split_at(others.len() - 3);
    picker.peer_holds(&instance("paused"), imported_chunks.iter().copied(), at(240));
    picker.set_peer_origin_fetches(&instance("paused"), missing.to_vec(), at(240));
    assert!(fetched_from_origin(&mut picker, 400).is_empty());
    assert_eq!(fetched_from_origin(&mut picker, 1_000), missing);
}

/// Guards against agents that fetch each other's chunks because the origin itself is slow or
/// down. It would have to send each chunk several times.
#[test]
fn nothing_is_fetched_twice_from_a_slow_origin() {
    let settings = PickerSettings { origin_chunk_ms: 10.0, ..settings("own-a") };
    let mut picker = picker(settings);
    connect(&mut picker, "other", NEAR, &[]);
    let mut requested: Vec<_> = Vec::new();
    for ms in 0..1_500 {
        for order in orders(&mut picker, at(ms)) {
            picker.fetch_deferred(&order, at(ms));
            requested.push(order.index);
        }
    }
    requested.sort_unstable();
    requested.dedup();
    assert!(requested.len() < CHUNKS, "it asked for all chunks");
}

/// Runs fetches until `until_ms`, each completing at once; returns the chunks fetched.
fn fetched_from_origin(picker: &mut ChunkPicker, until_ms: u64) -> Vec<usize> {
    let mut fetched = Vec::new();
    for ms in 0..until_ms {
        for order in orders(picker, at(ms)) {
            if order.source == ChunkSource::Origin {
                picker.fetch_succeeded(&order, at(ms));
                fetched.push(order.index);
            }
        }
    }
    fetched.sort_unstable();
    fetched
}

/// Guards against several imports of an overdue chunk. Once one agent of the region has it,
/// the others fetch it there; otherwise a version crosses the shared link several times.
#[test]
fn an_overdue_import_ends_with_the_first_copy() {
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings("own-a"));
    connect(&mut picker, "own-b", NEAR, &[]);
    connect(&mut picker, "far", FAR, &all);
    let first = orders(&mut picker, at(10));
    assert!(first.iter().all(|order| order.is_import));
    let missing_chunks: Vec<_> =
        all.iter().copied().filter(|i| first.iter().all(|order| order.index != *i)).collect();
    picker.peer_holds(&instance("own-b"), missing_chunks.iter().copied(), at(800));
    let second = orders(&mut picker, at(900));
    assert_eq!(from(&second, &ChunkSource::Peer(instance("own-b"))), missing_chunks);
}

/// Guards against a congested link that is kept full by retries while no chunk arrives in
/// time. A request for the engine, or the notice that its caller disconnected, waited two
/// seconds.
#[test]
fn fewer_chunks_are_requested_after_all_timed_out() {
    let settings = PickerSettings { queue_ms: 350, max_peer_fetches: 4, ..settings("own-a") };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    for name in ["one", "two", "three"] {
        connect(&mut picker, name, NEAR, &all);
    }
    let first = orders(&mut picker, at(10));
    assert_eq!(first.len(), 4);
    first.iter().for_each(|order| picker.fetch_failed(order, FetchFailure::TimedOut, at(1_266)));
    assert_eq!(orders(&mut picker, at(1_500)).len(), 1);
}

/// A single paused peer that causes a timeout does not reduce the concurrency, since chunks of
/// the other peers arrive.
#[test]
fn one_late_agent_is_no_narrow_link() {
    let settings = PickerSettings {
        queue_ms: 350,
        max_peer_fetches: 4,
        max_fetches_per_peer: 2,
        ..settings("own-a")
    };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    for name in ["one", "two", "three"] {
        connect(&mut picker, name, NEAR, &all);
    }
    let first = orders(&mut picker, at(10));
    first[1..].iter().for_each(|order| picker.fetch_succeeded(order, at(180)));
    picker.fetch_failed(&first[0], FetchFailure::TimedOut, at(1_266));
    assert_eq!(orders(&mut picker, at(1_500)).len(), 4);
}

/// Guards against a backoff of seconds at all agents when the origin recovers from an outage,
/// while engines serve nothing until the last chunks arrive.
#[test]
fn a_recovered_origin_is_retried_within_a_third_of_a_second() {
    let mut picker = picker(settings("own-a"));
    for number in 0..26 {
        connect(&mut picker, &format!("own-{number}"), NEAR, &[]);
    }
    let mut last_try = 0;
    for ms in 0..6_000 {
        for order in orders(&mut picker, at(ms)) {
            assert!(ms - last_try <= 330, "nobody asked from {last_try} to {ms} ms");
            last_try = ms;
            picker.fetch_failed(&order, FetchFailure::Corrupt, at(ms));
        }
    }
    assert!(last_try > 5_600, "the last try was at {last_try} ms");
}

/// Guards against duplicate fetches after an outage of the origin. When the first chunk of
/// one agent is announced, the others continue at once, each with its own chunks on a new
/// schedule, instead of all fetching what is overdue by the old one.
#[test]
fn the_first_chunk_of_a_recovered_origin_resets_the_stagger() {
    let names: Vec<_> = (0..8).map(|number| format!("own-{number}")).collect();
    let held: Vec<_> = (0..CHUNKS / 2).collect();
    let mut fetched = Vec::new();
    for name in &names {
        let mut picker = picker(PickerSettings { origin_chunk_ms: 30.0, ..settings(name) });
        held.iter().for_each(|index| picker.mark_held(*index));
        for other in names.iter().filter(|other| *other != name) {
            connect(&mut picker, other, NEAR, &held);
        }
        connect(&mut picker, "first", NEAR, &held);
        for ms in (0..6_000).step_by(10) {
            for order in orders(&mut picker, at(ms)) {
                picker.fetch_failed(&order, FetchFailure::Corrupt, at(ms));
            }
        }
        picker.peer_holds(&instance("first"), [CHUNKS - 1], at(6_000));
        for ms in (6_000..6_400).step_by(10) {
            let origin = orders(&mut picker, at(ms)).into_iter();
            for order in origin.filter(|order| order.source == ChunkSource::Origin) {
                let turn_ms = 6_000 + (order.index - held.len()) as u64 * 30;
                assert!(ms >= turn_ms, "chunk {} at {ms} ms", order.index);
                fetched.push(order.index);
                picker.fetch_succeeded(&order, at(ms));
            }
        }
    }
    let all = fetched.len();
    fetched.sort_unstable();
    fetched.dedup();
    assert_eq!(fetched.len(), all, "chunks are drawn twice");
    assert!(all >= CHUNKS / 3, "{all} chunks are drawn within 0.4 s");
}

/// Guards against exhausting the connections of an origin that accepts them but sends nothing.
/// Chunks become due all the same, and after a power loss the connections would stay open. An
/// agent waits until the fetch of another one has ended.
#[test]
fn agents_use_a_fraction_of_the_origin_connections() {
    let settings =
        PickerSettings { origin_chunk_ms: 10.0, max_origin_fetches: 3, ..settings("own-a") };
    let mut picker = picker(settings);
    for name in ["one", "two", "three"] {
        connect(&mut picker, name, NEAR, &[]);
        picker.set_peer_origin_fetches(&instance(name), vec![CHUNKS - 1], START);
    }
    assert!(orders(&mut picker, at(400)).is_empty());
    picker.set_peer_origin_fetches(&instance("two"), Vec::new(), at(401));
    let fetched = from(&orders(&mut picker, at(402)), &ChunkSource::Origin);
    assert_eq!(fetched.len(), 1, "{fetched:?}");
}

/// Guards against a full link between regions. Each agent of a region imported a chunk whose
/// importer was late, which made the importers of the next chunks late as well.
#[test]
fn an_overdue_chunk_is_imported_by_one_agent_after_the_other() {
    let names: Vec<_> = (0..30).map(|number| format!("own-{number}")).collect();
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut imports = vec![Vec::new(); CHUNKS];
    for name in &names {
        let mut picker = picker(settings(name));
        for other in names.iter().filter(|other| *other != name) {
            connect(&mut picker, other, NEAR, &[]);
        }
        connect(&mut picker, "far", FAR, &all);
        for ms in (0..2_000).step_by(20) {
            orders(&mut picker, at(ms)).iter().for_each(|order| imports[order.index].push(ms));
        }
    }
    for (index, mut times) in imports.into_iter().enumerate() {
        times.sort_unstable();
        assert!(times.len() >= 3, "chunk {index}: {times:?}");
        assert_eq!(times.iter().filter(|ms| **ms < 700).count(), 1, "chunk {index}: {times:?}");
        let steps = times.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(steps.into_iter().all(|step| step >= 280), "chunk {index}: {times:?}");
    }
}

/// Guards against a region that waits for a chunk because its importer first fetches chunks that
/// the region has already.
#[test]
fn an_import_does_not_wait_for_chunks_of_the_region() {
    let settings = PickerSettings { max_peer_fetches: 4, ..settings("own-a") };
    let all: Vec<_> = (0..CHUNKS).collect();
    let mut picker = picker(settings);
    connect(&mut picker, "own-b", NEAR, &all[4..]);
    connect(&mut picker, "far", FAR, &[]);
    assert_eq!(orders(&mut picker, at(10)).len(), 4);
    picker.peer_holds(&instance("far"), 0..4, at(20));
    let imports = orders(&mut picker, at(20));
    assert_eq!(imports.len(), 1, "one import goes beside the fetches in progress");
    assert!(imports[0].is_import);
}
