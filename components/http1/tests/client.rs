//! A client whose server responds slowly, in parts or not at all.

use clock::Millis;
use http1::net::Timeouts;
use http1::{Call, Client, Failure, Limits};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUTS: Timeouts = Timeouts { connect: Millis(300), silence: Millis(1_500) };
const BODY_LIMIT: u64 = 1_000;

/// Starts a server that accepts one connection and sends the parts, each after its delay.
async fn server(parts: Vec<(Millis, &'static str)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for (delay, part) in parts {
            tokio::time::sleep(delay.duration()).await;
            stream.write_all(part.as_bytes()).await.unwrap();
        }
        // Keeps the connection open until the client closes it.
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    });
    address
}

const LIMITS: Limits = Limits { response: Millis(400), silence: Millis(400), total: Millis(1_500) };

/// With a total that no response of a test takes.
const PATIENT: Limits = Limits { total: Millis(20_000), ..LIMITS };

async fn call(address: SocketAddr) -> Result<String, Failure> {
    call_within(address, LIMITS).await
}

async fn call_within(address: SocketAddr, limits: Limits) -> Result<String, Failure> {
    let mut client = Client::new(address, TIMEOUTS, BODY_LIMIT);
    let call = Call { method: "GET", target: "/", body: b"", media_type: "", limits };
    let (_, body) = client.call(&call).await?;
    Ok(String::from_utf8(body.to_vec()).unwrap())
}

/// Guards against a transfer that is cut off and looks like a server that never responded.
#[tokio::test]
async fn a_response_that_is_cut_off_by_the_timeout_differs_from_none() {
    let silent = call(server(vec![]).await).await;
    assert!(
        matches!(silent, Err(Failure::Unanswered { took }) if took >= Millis(400)),
        "{silent:?}"
    );
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345";
    let incomplete = call_within(server(vec![(Millis::ZERO, head)]).await, PATIENT).await;
    assert!(
        matches!(
            incomplete,
            Err(Failure::Incomplete { received: 5, took })
                if took >= PATIENT.silence && took < PATIENT.total
        ),
        "{incomplete:?}"
    );
}

/// Guards against a transfer that begins anew again and again, since it takes longer than a server
/// may take to respond.
#[tokio::test]
async fn a_slow_response_that_makes_progress_is_received() {
    let mut parts = vec![(Millis::ZERO, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")];
    parts.extend([(Millis(100), "x"); 10]);
    assert_eq!(call(server(parts).await).await.unwrap(), "xxxxxxxxxx");
}

/// Guards against a call that holds on to a server which sends a byte now and then: the response
/// can't end in time, and another server may be faster.
#[tokio::test]
async fn a_response_that_is_too_slow_to_end_in_time_is_given_up_early() {
    let mut parts = vec![(Millis::ZERO, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")];
    parts.extend([(Millis(100), "x"); 300]);
    let result = call_within(server(parts).await, PATIENT).await;
    assert!(
        matches!(
            result,
            Err(Failure::Incomplete { took, .. }) if took >= PATIENT.silence && took < PATIENT.total
        ),
        "{result:?}"
    );
}

/// Guards against a call without end to a server that doesn't say how long its response is.
#[tokio::test]
async fn a_response_of_unknown_length_is_given_up_at_the_end_of_the_time() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut parts = vec![(Millis::ZERO, head)];
    parts.extend([(Millis(100), "1\r\nx\r\n"); 100]);
    let result = call(server(parts).await).await;
    assert!(
        matches!(result, Err(Failure::Incomplete { took, .. }) if took >= LIMITS.total),
        "{result:?}"
    );
}
