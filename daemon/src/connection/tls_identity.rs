//! The TLS identity that processes of one fleet present to each other.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_wire::seal::FleetKey;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rcgen::CertificateParams;
use rcgen::KeyPair;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::server::WebPkiClientVerifier;

/// Name in the fleet's certificate.
pub const SERVER_NAME: &str = "lagoonhollow.internal";
/// Context for deriving the private key from the fleet key.
const KEY_CONTEXT: &str = "lagoonhollow 2026-12 control identity";
/// DER header of a PKCS #8 document with an Ed25519 private key (RFC 8410).
const PKCS8_ED25519: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Why the identity or a configuration with it could not be created.
#[derive(Debug, Display, Error)]
#[display("can't create the fleet's TLS identity: {_0}")]
pub struct IdentityError(#[error(not(source))] String);

/// Key and certificate that every process of a fleet derives from the fleet key.
///
/// The certificate is self-signed and the only trusted root, so both sides of a
/// connection prove that they hold the fleet key.
#[derive(Debug)]
pub struct TlsIdentity {
    cert: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl TlsIdentity {
    /// Derives the identity of the fleet from its `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate can't be generated.
    pub fn open(key: &FleetKey) -> Result<Self, IdentityError> {
        let mut der = PKCS8_ED25519.to_vec();
        der.extend(key.derive(KEY_CONTEXT));
        let key = PrivatePkcs8KeyDer::from(der);
        let key_pair = KeyPair::try_from(&key).map_err(identity_error)?;
        let params = CertificateParams::new([SERVER_NAME.to_owned()]).map_err(identity_error)?;
        let cert = params.self_signed(&key_pair).map_err(identity_error)?.der().clone();
        let mut roots = RootCertStore::empty();
        roots.add(cert.clone()).map_err(identity_error)?;
        Ok(Self { cert, key, roots: Arc::new(roots) })
    }

    /// Returns the QUIC configuration of the accepting side.
    ///
    /// # Errors
    ///
    /// Returns an error if TLS can't be set up.
    pub fn server_config(&self) -> Result<quinn::ServerConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(identity_error)?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(identity_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.cert.clone()], self.private_key())
            .map_err(identity_error)?;
        let quic = QuicServerConfig::try_from(tls).map_err(identity_error)?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(quic)))
    }

    /// Returns the QUIC configuration of the connecting side.
    ///
    /// # Errors
    ///
    /// Returns an error if TLS can't be set up.
    pub fn client_config(&self) -> Result<quinn::ClientConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(identity_error)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(vec![self.cert.clone()], self.private_key())
            .map_err(identity_error)?;
        let quic = QuicClientConfig::try_from(tls).map_err(identity_error)?;
        Ok(quinn::ClientConfig::new(Arc::new(quic)))
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}

fn identity_error(e: impl std::fmt::Display) -> IdentityError {
    IdentityError(e.to_string())
}
