//! What a replica sees of a connection that is dropped.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use woadreach_proxy::replica::connection::ReplicaConnection;

#[tokio::test]
async fn a_connection_dropped_with_its_request_in_flight_is_reset() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let mut connection = ReplicaConnection::open(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut replica, _) = listener.accept().await.unwrap();
    let request = Request::post("/work/")
        .body(Full::new(Bytes::from_static(b"input")))
        .unwrap();
    let mut received = [0; 16];
    tokio::select! {
        _ = connection.send(request) => panic!("the replica does not answer"),
        read = replica.read(&mut received) => assert!(read.unwrap() > 0),
    }
    drop(connection);
    let mut rest = Vec::new();
    let error = replica.read_to_end(&mut rest).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
