//! Keys between entries: a certificate authority for the cell, a certificate for each entry.

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

/// The protocol's name in the handshake, before the version.
const ALPN_PREFIX: &str = "sprucerudder/";

/// Keys that cannot be made or used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// Making them failed.
    #[error("cannot make keys: {0}")]
    Make(#[from] rcgen::Error),
    /// The PEM text cannot be read.
    #[error("cannot read PEM: {0}")]
    Pem(String),
    /// They do not fit together.
    #[error("cannot use keys: {0}")]
    Use(String),
}

/// A certificate authority.
pub struct Authority {
    cert: Certificate,
    key_pair: KeyPair,
    pem: String,
}

impl Authority {
    /// A new authority for a cell.
    ///
    /// # Errors
    /// If keys cannot be made.
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

    /// An authority made earlier, from its certificate and private key.
    ///
    /// # Errors
    /// If the texts are not a certificate and its key.
    pub fn load(pem: &str, secret: &str) -> Result<Self, KeyError> {
        let key_pair = KeyPair::from_pem(secret)?;
        let cert = CertificateParams::from_ca_cert_pem(pem)?.self_signed(&key_pair)?;
        Ok(Self { cert, key_pair, pem: pem.to_string() })
    }

    /// The certificate, as PEM.
    pub fn certificate(&self) -> &str {
        &self.pem
    }

    /// The private key, as PEM: whoever has it can make entries of the cell.
    pub fn private_key(&self) -> String {
        self.key_pair.serialize_pem()
    }

    /// Keys for the entry `name`.
    ///
    /// # Errors
    /// If keys cannot be made.
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

/// The names of all versions up to `newest_version` for the handshake, best first.
fn alpn_protocols(newest_version: u8) -> Vec<Vec<u8>> {
    let versions = (OLDEST_VERSION..=newest_version).rev();
    versions.map(|version| format!("{ALPN_PREFIX}{version}").into_bytes()).collect()
}

/// The version that a handshake agreed on.
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

/// The server's side: only clients with a certificate of the cell are let in. Versions of messages
/// up to `newest_version` are spoken.
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

/// The client's side: only servers with a certificate of the cell for their name are used. Versions
/// of messages up to `newest_version` are spoken.
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
