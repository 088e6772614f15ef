//! Responses to callers: order, rejection of malformed requests, isolation from other requests.

mod world;

use clock::Millis;
use world::caller::{get, post};
use world::upstream::Behaviour;
use world::{HOST, run_test, until};

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::Slow(Millis(300)), Behaviour::Respond]);
        let mut caller = vm.connect().await;
        let texts = ["/read/1", "/read/2", "/read/3"].map(|path| get(path, path));
        caller.send(&texts.concat()).await;
        until(async || upstream.executed().len() == 3).await;
        assert!(upstream.completed().is_empty(), "the first request is still executing");
        for path in ["/read/1", "/read/2", "/read/3"] {
            let reply = caller.response().await.unwrap();
            assert_eq!((reply.status, reply.text()), (200, format!("u1 {path}")));
            assert_eq!(reply.head.headers.text("test-id"), Some(path));
            assert_eq!(reply.head.headers.text("test-signature"), Some("signed"));
        }
    })
    .await;
}

#[tokio::test]
async fn a_request_is_forwarded_unchanged_with_remaining_time_and_target() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        let text = "POST /order/x%20y?b=1&a=%2F HTTP/1.1\r\nHost: status.example\r\ntest-id: i1\r\n\
            test-deadline: 900\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Own: 2\r\n\
            Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(caller.request(text).await.unwrap().status, 200);
        let forwarded = upstream.executed().remove(0);
        assert_eq!(&forwarded.head.method[..], b"POST");
        assert_eq!(&forwarded.head.target[..], b"/order/x%20y?b=1&a=%2F");
        assert_eq!(forwarded.body, "abcde");
        assert_eq!(forwarded.head.headers.text("test-id"), Some("i1"));
        assert_eq!(forwarded.head.headers.text("test-target"), Some("u1"));
        assert_eq!(forwarded.head.headers.text("x-own"), Some("2"));
        assert_eq!(forwarded.head.headers.text("x-hop"), None);
        let remaining: u64 = forwarded.head.headers.text("test-deadline").unwrap().parse().unwrap();
        assert!(remaining <= 900, "the forwarded deadline exceeds the caller's: {remaining}");
    })
    .await;
}

#[tokio::test]
async fn a_disconnect_cancels_reads_but_not_orders() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::Slow(Millis(400))]);
        for text in [get("/read/1", "r"), post("/order/1", "o", "x")] {
            let before = upstream.executed().len();
            let mut caller = vm.connect().await;
            caller.send(&text).await;
            until(async || upstream.executed().len() > before).await;
        }
        until(async || !upstream.cancelled().is_empty() && !upstream.completed().is_empty()).await;
        assert_eq!(upstream.cancelled(), ["/read/1"]);
        assert_eq!(upstream.completed(), ["/order/1"]);
    })
    .await;
}

#[tokio::test]
async fn a_malformed_request_is_rejected_without_affecting_others() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        let mut good = vm.connect().await;
        let smuggled = format!(
            "POST /read/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        );
        let cases = [
            ("nonsense\r\n\r\n".to_owned(), 400),
            (smuggled, 400),
            ("GET /read/ HTTP/1.1\r\n\r\n".to_owned(), 400),
            (format!("GET /read/ HTTP/1.1\r\nHost: {HOST}\r\nHost: {HOST}\r\n\r\n"), 400),
            (format!("GET /read/ HTTP/1.1\r\nHost: {HOST}\r\nX: {}\r\n\r\n", "a".repeat(3_000)), 431),
            (format!("POST /order/ HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1000001\r\n\r\n"), 413),
            (format!("GET /read/half HTTP/1.1\r\nHost: {HOST}\r\n"), 408),
        ];
        for (text, status) in cases {
            let mut caller = vm.connect().await;
            let reply = caller.request(&text).await.unwrap();
            assert_eq!(reply.status, status, "{text}");
            assert!(reply.closes_connection(), "{text}");
            assert!(caller.response().await.is_none(), "the connection stayed open: {text}");
            assert_eq!(good.request(&get("/read/good", "g")).await.unwrap().status, 200);
        }
        assert!(upstream.paths().iter().all(|path| path == "/read/good"), "{:?}", upstream.paths());
    })
    .await;
}

#[tokio::test]
async fn an_unknown_route_keeps_the_connection_open() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/nowhere/1", "n")).await.unwrap().status, 404);
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 200);
    })
    .await;
}

#[tokio::test]
async fn a_long_response_is_streamed_in_full() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::Long(3_000_000)]);
        let mut caller = vm.connect().await;
        let reply = caller.request(&get("/load/1", "l")).await.unwrap();
        assert_eq!((reply.status, reply.body.len()), (200, 3_000_000));
        assert_eq!(caller.request(&get("/load/2", "m")).await.unwrap().body.len(), 3_000_000);
    })
    .await;
}
