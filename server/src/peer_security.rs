//! Proof of belonging between the system's processes, and of its operators.
//!
//! Without it anyone who reaches a port could submit a manifest, take a session or
//! forward requests under another origin. One would notice by records in the audit
//! trail that no operator made. With TLS on both ends a peer without a certificate of
//! the deployment's authority gets no further than the handshake.

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

/// The DNS name that every process's certificate is made out to. Which process
/// answers is settled by its address; the certificate proves the deployment.
pub const CERTIFICATE_NAME: &str = "heatherring";

/// Bound on a TLS handshake, so that a silent peer holds a socket only this long.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Protocol name of HTTP/2 in the TLS handshake.
const ALPN_H2: &[u8] = b"h2";

/// Tells why security can't be set up or a handshake failed.
#[derive(Debug, Snafu)]
pub enum PeerSecurityError {
    /// A file of the settings can't be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds no PEM of the kind expected.
    #[snafu(display("{} holds no usable {expected} in PEM: {source}", path.display()))]
    Pem {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        expected: &'static str,
        /// What the parser said.
        source: rustls::pki_types::pem::Error,
    },
    /// The authority file holds no certificate.
    #[snafu(display("{} holds no certificate", path.display()))]
    NoAuthority {
        /// The file.
        path: PathBuf,
    },
    /// The certificate and the key don't fit together, or the library refuses them.
    #[snafu(display("the TLS identity can't be used: {source}"))]
    Identity {
        /// What the library said.
        source: rustls::Error,
    },
    /// The authority can't be used to verify peers.
    #[snafu(display("the authority can't verify peers: {source}"))]
    Verifier {
        /// What the library said.
        source: rustls::server::VerifierBuilderError,
    },
    /// The gRPC library refuses the TLS settings.
    #[snafu(display("gRPC over TLS can't be set up: {source}"))]
    Grpc {
        /// What the library said.
        source: tonic::transport::Error,
    },
    /// An address makes no endpoint.
    #[snafu(display("{address} makes no endpoint: {source}"))]
    EndpointAddress {
        /// The address.
        address: SocketAddr,
        /// What the library said.
        source: tonic::transport::Error,
    },
    /// The peer proved nothing, or broke off.
    #[snafu(display("TLS handshake failed: {source}"))]
    Handshake {
        /// What the library said.
        source: io::Error,
    },
    /// The peer was silent.
    #[snafu(display("TLS handshake took longer than {} s", HANDSHAKE_TIMEOUT.as_secs()))]
    HandshakeTimeout,
    /// Open protocols were asked for on an address that others can reach.
    #[snafu(display("{address} is no loopback address; security open_loopback allows only those"))]
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
}

/// A byte stream, in the clear or under TLS.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Sets up both ends of the connections between the system's processes.
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
    // Keys must not reach a log through a derived implementation.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.mode {
            Mode::OpenLoopback => "PeerSecurity(OpenLoopback)",
            Mode::OpenNetwork => "PeerSecurity(OpenNetwork)",
            Mode::Tls(_) => "PeerSecurity(Tls)",
        })
    }
}

impl PeerSecurity {
    /// Reads what the settings name.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or used.
    pub fn from_settings(security: &Security) -> Result<Self, PeerSecurityError> {
        let mode = match security {
            Security::OpenLoopback => Mode::OpenLoopback,
            Security::OpenNetwork => Mode::OpenNetwork,
            Security::Tls(files) => Mode::Tls(Box::new(TlsIdentity::read(files)?)),
        };
        Ok(Self { mode })
    }

    /// Returns open protocols, for processes that live on loopback only.
    #[must_use]
    pub const fn open_loopback() -> Self {
        Self {
            mode: Mode::OpenLoopback,
        }
    }

    /// Checks that an address may be listened on or connected to.
    ///
    /// # Errors
    ///
    /// Fails if the protocols are open and the address isn't a loopback address.
    pub fn check_address(&self, address: SocketAddr) -> Result<(), PeerSecurityError> {
        match self.mode {
            Mode::OpenLoopback if !address.ip().is_loopback() => {
                NotLoopbackSnafu { address }.fail()
            }
            Mode::OpenLoopback | Mode::OpenNetwork | Mode::Tls(_) => Ok(()),
        }
    }

    /// Returns the endpoint of a peer's gRPC server; connecting is up to the caller.
    ///
    /// # Errors
    ///
    /// Fails if the address isn't allowed or the library refuses the settings.
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

    /// Returns a gRPC server that takes only peers of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if the library refuses the settings.
    pub fn grpc_server(&self) -> Result<Server, PeerSecurityError> {
        match &self.mode {
            Mode::OpenLoopback | Mode::OpenNetwork => Ok(Server::builder()),
            Mode::Tls(identity) => Server::builder()
                .tls_config(identity.grpc_server.clone())
                .context(GrpcSnafu),
        }
    }

    /// Proves both ends of a connection that this process opened.
    ///
    /// # Errors
    ///
    /// Fails if the peer isn't of the deployment, breaks off or is silent.
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

    /// Proves both ends of a connection that a peer opened.
    ///
    /// # Errors
    ///
    /// Fails if the peer isn't of the deployment, breaks off or is silent.
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
