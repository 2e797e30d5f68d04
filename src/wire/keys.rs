//! Keys between entries: a certificate authority for the cell, a certificate for each entry.

use crate::id::Name;
use crate::settings::Keys;
use crate::wire::msg::OLDEST;
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
const PROTOCOL: &str = "sprucerudder/";

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
    pair: KeyPair,
    pem: String,
}

impl Authority {
    /// A new authority for a cell.
    ///
    /// # Errors
    /// If keys cannot be made.
    pub fn new(cell: &str) -> Result<Self, KeyError> {
        let pair = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(DnType::CommonName, cell);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let cert = params.self_signed(&pair)?;
        let pem = cert.pem();
        Ok(Self { cert, pair, pem })
    }

    /// An authority made earlier, from its certificate and private key.
    ///
    /// # Errors
    /// If the texts are not a certificate and its key.
    pub fn load(pem: &str, secret: &str) -> Result<Self, KeyError> {
        let pair = KeyPair::from_pem(secret)?;
        let cert = CertificateParams::from_ca_cert_pem(pem)?.self_signed(&pair)?;
        Ok(Self { cert, pair, pem: pem.to_string() })
    }

    /// The certificate, as PEM.
    pub fn certificate(&self) -> &str {
        &self.pem
    }

    /// The private key, as PEM: whoever has it can make entries of the cell.
    pub fn secret(&self) -> String {
        self.pair.serialize_pem()
    }

    /// Keys for the entry `name`.
    ///
    /// # Errors
    /// If keys cannot be made.
    pub fn issue(&self, name: &str) -> Result<Keys, KeyError> {
        let pair = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.to_string()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let cert = params.signed_by(&pair, &self.cert, &self.pair)?;
        Ok(Keys {
            authority: self.pem.as_str().into(),
            certificate: cert.pem().into(),
            secret: pair.serialize_pem().into(),
        })
    }
}

/// The names of all versions up to `newest` for the handshake, best first.
fn protocols(newest: u8) -> Vec<Vec<u8>> {
    let versions = (OLDEST..=newest).rev();
    versions.map(|version| format!("{PROTOCOL}{version}").into_bytes()).collect()
}

/// The version that a handshake agreed on.
pub fn version(protocol: &[u8]) -> Option<u8> {
    std::str::from_utf8(protocol).ok()?.strip_prefix(PROTOCOL)?.parse().ok()
}

fn certs(pem: &Name) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Result<Vec<_>, _> = rustls_pemfile::certs(&mut pem.as_bytes()).collect();
    match found {
        Ok(list) if !list.is_empty() => Ok(list),
        Ok(_) => Err(KeyError::Pem("no certificate".into())),
        Err(err) => Err(KeyError::Pem(err.to_string())),
    }
}

fn secret(pem: &Name) -> Result<PrivateKeyDer<'static>, KeyError> {
    match rustls_pemfile::private_key(&mut pem.as_bytes()) {
        Ok(Some(key)) => Ok(key),
        Ok(None) => Err(KeyError::Pem("no private key".into())),
        Err(err) => Err(KeyError::Pem(err.to_string())),
    }
}

fn roots(keys: &Keys) -> Result<Arc<RootCertStore>, KeyError> {
    let mut store = RootCertStore::empty();
    for cert in certs(&keys.authority)? {
        store.add(cert).map_err(used)?;
    }
    Ok(Arc::new(store))
}

fn used(err: impl std::fmt::Display) -> KeyError {
    KeyError::Use(err.to_string())
}

/// The server's side: only clients with a certificate of the cell are let in. Versions of messages
/// up to `newest` are spoken.
///
/// # Errors
/// If the keys cannot be used.
pub fn server(keys: &Keys, newest: u8) -> Result<QuicServerConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = roots(keys)?;
    let builder = WebPkiClientVerifier::builder_with_provider(roots, provider.clone());
    let verifier = builder.build().map_err(used)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(used)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certs(&keys.certificate)?, secret(&keys.secret)?)
        .map_err(used)?;
    config.alpn_protocols = protocols(newest);
    QuicServerConfig::try_from(config).map_err(used)
}

/// The client's side: only servers with a certificate of the cell for their name are used. Versions
/// of messages up to `newest` are spoken.
///
/// # Errors
/// If the keys cannot be used.
pub fn client(keys: &Keys, newest: u8) -> Result<QuicClientConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(used)?
        .with_root_certificates(roots(keys)?)
        .with_client_auth_cert(certs(&keys.certificate)?, secret(&keys.secret)?)
        .map_err(used)?;
    config.alpn_protocols = protocols(newest);
    QuicClientConfig::try_from(config).map_err(used)
}
