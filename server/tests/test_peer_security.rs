//! Tests of mutual authentication between the processes of a deployment.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use heatherring_lib::settings::Security;
use heatherring_lib::settings::TlsFiles;
use heatherring_server::peer_security::CERTIFICATE_NAME;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::peer_security::PeerSecurityError;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const GREETING: &[u8] = b"greeting";

/// Certificate authority of a deployment, and the folder for the files of its processes.
struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    folder: TempDir,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self {
            issuer: CertifiedIssuer::self_signed(params, key).unwrap(),
            folder: TempDir::new().unwrap(),
        }
    }

    fn write(&self, name: &str, pem: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, pem).unwrap();
        path
    }

    /// Returns the TLS files of a process with a certificate of this authority that trusts peers
    /// certified by `trusted`.
    fn files_trusting(&self, trusted: &Self) -> TlsFiles {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsFiles {
            authority_file: self.write("authority.pem", &trusted.issuer.pem()),
            certificate_file: self.write("certificate.pem", &certificate.pem()),
            key_file: self.write("key.pem", &key.serialize_pem()),
        }
    }

    fn security(&self) -> PeerSecurity {
        PeerSecurity::from_settings(&Security::Tls(self.files_trusting(self))).unwrap()
    }
}

/// Sends a greeting from `client` to `server`, and returns what the server read.
async fn greet(client: PeerSecurity, server: PeerSecurity) -> Result<Vec<u8>, PeerSecurityError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sender = tokio::spawn(async move {
        let stream = TcpStream::connect(address).await.unwrap();
        if let Ok(mut stream) = client.connect(stream).await {
            // The server may have refused the connection already; the test checks the result on
            // the server's side.
            let _ = stream.write_all(GREETING).await;
            let _ = stream.shutdown().await;
        }
    });
    let (stream, _) = listener.accept().await.unwrap();
    let received = match server.accept(stream).await {
        Ok(mut stream) => {
            let mut buf = Vec::new();
            stream.read_to_end(&mut buf).await.unwrap();
            Ok(buf)
        }
        Err(err) => Err(err),
    };
    sender.await.unwrap();
    received
}

#[tokio::test]
async fn test_peer_security_same_deployment() {
    let authority = Authority::new();
    let received = greet(authority.security(), authority.security()).await;
    assert_eq!(received.unwrap(), GREETING);
}

#[tokio::test]
async fn test_peer_security_plaintext_peer() {
    // Guards against records in the audit trail that no operator made: without authentication in
    // the handshake, any program that reaches the port could connect without a certificate and
    // send requests at once.
    let authority = Authority::new();
    let received = greet(PeerSecurity::open_loopback(), authority.security()).await;
    assert!(matches!(received, Err(PeerSecurityError::Handshake { .. })));
}

#[tokio::test]
async fn test_peer_security_certificate_of_another_deployment() {
    // Guards against entry VMs of one deployment taking part in another: an address in the
    // settings names a VM of the other deployment, and a process connects with that deployment's
    // certificate. The client here even trusts this deployment's authority.
    let own = Authority::new();
    let other = Authority::new();
    let files = other.files_trusting(&own);
    let foreign = PeerSecurity::from_settings(&Security::Tls(files)).unwrap();
    let received = greet(foreign, own.security()).await;
    assert!(matches!(received, Err(PeerSecurityError::Handshake { .. })));
}

#[test]
fn test_peer_security_open_only_on_loopback() {
    let open = PeerSecurity::open_loopback();
    assert!(
        open.check_address("127.3.2.1:7000".parse().unwrap())
            .is_ok()
    );
    let refused = open.check_address("192.0.2.1:7000".parse().unwrap());
    assert!(matches!(
        refused,
        Err(PeerSecurityError::NotLoopback { .. })
    ));
}

#[test]
fn test_peer_security_missing_file() {
    let files = TlsFiles {
        authority_file: Path::new("missing/authority.pem").to_owned(),
        certificate_file: Path::new("missing/certificate.pem").to_owned(),
        key_file: Path::new("missing/key.pem").to_owned(),
    };
    let refused = PeerSecurity::from_settings(&Security::Tls(files)).unwrap_err();
    assert!(matches!(refused, PeerSecurityError::ReadFile { .. }));
}
