//! Mutual TLS between entries: a certificate authority for the cell, a certificate and a private
//! key for each entry.

use crate::id::Name;
use crate::settings::Keys;
use crate::wire::msg::OLDEST_VERSION;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, Certificate, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use std::sync::Arc;
use thiserror::Error;

/// The part of the ALPN protocol name that precedes the protocol version.
const ALPN_PREFIX: &str = "sprucerudder/";

/// An error in creating, parsing or using keys and certificates.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A key or certificate could not be created or loaded.
    #[error("cannot create or load keys: {0}")]
    Make(#[from] rcgen::Error),
    /// The PEM text cannot be parsed.
    #[error("cannot parse PEM: {0}")]
    Pem(String),
    /// TLS rejects the keys, for instance because they do not belong together.
    #[error("cannot configure TLS with the keys: {0}")]
    Use(String),
}

/// The certificate authority of a cell, which issues the certificates of its entries.
pub struct Authority {
    cert: Certificate,
    key_pair: KeyPair,
    pem: String,
}

impl Authority {
    /// Creates an authority with a new key for a cell.
    ///
    /// # Errors
    /// If the key or the certificate cannot be created.
    pub fn new(cell: &str) -> Result<Self, KeyError> {
        let key_pair = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(DnType::CommonName, cell);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let cert = params.self_signed(&key_pair)?;
        let pem = cert.pem();
        Ok(Self { cert, key_pair, pem })
    }

    /// Loads an authority from its certificate and private key, both as PEM.
    ///
    /// # Errors
    /// If the texts are not a certificate and its private key.
    pub fn load(pem: &str, secret: &str) -> Result<Self, KeyError> {
        let key_pair = KeyPair::from_pem(secret)?;
        let cert = CertificateParams::from_ca_cert_pem(pem)?.self_signed(&key_pair)?;
        Ok(Self { cert, key_pair, pem: pem.to_string() })
    }

    /// The authority's certificate, as PEM.
    pub fn certificate(&self) -> &str {
        &self.pem
    }

    /// The authority's private key, as PEM. Whoever has it can issue certificates that the cell
    /// accepts.
    pub fn private_key(&self) -> String {
        self.key_pair.serialize_pem()
    }

    /// Issues a certificate and a private key for the entry `name`.
    ///
    /// # Errors
    /// If the key or the certificate cannot be created.
    pub fn issue(&self, name: &str) -> Result<Keys, KeyError> {
        let key_pair = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.to_string()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let cert = params.signed_by(&key_pair, &self.cert, &self.key_pair)?;
        Ok(Keys {
            authority: self.pem.as_str().into(),
            certificate: cert.pem().into(),
            secret: key_pair.serialize_pem().into(),
        })
    }
}

/// The ALPN protocol names of all supported versions up to `newest_version`, newest first.
fn alpn_protocols(newest_version: u8) -> Vec<Vec<u8>> {
    let versions = (OLDEST_VERSION..=newest_version).rev();
    versions.map(|version| format!("{ALPN_PREFIX}{version}").into_bytes()).collect()
}

/// The protocol version in a negotiated ALPN protocol name.
pub fn version_from_alpn(protocol: &[u8]) -> Option<u8> {
    std::str::from_utf8(protocol).ok()?.strip_prefix(ALPN_PREFIX)?.parse().ok()
}

fn parse_certificates(pem: &Name) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Result<Vec<_>, _> = rustls_pemfile::certs(&mut pem.as_bytes()).collect();
    match found {
        Ok(list) if !list.is_empty() => Ok(list),
        Ok(_) => Err(KeyError::Pem("no certificate".into())),
        Err(err) => Err(KeyError::Pem(err.to_string())),
    }
}

fn parse_private_key(pem: &Name) -> Result<PrivateKeyDer<'static>, KeyError> {
    match rustls_pemfile::private_key(&mut pem.as_bytes()) {
        Ok(Some(key)) => Ok(key),
        Ok(None) => Err(KeyError::Pem("no private key".into())),
        Err(err) => Err(KeyError::Pem(err.to_string())),
    }
}

fn root_store(keys: &Keys) -> Result<Arc<RootCertStore>, KeyError> {
    let mut store = RootCertStore::empty();
    for cert in parse_certificates(&keys.authority)? {
        store.add(cert).map_err(use_error)?;
    }
    Ok(Arc::new(store))
}

fn use_error(err: impl std::fmt::Display) -> KeyError {
    KeyError::Use(err.to_string())
}

/// TLS configuration of the server, which accepts only clients with a certificate of the cell and
/// supports protocol versions up to `newest_version`.
///
/// # Errors
/// If the keys cannot be used.
pub fn server_config(keys: &Keys, newest_version: u8) -> Result<QuicServerConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = root_store(keys)?;
    let builder = WebPkiClientVerifier::builder_with_provider(roots, provider.clone());
    let verifier = builder.build().map_err(use_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(use_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(parse_certificates(&keys.certificate)?, parse_private_key(&keys.secret)?)
        .map_err(use_error)?;
    config.alpn_protocols = alpn_protocols(newest_version);
    QuicServerConfig::try_from(config).map_err(use_error)
}

/// TLS configuration of the client, which accepts only servers with a certificate of the cell for
/// their name and supports protocol versions up to `newest_version`.
///
/// # Errors
/// If the keys cannot be used.
pub fn client_config(keys: &Keys, newest_version: u8) -> Result<QuicClientConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(use_error)?
        .with_root_certificates(root_store(keys)?)
        .with_client_auth_cert(
            parse_certificates(&keys.certificate)?,
            parse_private_key(&keys.secret)?,
        )
        .map_err(use_error)?;
    config.alpn_protocols = alpn_protocols(newest_version);
    QuicClientConfig::try_from(config).map_err(use_error)
}
