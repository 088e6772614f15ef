//! The client over TCP: its failures state correctly whether a request may have been executed.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Attempt, Client, Failure, HeaderMap, Method, Settings, Transport};

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn attempt(address: SocketAddr) -> Attempt {
    Attempt {
        upstream: "u".into(),
        address,
        method: Method::POST,
        path: "/place".into(),
        headers: HeaderMap::new(),
        body: "an order".into(),
        budget: clock::Millis(5_000),
    }
}

// Responds to the first request of each connection with `response`, unchanged, and closes.
async fn serve(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(ANY)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            respond_once(stream, response).await;
        }
    });
    address
}

async fn respond_once(mut stream: TcpStream, response: &str) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    let _ = stream.write_all(response.as_bytes()).await;
}

async fn send(address: SocketAddr) -> Result<upstream::Reply, Failure> {
    Client::new(Settings::default()).expect("a client").send(attempt(address)).await
}

#[tokio::test]
async fn a_closed_port_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind(SocketAddr::from(ANY)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert!(matches!(send(address).await, Err(Failure::NotSent { .. })));
}

#[tokio::test]
async fn a_connection_that_closes_without_a_response_may_have_run_the_request() {
    let address = serve("").await;
    assert!(matches!(send(address).await, Err(Failure::Broken { .. })));
}

#[tokio::test]
async fn a_refusal_by_the_upstream_may_follow_a_run() {
    let response =
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 2\r\n\r\n";
    let shed = Failure::Shed { retry_after: Some(clock::Millis(2_000)) };
    assert_eq!(send(serve(response).await).await.err(), Some(shed));
}

#[tokio::test]
async fn a_redirect_is_returned_and_never_followed() {
    let response =
        "HTTP/1.1 307 Temporary Redirect\r\ncontent-length: 0\r\nlocation: /again\r\n\r\n";
    let reply = send(serve(response).await).await.expect("a response");
    assert_eq!(reply.status.as_u16(), 307);
}

#[tokio::test]
async fn requests_beyond_the_limit_of_connections_are_not_sent() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let address = serve(response).await;
    let settings = Settings { connections: 1, ..Settings::default() };
    let client = Client::new(settings).expect("a client");
    let held = client.send(attempt(address)).await.expect("a response");
    assert!(matches!(client.send(attempt(address)).await, Err(Failure::NotSent { .. })));
    drop(held);
    assert!(client.send(attempt(address)).await.is_ok());
}
