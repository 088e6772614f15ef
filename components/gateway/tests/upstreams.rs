//! What upstreams do wrong, and what becomes of the requests.

mod world;

use clock::Millis;
use std::rc::Rc;
use steering::routing::Readiness;
use world::caller::{Answer, get, post};
use world::upstream::{Act, Standin};
use world::{Vm, World, entry, play};

/// Two upstreams; the one that the test object's requests go to first does `act` once.
async fn two(world: &World, act: Act) -> (Rc<Standin>, Rc<Standin>, Vm) {
    let (a, b) = (world.upstream("u1").await, world.upstream("u2").await);
    world.declare(1);
    let vm = world.gateway("a").await;
    vm.await_ready().await;
    let mut caller = vm.connect().await;
    let home = caller.ask(&get("/read/home", "h")).await.unwrap().text();
    let (home, other) = if home.starts_with("u1") { (a, b) } else { (b, a) };
    home.script([act, Act::Answer]);
    (home, other, vm)
}

async fn ask(vm: &Vm, text: &str) -> Answer {
    vm.connect().await.ask(text).await.unwrap()
}

#[tokio::test]
async fn a_read_is_repeated_elsewhere_after_any_failure() {
    let acts = [
        Act::Reset,
        Act::Close,
        Act::Truncate,
        Act::Garbage,
        Act::Fail,
        Act::Shed,
        Act::Misdirected,
        Act::Refuse,
        Act::Unsigned,
    ];
    for act in acts {
        play(async |world| {
            let (home, other, vm) = two(&world, act.clone()).await;
            let answer = ask(&vm, &get("/read/1", "r")).await;
            assert_eq!(
                (answer.status, answer.text()),
                (200, format!("{} /read/1", other.id)),
                "{act:?}"
            );
            assert!(home.seen().len() <= 2, "{act:?}");
        })
        .await;
    }
}

#[tokio::test]
async fn an_order_is_repeated_only_after_a_statement_that_it_did_not_run() {
    for (act, status) in [
        (Act::Shed, 200),
        (Act::Misdirected, 200),
        (Act::Reset, 502),
        (Act::Close, 502),
        (Act::Truncate, 502),
        (Act::Garbage, 502),
        (Act::Unsigned, 502),
        (Act::Refuse, 502),
        (Act::Fail, 500),
        (Act::StrayFirst, 200),
        (Act::Unframed, 200),
    ] {
        play(async |world| {
            let (home, other, vm) = two(&world, act.clone()).await;
            let answer = ask(&vm, &post("/order/1", "o", "x")).await;
            assert_eq!(answer.status, status, "{act:?}");
            let runs = [home, other]
                .map(|each| each.paths().iter().filter(|path| *path == "/order/1").count());
            assert_eq!(runs[0] + runs[1], 1, "{act:?}: {runs:?}");
        })
        .await;
    }
}

#[tokio::test]
async fn what_every_upstream_turns_away_is_refused_as_not_run() {
    play(async |world| {
        let (home, other, vm) = two(&world, Act::Shed).await;
        home.script([Act::Shed]);
        other.script([Act::Shed]);
        let answer = ask(&vm, &post("/order/1", "o", "x")).await;
        assert_eq!(answer.status, 503);
        let seconds: f64 = answer.head.headers.text("retry-after").unwrap().parse().unwrap();
        assert!(seconds > 0.0 && seconds <= 1.0);
    })
    .await;
}

#[tokio::test]
async fn once_it_may_have_run_a_read_is_never_refused_as_not_run() {
    play(async |world| {
        let (home, other, vm) = two(&world, Act::Reset).await;
        home.script([Act::Reset]);
        other.script([Act::Shed]);
        assert_eq!(ask(&vm, &get("/read/1", "r")).await.status, 502);
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_can_not_be_reached_costs_an_order_nothing() {
    play(async |world| {
        let upstream = world.upstream("u1").await;
        // Nobody listens there.
        let nowhere = std::net::SocketAddr::new(world.host(), 8_080);
        for id in ["x1", "x2", "x3"] {
            world.store.put_upstream(entry(id, nowhere, Readiness::Ready));
        }
        world.declare(1);
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        for number in 0..10 {
            let id = format!("o{number}");
            let text = post("/order/1", &id, "x")
                .replace("test-object: 7", &format!("test-object: {number}"));
            assert_eq!(ask(&vm, &text).await.status, 200, "{id}");
        }
        assert_eq!(upstream.seen().len(), 10);
    })
    .await;
}

#[tokio::test]
async fn answers_to_other_requests_reach_nobody() {
    for act in [Act::StrayFirst, Act::StrayLast] {
        play(async |world| {
            let (home, _, vm) = two(&world, act.clone()).await;
            let mut caller = vm.connect().await;
            home.script([act.clone()]);
            for number in 0..5 {
                let path = format!("/read/{number}");
                let answer = caller.ask(&get(&path, &path)).await.unwrap();
                assert_eq!(answer.text(), format!("{} {path}", home.id), "{act:?}");
            }
        })
        .await;
    }
}

#[tokio::test]
async fn an_upstream_whose_address_moved_on_is_not_asked_again() {
    play(async |world| {
        let (home, other, vm) = two(&world, Act::Misdirected).await;
        home.script([Act::Misdirected, Act::Answer]);
        for number in 0..5 {
            let path = format!("/read/{number}");
            assert_eq!(ask(&vm, &get(&path, &path)).await.text(), format!("{} {path}", other.id));
        }
        assert_eq!(home.paths(), ["/read/home"]);
    })
    .await;
}

#[tokio::test]
async fn a_silent_upstream_ends_at_the_deadline_with_an_unknown_outcome() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Act::Hang]);
        let text = post("/order/1", "o", "x").replace("1500", "200");
        assert_eq!(ask(&vm, &text).await.status, 504);
        assert_eq!(upstream.paths(), ["/order/1"]);
    })
    .await;
}

#[tokio::test]
async fn a_routes_timeout_ends_a_request_before_its_caller_does() {
    play(async |world| {
        let upstream = world.upstream("u1").await;
        upstream.script([Act::Hang]);
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|route| {
                let timeout = Some(Millis(150));
                std::sync::Arc::new(steering::routing::Route { timeout, ..(**route).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        assert_eq!(ask(&vm, &get("/read/1", "r")).await.status, 504);
        let left = upstream.seen()[0].head.headers.text("test-deadline").unwrap().to_owned();
        assert!(left.parse::<u64>().unwrap() <= 150, "{left}");
    })
    .await;
}

#[tokio::test]
async fn connections_are_used_again() {
    play(async |world| {
        let (home, _, vm) = two(&world, Act::Answer).await;
        let mut caller = vm.connect().await;
        for number in 0..20 {
            let path = format!("/read/{number}");
            assert_eq!(caller.ask(&get(&path, &path)).await.unwrap().status, 200);
        }
        assert_eq!(home.connections(), 1);
    })
    .await;
}

/// A plain close would still deliver what a cut link holds back, after an evacuation or to an
/// upstream that left.
#[tokio::test]
async fn a_request_that_is_given_up_on_is_taken_back_by_a_reset() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Act::Hang]);
        let text = get("/read/1", "r").replace("1500", "150");
        assert_eq!(ask(&vm, &text).await.status, 504);
        world::until(async || upstream.resets() == 1).await;
        let mut leaves = vm.connect().await;
        leaves.send(&get("/read/2", "s")).await;
        world::until(async || upstream.seen().len() == 2).await;
        drop(leaves);
        world::until(async || upstream.resets() == 2).await;
    })
    .await;
}

#[tokio::test]
async fn a_region_short_of_slots_sends_its_part_away_from_the_first_request() {
    play(async |world| {
        let near = world.upstream_in("near", "d1").await;
        for number in 0..3 {
            world.upstream_in(&format!("far{number}"), "d2").await;
        }
        world.declare(1);
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        let mut caller = vm.connect().await;
        for object in 0..60 {
            let request = get(&format!("/read/{object}"), &format!("r{object}"));
            let request = request.replace("test-object: 7", &format!("test-object: {object}"));
            assert_eq!(caller.ask(&request).await.unwrap().status, 200);
        }
        // A quarter of the slots and half of the callers: half of the requests may stay.
        let stayed = near.seen().len();
        assert!((20..=40).contains(&stayed), "{stayed} of 60 stayed");
    })
    .await;
}

#[tokio::test]
async fn a_route_is_served_in_its_allowed_regions_only() {
    play(async |world| {
        let near = world.upstream_in("near", "d1").await;
        let far = world.upstream_in("far", "d2").await;
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|each| {
                let regions = vec!["r2".into()];
                std::sync::Arc::new(steering::routing::Route { regions, ..(**each).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        for object in 0..20 {
            let request = get(&format!("/read/{object}"), &format!("r{object}"));
            let request = request.replace("test-object: 7", &format!("test-object: {object}"));
            assert_eq!(ask(&vm, &request).await.status, 200);
        }
        assert_eq!((near.seen().len(), far.seen().len()), (0, 20));
        far.script([Act::Shed]);
        assert_eq!(ask(&vm, &post("/order/1", "o", "x")).await.status, 503);
        assert!(near.seen().is_empty(), "a full region is no reason to leave it");
    })
    .await;
}

#[tokio::test]
async fn a_cold_upstream_gets_no_more_than_its_rate() {
    play(async |world| {
        let standin = world.upstream("warm").await;
        let cold = steering::routing::Upstream {
            cold_left: Millis(10_000),
            ..entry("warm", standin.address, Readiness::Ready)
        };
        world.store.put_upstream(cold);
        world.declare(1);
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        // A VM that has just started doesn't know yet who else sends.
        tokio::time::sleep(Millis(1_500).duration()).await;
        let mut caller = vm.connect().await;
        let mut served = 0;
        for number in 0..40 {
            let answer = caller.ask(&get(&format!("/read/{number}"), "r")).await.unwrap();
            assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
            served += usize::from(answer.status == 200);
            tokio::time::sleep(Millis(25).duration()).await;
        }
        // Five a second are borne by all VMs together, and a second has passed.
        assert!((1..=5).contains(&served), "{served}");
        assert_eq!(standin.seen().len(), served);
    })
    .await;
}

#[tokio::test]
async fn a_silent_upstream_costs_one_deadline_each_until_it_is_shunned() {
    play(async |world| {
        let (home, other, vm) = two(&world, Act::Answer).await;
        home.script([Act::Hang]);
        for number in 0..2 {
            let started = std::time::Instant::now();
            let request = get(&format!("/read/{number}"), "r").replace("1500", "400");
            assert_eq!(ask(&vm, &request).await.status, 504);
            let took = started.elapsed().as_millis();
            assert!((350..900).contains(&took), "{took}");
        }
        let answer = ask(&vm, &get("/read/2", "r")).await;
        assert_eq!((answer.status, answer.text()), (200, format!("{} /read/2", other.id)));
    })
    .await;
}
