//! Encoding of envelopes between processes, authenticated with the fleet key.

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::process::message::Envelope;

/// Length of the authentication code in bytes.
const CODE_LEN: usize = blake3::OUT_LEN;

/// Secret key that all processes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

/// Why an envelope could not be sealed or unsealed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SealError {
    /// The authentication code is missing or wrong.
    #[display("authentication code does not match the fleet key")]
    Forged,
    /// The authenticated bytes are not an envelope, or the envelope can't be encoded.
    #[display("not an envelope")]
    Malformed,
}

impl FleetKey {
    /// Opens a key with the given bytes.
    pub fn open(bytes: [u8; blake3::KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// Parses a key from 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Derives a secret of 32 bytes for another purpose from the key.
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.0)
    }

    /// Encodes an envelope and puts its authentication code in front.
    ///
    /// # Errors
    ///
    /// Returns [`SealError::Malformed`] if the envelope can't be encoded.
    pub fn seal(&self, envelope: &Envelope) -> Result<Vec<u8>, SealError> {
        let bytes = postcard::to_stdvec(envelope).map_err(|_| SealError::Malformed)?;
        let mut sealed = blake3::keyed_hash(&self.0, &bytes).as_bytes().to_vec();
        sealed.extend(bytes);
        Ok(sealed)
    }

    /// Checks the authentication code and decodes the envelope.
    ///
    /// # Errors
    ///
    /// Returns [`SealError::Forged`] if the code is missing or does not match, and
    /// [`SealError::Malformed`] if the authenticated bytes are not an envelope.
    pub fn unseal(&self, sealed: &[u8]) -> Result<Envelope, SealError> {
        let (code, bytes) = sealed.split_at_checked(CODE_LEN).ok_or(SealError::Forged)?;
        let code = blake3::Hash::from_slice(code).map_err(|_| SealError::Forged)?;
        // `blake3::Hash` compares in constant time, so that the time taken reveals nothing
        // about the right code.
        if blake3::keyed_hash(&self.0, bytes) != code {
            return Err(SealError::Forged);
        }
        postcard::from_bytes(bytes).map_err(|_| SealError::Malformed)
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
