//! Mutual TLS between hosts.

use std::{fs, path};

use tonic::transport;

use super::Error;
use crate::settings;

/// Certificate, key and authority, as read from the files that the settings name.
///
/// The certificate of a host carries the names of the deployment and of the host as DNS names, so
/// that a host of another deployment is refused even under a common authority, and no host can
/// speak for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authority: Vec<u8>,
}

impl Identity {
    /// Reads the files.
    pub fn read(tls: &settings::Tls) -> Result<Identity, Error> {
        Ok(Identity {
            certificate: read(&tls.certificate)?,
            key: read(&tls.key)?,
            authority: read(&tls.authority)?,
        })
    }

    /// Settings for accepted connections: the other side must show a certificate.
    pub fn server(&self) -> transport::ServerTlsConfig {
        transport::ServerTlsConfig::new()
            .identity(transport::Identity::from_pem(&self.certificate, &self.key))
            .client_ca_root(transport::Certificate::from_pem(&self.authority))
    }

    /// Settings for connections to hosts of a deployment.
    pub fn client(&self, deployment: &str) -> transport::ClientTlsConfig {
        transport::ClientTlsConfig::new()
            .identity(transport::Identity::from_pem(&self.certificate, &self.key))
            .ca_certificate(transport::Certificate::from_pem(&self.authority))
            .domain_name(deployment)
    }
}

/// Whether a certificate, DER, was issued for all of these names.
pub(super) fn is_issued_for(certificate: &[u8], names: &[&str]) -> bool {
    let der = rustls_pki_types::CertificateDer::from(certificate);
    let Ok(cert) = webpki::EndEntityCert::try_from(&der) else {
        return false;
    };
    names.iter().all(|name| {
        rustls_pki_types::ServerName::try_from(*name)
            .is_ok_and(|name| cert.verify_is_valid_for_subject_name(&name).is_ok())
    })
}

fn read(path: &path::Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|e| Error::Tls {
        path: path.display().to_string(),
        message: e.to_string(),
    })
}
