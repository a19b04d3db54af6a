//! Certificates for tests.

use std::path::PathBuf;

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use snafu::ResultExt;

use crate::error::{CertificateSnafu, Result};
use crate::harness::TempDir;

/// Subject alternative name of the members' certificates.
const SERVER_NAME: &str = "acaciaring";

/// Certificate authority of a test.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// PEM file of the authority's certificate.
    pub certificate: PathBuf,
}

/// Certificate and key of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// PEM file of the certificate.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

impl Authority {
    /// Creates an authority and writes its certificate to `<name>.pem` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate cannot be created or written.
    pub fn new(dir: &TempDir, name: &str) -> Result<Self> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().context(CertificateSnafu)?;
        let certificate = params.self_signed(&key).context(CertificateSnafu)?;
        let path = dir.write(&format!("{name}.pem"), &certificate.pem())?;
        Ok(Self { issuer: Issuer::new(params, key), certificate: path })
    }

    /// Issues a certificate for `acaciaring` and writes `<name>.crt` and `<name>.key` to `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate cannot be created or written.
    pub fn issue(&self, dir: &TempDir, name: &str) -> Result<Identity> {
        let names = vec![SERVER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).context(CertificateSnafu)?;
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().context(CertificateSnafu)?;
        let certificate = params.signed_by(&key, &self.issuer).context(CertificateSnafu)?;
        Ok(Identity {
            certificate: dir.write(&format!("{name}.crt"), &certificate.pem())?,
            key: dir.write(&format!("{name}.key"), &key.serialize_pem())?,
        })
    }
}
