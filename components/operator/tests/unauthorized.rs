//! A wrong key is refused, counted, and logged without the key.

use clock::Clock;
use errors::Kind;
use log::LevelFilter;
use operator::fake::Control;
use operator::{Api, Client, Key, router};
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::prelude::Server;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use telemetry::Options;

const RIGHT: &str = "0123456789abcdef0123456789abcdef";
const WRONG: &str = "fedcba9876543210fedcba9876543210";

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn a_wrong_key_is_counted_and_logged_without_the_key() {
    let output = Output::default();
    let options = Options { level: LevelFilter::Trace, rate: 1_000 };
    let log = telemetry::install_to(output.clone(), options, Clock::system()).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let acceptor = TcpListener::new(any).try_bind().await.unwrap();
    let address = acceptor.holdings()[0].local_addr.clone().into_std().unwrap();
    let routes = router(Key::new(RIGHT.into()), Arc::new(Control::default()));
    tokio::spawn(Server::new(acceptor).serve(routes));

    let unauthorized = Client::new(address, Key::new(WRONG.into())).unwrap();
    assert_eq!(unauthorized.status().await.unwrap_err().kind, Kind::Unauthorized);
    let operator = Client::new(address, Key::new(RIGHT.into())).unwrap();
    operator.status().await.unwrap();
    log.close();

    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("without the operators' key"), "{text}");
    assert!(!text.contains(WRONG) && !text.contains(RIGHT), "{text}");
    let metrics = telemetry::render();
    let counted = "heatherbend_unauthorized_total{listener=\"operator\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    let requests = "heatherbend_operator_acts_total{action=\"status\",outcome=\"done\"} 1";
    assert!(metrics.contains(requests), "{metrics}");
    assert!(!metrics.contains(WRONG) && !metrics.contains(RIGHT));
}
