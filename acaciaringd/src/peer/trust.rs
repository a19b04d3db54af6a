//! Trust in the self-signed certificates of members by their digests.
//!
//! A member publishes the digest of its certificate in the log, and peers accept exactly the
//! digests of live members. This needs no files and no shared secret, and an evicted member is
//! refused at the handshake.

use std::collections::HashSet;
use std::fmt::{self, Debug, Formatter};
use std::sync::{Arc, OnceLock};

use parking_lot::RwLock;
use ring::digest::{SHA256, digest};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls13_signature};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, PeerIncompatible,
    SignatureScheme,
};
use rustls_pki_types::{CertificateDer, ServerName, UnixTime};

/// Length of a digest in bytes.
const DIGEST: usize = 32;

/// SHA-256 of a certificate.
pub(super) type Fingerprint = [u8; DIGEST];

/// Returns the digest of a certificate.
pub(super) fn fingerprint(certificate: &CertificateDer<'_>) -> Fingerprint {
    let mut bytes = [0; DIGEST];
    bytes.copy_from_slice(digest(&SHA256, certificate).as_ref());
    bytes
}

/// Called when a certificate is not accepted.
type UntrustedCallback = Box<dyn Fn() + Send + Sync>;

/// Digests of the accepted certificates.
#[derive(Default)]
pub(super) struct Trusted {
    fingerprints: RwLock<HashSet<Fingerprint>>,
    callback: OnceLock<UntrustedCallback>,
}

impl Debug for Trusted {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("Trusted")
            .field("fingerprints", &self.fingerprints)
            .finish_non_exhaustive()
    }
}

impl Trusted {
    /// Replaces the accepted digests; entries of another length are ignored.
    pub(super) fn set<'a>(&self, fingerprints: impl Iterator<Item = &'a [u8]>) {
        let fingerprints =
            fingerprints.filter_map(|bytes| Fingerprint::try_from(bytes).ok()).collect();
        *self.fingerprints.write() = fingerprints;
    }

    /// Sets the callback for a certificate that is not accepted; only the first call counts.
    ///
    /// Such a certificate may belong to a member whose log record was not read yet.
    pub(super) fn on_untrusted(&self, callback: UntrustedCallback) {
        let _ = self.callback.set(callback);
    }

    fn check(&self, certificate: &CertificateDer<'_>) -> Result<(), Error> {
        if self.fingerprints.read().contains(&fingerprint(certificate)) {
            return Ok(());
        }
        if let Some(callback) = self.callback.get() {
            callback();
        }
        Err(Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }
}

/// Verifies certificates by their digests, at both ends of a connection.
pub(super) struct DigestVerifier {
    pub(super) trusted: Arc<Trusted>,
    pub(super) provider: Arc<CryptoProvider>,
}

impl Debug for DigestVerifier {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("DigestVerifier").field("trusted", &self.trusted).finish_non_exhaustive()
    }
}

impl DigestVerifier {
    fn verify(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

/// Rejects TLS 1.2, which QUIC does not use.
fn reject_tls12() -> Result<HandshakeSignatureValid, Error> {
    Err(Error::PeerIncompatible(PeerIncompatible::Tls12NotOffered))
}

impl ServerCertVerifier for DigestVerifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _name: &ServerName<'_>,
        _response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.trusted.check(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.verify(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for DigestVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.trusted.check(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.verify(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

#[cfg(test)]
mod tests;
