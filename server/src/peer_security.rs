//! Mutual authentication between the processes of the system, and of operators.
//!
//! Without it, anyone who can reach a port could submit a manifest, take over a session or
//! forward requests under another origin. The only sign would be records in the audit
//! trail that no operator has caused. With mutual TLS, the handshake fails for a peer
//! without a certificate of the deployment's certificate authority.

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::settings::Security;
use heatherring_lib::settings::TlsFiles;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::RootCertStore;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::CertificateDer;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tonic::transport::Certificate;
use tonic::transport::ClientTlsConfig;
use tonic::transport::Endpoint;
use tonic::transport::Identity;
use tonic::transport::Server;
use tonic::transport::ServerTlsConfig;

/// DNS name in the certificates of all processes. A process is identified by its address;
/// the certificate only proves that it belongs to the deployment.
pub const CERTIFICATE_NAME: &str = "heatherring";

/// Timeout of a TLS handshake. It limits how long a silent peer can occupy a socket.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// ALPN protocol name of HTTP/2.
const ALPN_H2: &[u8] = b"h2";

/// Reasons for which TLS can't be set up, an address is rejected or a handshake failed.
#[derive(Debug, Snafu)]
pub enum PeerSecurityError {
    /// A file named in the settings can't be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file contains no valid PEM section of the expected kind.
    #[snafu(display("{} contains no valid {expected} in PEM format: {source}", path.display()))]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// Kind of section that was expected.
        expected: &'static str,
        /// Error of the PEM parser.
        source: rustls::pki_types::pem::Error,
    },
    /// The file of the certificate authority contains no usable certificate.
    #[snafu(display("{} contains no usable certificate", path.display()))]
    NoAuthority {
        /// Path of the file.
        path: PathBuf,
    },
    /// The certificate and the key don't match, or the TLS library rejects them.
    #[snafu(display("the TLS certificate and key cannot be used: {source}"))]
    Identity {
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The certificates of the authority can't be used to verify peers.
    #[snafu(display("the certificate authority cannot be used to verify peers: {source}"))]
    Verifier {
        /// Error of the TLS library.
        source: rustls::server::VerifierBuilderError,
    },
    /// The gRPC library rejects the TLS settings.
    #[snafu(display("gRPC over TLS cannot be set up: {source}"))]
    Grpc {
        /// Error of the gRPC library.
        source: tonic::transport::Error,
    },
    /// No gRPC endpoint can be created for an address.
    #[snafu(display("cannot create an endpoint for {address}: {source}"))]
    EndpointAddress {
        /// The rejected address.
        address: SocketAddr,
        /// Error of the gRPC library.
        source: tonic::transport::Error,
    },
    /// The peer presented no valid certificate or closed the connection.
    #[snafu(display("TLS handshake failed: {source}"))]
    Handshake {
        /// Error of the TLS library or the operating system.
        source: io::Error,
    },
    /// The peer did not complete the handshake in time.
    #[snafu(display("TLS handshake took longer than {} s", HANDSHAKE_TIMEOUT.as_secs()))]
    HandshakeTimeout,
    /// The settings turn TLS off for loopback addresses only, and the address is not a
    /// loopback address.
    #[snafu(display("{address} is no loopback address; security open_loopback allows only those"))]
    NotLoopback {
        /// The rejected address.
        address: SocketAddr,
    },
}

/// A byte stream to or from a peer, with or without TLS.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Security of the connections between the processes of the system, for both ends.
#[derive(Clone)]
pub struct PeerSecurity {
    mode: Mode,
}

#[derive(Clone)]
enum Mode {
    OpenLoopback,
    OpenNetwork,
    Tls(Box<TlsIdentity>),
}

#[derive(Clone)]
struct TlsIdentity {
    grpc_client: ClientTlsConfig,
    grpc_server: ServerTlsConfig,
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

impl fmt::Debug for PeerSecurity {
    // A derived implementation would write the private key to logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.mode {
            Mode::OpenLoopback => "PeerSecurity(OpenLoopback)",
            Mode::OpenNetwork => "PeerSecurity(OpenNetwork)",
            Mode::Tls(_) => "PeerSecurity(Tls)",
        })
    }
}

impl PeerSecurity {
    /// Reads the certificates and the key that the settings name.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or its content can't be used.
    pub fn from_settings(security: &Security) -> Result<Self, PeerSecurityError> {
        let mode = match security {
            Security::OpenLoopback => Mode::OpenLoopback,
            Security::OpenNetwork => Mode::OpenNetwork,
            Security::Tls(files) => Mode::Tls(Box::new(TlsIdentity::read(files)?)),
        };
        Ok(Self { mode })
    }

    /// Returns a configuration without TLS that allows loopback addresses only.
    #[must_use]
    pub const fn open_loopback() -> Self {
        Self {
            mode: Mode::OpenLoopback,
        }
    }

    /// Checks that the settings allow listening on or connecting to an address.
    ///
    /// # Errors
    ///
    /// Fails if TLS is turned off for loopback addresses only and the address isn't one.
    pub fn check_address(&self, address: SocketAddr) -> Result<(), PeerSecurityError> {
        match self.mode {
            Mode::OpenLoopback if !address.ip().is_loopback() => {
                NotLoopbackSnafu { address }.fail()
            }
            Mode::OpenLoopback | Mode::OpenNetwork | Mode::Tls(_) => Ok(()),
        }
    }

    /// Returns the endpoint of a peer's gRPC server, without connecting to it.
    ///
    /// # Errors
    ///
    /// Fails if the address isn't allowed or the gRPC library rejects the settings.
    pub fn endpoint(&self, address: SocketAddr) -> Result<Endpoint, PeerSecurityError> {
        self.check_address(address)?;
        match &self.mode {
            Mode::OpenLoopback | Mode::OpenNetwork => {
                Endpoint::from_shared(format!("http://{address}"))
                    .context(EndpointAddressSnafu { address })
            }
            Mode::Tls(identity) => Endpoint::from_shared(format!("https://{address}"))
                .context(EndpointAddressSnafu { address })?
                .tls_config(identity.grpc_client.clone())
                .context(GrpcSnafu),
        }
    }

    /// Returns a builder of a gRPC server. With TLS, the server accepts only peers that have
    /// a certificate of the deployment's authority.
    ///
    /// # Errors
    ///
    /// Fails if the gRPC library rejects the settings.
    pub fn grpc_server(&self) -> Result<Server, PeerSecurityError> {
        match &self.mode {
            Mode::OpenLoopback | Mode::OpenNetwork => Ok(Server::builder()),
            Mode::Tls(identity) => Server::builder()
                .tls_config(identity.grpc_server.clone())
                .context(GrpcSnafu),
        }
    }

    /// Performs the TLS handshake, which authenticates both ends, on a connection that this
    /// process has opened. Returns the stream unchanged if TLS is off.
    ///
    /// # Errors
    ///
    /// Fails if the peer has no valid certificate, closes the connection or doesn't complete
    /// the handshake in time.
    ///
    /// # Panics
    ///
    /// Never: [`CERTIFICATE_NAME`] is a valid DNS name.
    pub async fn connect(
        &self,
        stream: TcpStream,
    ) -> Result<Box<dyn PeerStream>, PeerSecurityError> {
        let Mode::Tls(identity) = &self.mode else {
            return Ok(Box::new(stream));
        };
        let name = ServerName::try_from(CERTIFICATE_NAME)
            .expect("the certificate name is a valid DNS name");
        let handshake = identity.connector.connect(name, stream);
        let stream = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .ok()
            .context(HandshakeTimeoutSnafu)?
            .context(HandshakeSnafu)?;
        Ok(Box::new(stream))
    }

    /// Performs the TLS handshake, which authenticates both ends, on a connection that a
    /// peer has opened. Returns the stream unchanged if TLS is off.
    ///
    /// # Errors
    ///
    /// Fails if the peer has no valid certificate, closes the connection or doesn't complete
    /// the handshake in time.
    pub async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<Box<dyn PeerStream>, PeerSecurityError> {
        let Mode::Tls(identity) = &self.mode else {
            return Ok(Box::new(stream));
        };
        let stream = tokio::time::timeout(HANDSHAKE_TIMEOUT, identity.acceptor.accept(stream))
            .await
            .ok()
            .context(HandshakeTimeoutSnafu)?
            .context(HandshakeSnafu)?;
        Ok(Box::new(stream))
    }
}

impl TlsIdentity {
    fn read(files: &TlsFiles) -> Result<Self, PeerSecurityError> {
        let authority_pem = read_file(&files.authority_file)?;
        let certificate_pem = read_file(&files.certificate_file)?;
        let key_pem = read_file(&files.key_file)?;
        let identity = Identity::from_pem(&certificate_pem, &key_pem);
        let authority = Certificate::from_pem(&authority_pem);

        let roots = Arc::new(read_roots(&files.authority_file, &authority_pem)?);
        let chain = read_certificates(&files.certificate_file, &certificate_pem)?;
        let key = PrivateKeyDer::from_pem_slice(&key_pem).context(PemSnafu {
            path: &files.key_file,
            expected: "private key",
        })?;
        Ok(Self {
            grpc_client: ClientTlsConfig::new()
                .domain_name(CERTIFICATE_NAME)
                .ca_certificate(authority.clone())
                .identity(identity.clone()),
            grpc_server: ServerTlsConfig::new()
                .identity(identity)
                .client_ca_root(authority),
            connector: TlsConnector::from(client_config(&roots, &chain, &key)?),
            acceptor: TlsAcceptor::from(server_config(roots, chain, key)?),
        })
    }
}

fn client_config(
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<Arc<ClientConfig>, PeerSecurityError> {
    let mut config = ClientConfig::builder()
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key.clone_key())
        .context(IdentitySnafu)?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(Arc::new(config))
}

fn server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ServerConfig>, PeerSecurityError> {
    let verifier = WebPkiClientVerifier::builder(roots)
        .build()
        .context(VerifierSnafu)?;
    let mut config = ServerConfig::builder()
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .context(IdentitySnafu)?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(Arc::new(config))
}

fn read_file(path: &Path) -> Result<Vec<u8>, PeerSecurityError> {
    fs::read(path).context(ReadFileSnafu { path })
}

fn read_certificates(
    path: &Path,
    pem: &[u8],
) -> Result<Vec<CertificateDer<'static>>, PeerSecurityError> {
    CertificateDer::pem_slice_iter(pem)
        .collect::<Result<_, _>>()
        .context(PemSnafu {
            path,
            expected: "certificate",
        })
}

fn read_roots(path: &Path, pem: &[u8]) -> Result<RootCertStore, PeerSecurityError> {
    let mut roots = RootCertStore::empty();
    let (added, _) = roots.add_parsable_certificates(read_certificates(path, pem)?);
    snafu::ensure!(added > 0, NoAuthoritySnafu { path });
    Ok(roots)
}
