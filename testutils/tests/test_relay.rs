//! Shows that a relay holds bytes back and lets them go.

use std::net::SocketAddr;
use std::time::Duration;

use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::network::Network;
use heatherring_testutils::relay::Link;
use heatherring_testutils::relay::Relay;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

#[tokio::test]
async fn test_relay_cut_and_mended() {
    let mut block = LoopbackBlock::claim().unwrap();
    let target = SocketAddr::new(block.next_vm(), SERVICE_PORT);
    let listener = TcpListener::bind(target).await.unwrap();
    let relay = Relay::start(block.next_relay(), target, Link::default());
    let relay = relay.await.unwrap();
    let mut near = TcpStream::connect(relay.address()).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    relay.modify(|link| link.cut_towards_target = true);
    near.write_all(b"to").await.unwrap();
    // The other direction still works.
    far.write_all(b"from").await.unwrap();
    let mut buf = [0; 4];
    near.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"from");
    let early = far.try_read(&mut buf);
    assert_eq!(early.unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    relay.set(Link::default());
    far.read_exact(&mut buf[..2]).await.unwrap();
    assert_eq!(&buf[..2], b"to");
}

#[tokio::test]
async fn test_relay_cuts_one_source_alone() {
    let mut block = LoopbackBlock::claim().unwrap();
    let target = SocketAddr::new(block.next_vm(), SERVICE_PORT);
    let cut_off = block.next_vm();
    let listener = TcpListener::bind(target).await.unwrap();
    let relay = Relay::start(block.next_relay(), target, Link::default());
    let relay = relay.await.unwrap();
    relay.set_from(cut_off, Link::default().cut());

    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(cut_off, 0)).unwrap();
    let mut silent = socket.connect(relay.address()).await.unwrap();
    let (far_of_silent, _) = listener.accept().await.unwrap();
    silent.write_all(b"lost").await.unwrap();
    let mut near = TcpStream::connect(relay.address()).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    near.write_all(b"to").await.unwrap();
    let mut buf = [0; 4];
    far.read_exact(&mut buf[..2]).await.unwrap();
    let early = far_of_silent.try_read(&mut buf);
    assert_eq!(early.unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
}

#[tokio::test]
async fn test_relay_cuts_one_process() {
    let mut block = LoopbackBlock::claim().unwrap();
    let target = SocketAddr::new(block.next_vm(), SERVICE_PORT);
    let listener = TcpListener::bind(target).await.unwrap();
    let listen = block.next_relay();
    let mut network = Network::default();
    network.add_relay(listen, target, "target").await.unwrap();
    network.register(std::process::id(), None, "tester");
    network.cut_one_way("tester", "target");
    let mut near = TcpStream::connect(listen).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    near.write_all(b"to").await.unwrap();
    far.write_all(b"from").await.unwrap();
    let mut buf = [0; 4];
    near.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"from");
    let early = far.try_read(&mut buf);
    assert_eq!(early.unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    network.mend();
    far.read_exact(&mut buf[..2]).await.unwrap();
    assert_eq!(&buf[..2], b"to");
}

/// Guards against a cut that tells whoever connects that nobody listens behind it.
#[tokio::test]
async fn test_relay_cut_holds_a_refusal_back() {
    let mut block = LoopbackBlock::claim().unwrap();
    let nobody = SocketAddr::new(block.next_vm(), SERVICE_PORT);
    let relay = Relay::start(block.next_relay(), nobody, Link::default().cut());
    let relay = relay.await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(block.next_vm(), 0)).unwrap();
    let mut near = socket.connect(relay.address()).await.unwrap();
    let mut buf = [0; 1];
    let ended = tokio::time::timeout(Duration::from_millis(300), near.read(&mut buf)).await;
    assert!(ended.is_err());
    relay.set(Link::default());
    assert_eq!(near.read(&mut buf).await.unwrap(), 0);
}
