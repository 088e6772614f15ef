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

async fn call(address: SocketAddr) -> Result<String, Failure> {
    let mut client = Client::new(address, TIMEOUTS, BODY_LIMIT);
    let call = Call { method: "GET", target: "/", body: b"", media_type: "", limits: LIMITS };
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
    let incomplete = call(server(vec![(Millis::ZERO, head)]).await).await;
    assert!(
        matches!(incomplete, Err(Failure::Incomplete { received: 5, took }) if took >= Millis(400)),
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

/// Guards against a call without end to a server that sends a byte now and then.
#[tokio::test]
async fn a_response_that_makes_too_little_progress_is_given_up() {
    let mut parts = vec![(Millis::ZERO, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")];
    parts.extend([(Millis(100), "x"); 100]);
    let result = call(server(parts).await).await;
    assert!(
        matches!(result, Err(Failure::Incomplete { took, .. }) if took >= LIMITS.total),
        "{result:?}"
    );
}
