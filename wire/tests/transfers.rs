//! Answers that break off midway must not look whole, whatever marks their end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use lagoonhollow_wire::transfer::Transfer;
use lagoonhollow_wire::transfer_error::TransferError;
use ntex::client::Client;

const BODY: &str = "{\"items\":[1,2,3]}";
const LIMIT: usize = 1_024;

/// Serves one connection with `answer` and closes it.
fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn receive(answer: String) -> Result<Vec<u8>, TransferError> {
    let address = serve(answer);
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = Client::new().await;
        let url = format!("http://{address}/");
        let transfer = Transfer::open(&client, url, Duration::from_secs(5)).send().await?;
        transfer.receive(LIMIT).await
    })
}

#[test]
fn an_answer_shorter_than_its_length_is_an_error() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    assert_eq!(receive(format!("{head}{BODY}")).unwrap(), BODY.as_bytes());
    for length in [0, 1, BODY.len() / 2, BODY.len() - 1] {
        let part = &BODY[..length];
        assert!(receive(format!("{head}{part}")).is_err(), "{length} bytes counted as whole");
    }
}

#[test]
fn an_answer_in_chunks_without_the_last_one_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{BODY}\r\n", BODY.len());
    assert_eq!(receive(format!("{head}{chunk}0\r\n\r\n")).unwrap(), BODY.as_bytes());
    assert!(receive(format!("{head}{chunk}")).is_err(), "all data but no last chunk");
    assert!(receive(format!("{head}{}", &chunk[..8])).is_err(), "a part of a chunk");
}
