//! Urgencies in use, work of requests, and their order in admission.

use std::{cell::RefCell, collections::BTreeMap};

use cassiawheel_decide::{
    AdmitRank, AdmitTicket, AdmitTier, AdmitVerdict, RequestWork, ServiceAdmission, UrgencyTable,
    engine_priority,
};
use cassiawheel_model::{
    CallerLimits, CallerTable, Deadline, EngineProfile, GenerationSize, HomeRegions, PriorityClass,
    RegionName, RouteKind, RouteRule, RouteShare, ServiceName, Timestamp, Urgency, WorkspaceId,
};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000);

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::new(name).expect("valid")
}

fn rule(service: &str, urgency: Option<u8>, aim_ms: u64) -> RouteRule {
    let service = ServiceName::new(service).expect("valid");
    RouteRule {
        name: String::new(),
        host: String::new(),
        prefix: "/".to_owned(),
        shares: vec![RouteShare { service, weight: 1 }],
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms,
        max_attempts: 2,
        is_public: false,
        homes: HomeRegions::new([RegionName::new("west").expect("valid")]),
        urgency: urgency.map(Urgency::from),
    }
}

fn table(routes: Vec<RouteRule>, workspaces: &[(&str, u8, &str)]) -> CallerTable {
    let named = workspaces.iter().map(|(name, urgency, _)| (workspace(name), (*urgency).into()));
    let homes = workspaces.iter().map(|(name, _, home)| {
        (workspace(name), HomeRegions::new([RegionName::new(home).expect("valid")]))
    });
    CallerTable {
        routes,
        keys: BTreeMap::new(),
        workspace_homes: homes.collect(),
        warm_up_ms: BTreeMap::new(),
        workspace_urgencies: named.collect(),
        needs_key: false,
        cold_limits: BTreeMap::new(),
        limits: CallerLimits { head_bytes: 1, body_bytes: 1, head_ms: 1, idle_ms: 1 },
    }
}

/// Guards against a changed order or engine header where operators name no two urgencies that can
/// meet at a service.
#[rstest]
#[case::none(&[None, None], &[], false)]
#[case::one(&[Some(3), None], &[], false)]
#[case::equal(&[Some(3), Some(3)], &[("shop", 3, "west")], false)]
#[case::routes(&[Some(0), Some(2)], &[], true)]
#[case::workspace(&[Some(0), None], &[("shop", 2, "west")], true)]
#[case::workspace_of_another_region(&[Some(0), None], &[("shop", 2, "north")], false)]
fn urgencies_are_in_use_if_two_can_meet(
    #[case] routes: &[Option<u8>],
    #[case] workspaces: &[(&str, u8, &str)],
    #[case] in_use: bool,
) {
    let mut routes: Vec<_> = routes.iter().map(|urgency| rule("desk", *urgency, 400)).collect();
    routes.push(rule("other", None, 400));
    let table = table(routes, workspaces);
    let urgencies = UrgencyTable::new(&table);
    let [first, .., other] = &table.routes[..] else { unreachable!("three routes") };
    let of_request = |rule: &RouteRule| {
        urgencies.of_request(&table, rule, Some(&workspace("shop")), &rule.shares[0].service)
    };
    assert_eq!(of_request(first).is_some(), in_use);
    assert_eq!(of_request(other), None);
    let (fresh, returned) = (AdmitTier::Fresh, AdmitTier::Returned);
    assert_eq!(engine_priority(None, fresh), None);
    assert_eq!(engine_priority(None, returned), Some(9));
}

/// Guards against a header, wait or reserve that contradicts the order of admission.
#[test]
fn header_and_wait_follow_the_order_of_admission() {
    let routes =
        vec![rule("desk", Some(0), 400), rule("desk", Some(1), 300), rule("desk", Some(2), 1_000)];
    let table = table(routes, &[("shop", 0, "west")]);
    let urgencies = UrgencyTable::new(&table);
    let of_request = |route: usize, name: Option<&str>| {
        let rule = &table.routes[route];
        let name = name.map(workspace);
        urgencies.of_request(&table, rule, name.as_ref(), &rule.shares[0].service).expect("in use")
    };
    let all = [of_request(0, None), of_request(1, None), of_request(2, None)];
    let tiers = [AdmitTier::Fresh, AdmitTier::Returned];
    let priorities = all.map(|urgency| tiers.map(|tier| engine_priority(Some(urgency), tier)));
    assert_eq!(priorities, [[Some(0), Some(1)], [Some(2), Some(3)], [Some(4), Some(5)]]);
    assert_eq!(all.map(|urgency| urgency.wait_aim_ms(1_000)), [400; 3]);
    assert_eq!(all[1].wait_aim_ms(300), 300);
    let yields = all.map(|urgency| urgency.rank(RequestWork::UNIT).yields);
    assert_eq!(yields, [false, false, true]);
    assert_eq!(of_request(2, Some("shop")).urgency, Urgency::MOST);
}

fn engine() -> EngineProfile {
    EngineProfile {
        model: "daka".to_owned(),
        slots: 8,
        read_per_ms: 4.0,
        step_ms: 10.0,
        stride: 1,
        usual_prompt: 800,
        usual_answer: 20,
        layers: 0,
        origin: None,
    }
}

/// Guards against a work of zero, which would never count for a share.
#[test]
fn work_is_the_expected_time_in_a_slot() {
    let engine = engine();
    let work = |size| RequestWork::of(Some(&engine), size).as_ms();
    assert_eq!(work(Some(GenerationSize { prompt: 400, answer: 30 })), 400);
    assert_eq!(work(None), 400);
    assert_eq!(work(Some(GenerationSize { prompt: 0, answer: 0 })), 1);
    assert_eq!(RequestWork::of(None, None), RequestWork::UNIT);
}

fn enqueue(
    admission: &ServiceAdmission<u32>,
    name: &str,
    rank: AdmitRank,
    handle: u32,
    admitted: &RefCell<Vec<u32>>,
) {
    let ticket = AdmitTicket {
        workspace: workspace(name),
        priority: PriorityClass::Normal,
        deadline: Deadline(NOW.0 + 60_000),
        tier: AdmitTier::Fresh,
    };
    admission.enqueue_ranked(&ticket, rank, handle, 1, NOW, |handle, verdict| {
        assert_eq!(verdict, AdmitVerdict::Admitted);
        admitted.borrow_mut().push(handle);
        true
    });
}

/// Releases the only slot `count` times; returns the handles admitted since the last call.
fn release(
    admission: &ServiceAdmission<u32>,
    count: usize,
    admitted: &RefCell<Vec<u32>>,
) -> Vec<u32> {
    for _ in 0..count {
        admission.release(1, NOW, |handle, _| {
            admitted.borrow_mut().push(handle);
            true
        });
    }
    admitted.take()
}

/// Guards against a configuration that changes urgencies while requests wait: those that wait keep
/// their rank, later ones get the new one, and none is lost.
#[test]
fn a_change_of_urgencies_applies_to_later_requests() {
    let (admission, admitted) = (ServiceAdmission::<u32>::new(16), RefCell::default());
    assert!(admission.try_admit(AdmitTier::Fresh, 1));
    let rank = |urgency: u8| AdmitRank { urgency: urgency.into(), ..AdmitRank::default() };
    for (handle, urgency) in [(1, 2), (2, 1), (3, 0), (4, 2)] {
        enqueue(&admission, "shop", rank(urgency), handle, &admitted);
    }
    enqueue(&admission, "shop", AdmitRank::default(), 5, &admitted);
    assert_eq!(release(&admission, 5, &admitted), [3, 2, 1, 4, 5]);
    assert_eq!(admission.waiting(), 0);
}

/// Guards against a workspace that gets more of the engines than others by sending longer requests,
/// and against credit for one that was idle.
#[test]
fn workspaces_get_equal_work_whatever_the_size_of_their_requests() {
    let (admission, admitted) = (ServiceAdmission::<u32>::new(4_096), RefCell::default());
    assert!(admission.try_admit(AdmitTier::Fresh, 1));
    let send = |name: &str, work_ms: u32| {
        let size = GenerationSize { prompt: 4 * work_ms, answer: 0 };
        let work = RequestWork::of(Some(&engine()), Some(size));
        let rank = AdmitRank { work, ..AdmitRank::default() };
        (0..800).for_each(|_| enqueue(&admission, name, rank, work_ms, &admitted));
    };
    let work_of =
        |handles: &[u32], size: u32| handles.iter().filter(|handle| **handle == size).sum::<u32>();
    send("short", 100);
    send("long", 400);
    let first = release(&admission, 500, &admitted);
    assert!(work_of(&first, 100).abs_diff(work_of(&first, 400)) <= 400);
    send("idle", 200);
    let later = release(&admission, 350, &admitted);
    let [short, long, idle] = [100, 400, 200].map(|size| work_of(&later, size));
    assert!(idle.abs_diff(long) <= 800 && idle.abs_diff(short) <= 800, "{short} {long} {idle}");
}
