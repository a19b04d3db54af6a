//! Mutual TLS: the certificates of both ends are issued by the same CA, or are self-signed and
//! listed in the log.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::{CryptoProvider, ring};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::version::TLS13;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use snafu::{ResultExt, ensure};

use crate::peer::error::{
    AuthoritySnafu, CertificateSnafu, NoCertificateSnafu, PeerError, ReadPemSnafu,
};
use crate::peer::settings::PeerSettings;
use crate::peer::trust::{self, DigestVerifier, Fingerprint, Trusted};
use crate::peer::window::BoundedConfig;

/// Name in every member's certificate.
pub(super) const SERVER_NAME: &str = "acaciaring";

/// Protocol negotiated by ALPN in the handshake.
const ALPN: &[u8] = b"acaciaring/1";

/// Time without a packet after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 20_000;

/// Concurrent streams that a peer may open on one connection.
///
/// The QUIC library reserves memory for each of them on every connection.
const MAX_BIDI_STREAMS: u32 = 256;

/// Streams that a peer may open for greetings.
const MAX_UNI_STREAMS: u32 = 1;

/// Round trip time assumed before the first measurement, for members a few milliseconds apart.
const INITIAL_RTT: Duration = Duration::from_millis(10);

/// Bytes that a connection buffers ahead of its readers.
const RECEIVE_WINDOW_BYTES: u32 = 16 << 20;

/// TLS and QUIC configurations of both ends of a connection.
pub(super) struct Configs {
    /// Digest of the self-signed certificate of this process, `None` if a CA is used.
    pub fingerprint: Option<Fingerprint>,
    /// Self-signed certificates of other members that are accepted.
    pub trusted: Arc<Trusted>,
    /// For connections that peers open.
    pub server: ServerConfig,
    /// For connections that this process opens.
    pub client: ClientConfig,
}

/// Creates the configurations of both ends, from the files of the settings or with a new
/// self-signed certificate.
pub(super) fn configs(settings: &PeerSettings) -> Result<Configs, PeerError> {
    let provider = Arc::new(ring::default_provider());
    let trusted = Arc::new(Trusted::default());
    let own = settings.authority.as_os_str().is_empty();
    let credentials =
        if own { self_signed(&provider, &trusted)? } else { from_files(settings, &provider)? };
    let fingerprint = credentials.chain.first().filter(|_| own).map(trust::fingerprint);
    let transport = Arc::new(transport(settings.link_rate));
    let mut server = server(settings, &provider, &credentials)?;
    server.transport_config(Arc::clone(&transport));
    let mut client = client(settings, provider, credentials)?;
    client.transport_config(transport);
    Ok(Configs { fingerprint, trusted, server, client })
}

/// Certificate and key of this process, and the verifiers of its peers.
struct Credentials {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    clients: Arc<dyn ClientCertVerifier>,
    servers: Arc<dyn ServerCertVerifier>,
}

fn from_files(
    settings: &PeerSettings,
    provider: &Arc<CryptoProvider>,
) -> Result<Credentials, PeerError> {
    let roots = Arc::new(authority(&settings.authority)?);
    let clients =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(provider))
            .build()
            .map_err(|error| unsupported(&error))?;
    let servers = WebPkiServerVerifier::builder_with_provider(roots, Arc::clone(provider))
        .build()
        .map_err(|error| unsupported(&error))?;
    let (chain, key) = identity(settings)?;
    Ok(Credentials { chain, key, clients, servers })
}

fn self_signed(
    provider: &Arc<CryptoProvider>,
    trusted: &Arc<Trusted>,
) -> Result<Credentials, PeerError> {
    let names = vec![SERVER_NAME.to_owned()];
    let own = rcgen::generate_simple_self_signed(names).map_err(|error| unsupported(&error))?;
    let key = PrivatePkcs8KeyDer::from(own.signing_key.serialize_der());
    let verifier =
        Arc::new(DigestVerifier { trusted: Arc::clone(trusted), provider: Arc::clone(provider) });
    Ok(Credentials {
        chain: vec![own.cert.der().clone()],
        key: key.into(),
        clients: Arc::clone(&verifier) as _,
        servers: verifier,
    })
}

fn server(
    settings: &PeerSettings,
    provider: &Arc<CryptoProvider>,
    credentials: &Credentials,
) -> Result<ServerConfig, PeerError> {
    let mut tls = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| unsupported(&error))?
        .with_client_cert_verifier(Arc::clone(&credentials.clients))
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .context(CertificateSnafu { path: &settings.certificate })?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let tls = QuicServerConfig::try_from(tls).map_err(|error| unsupported(&error))?;
    Ok(ServerConfig::with_crypto(Arc::new(tls)))
}

fn client(
    settings: &PeerSettings,
    provider: Arc<CryptoProvider>,
    credentials: Credentials,
) -> Result<ClientConfig, PeerError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| unsupported(&error))?
        .dangerous()
        .with_custom_certificate_verifier(credentials.servers)
        .with_client_auth_cert(credentials.chain, credentials.key)
        .context(CertificateSnafu { path: &settings.certificate })?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let tls = QuicClientConfig::try_from(tls).map_err(|error| unsupported(&error))?;
    Ok(ClientConfig::new(Arc::new(tls)))
}

/// Returns the QUIC parameters of a connection, the same at both ends.
fn transport(link_rate: u64) -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .congestion_controller_factory(Arc::new(BoundedConfig::new(link_rate)))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_BIDI_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(None)
        // MTU probes would dominate the traffic of an idle connection.
        .mtu_discovery_config(None)
        .receive_window(VarInt::from_u32(RECEIVE_WINDOW_BYTES))
        .initial_rtt(INITIAL_RTT);
    config
}

fn authority(path: &Path) -> Result<RootCertStore, PeerError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        roots.add(certificate).context(AuthoritySnafu { path })?;
    }
    Ok(roots)
}

type Identity = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

fn identity(settings: &PeerSettings) -> Result<Identity, PeerError> {
    let chain = certificates(&settings.certificate)?;
    let path = &settings.key;
    let key = PrivateKeyDer::from_pem_file(path).context(ReadPemSnafu { path })?;
    Ok((chain, key))
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .context(ReadPemSnafu { path })?;
    ensure!(!certificates.is_empty(), NoCertificateSnafu { path });
    Ok(certificates)
}

fn unsupported(error: &impl ToString) -> PeerError {
    PeerError::Tls { cause: error.to_string() }
}
