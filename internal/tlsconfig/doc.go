// Package tlsconfig provides TLS configurations for listeners and clients, with certificates from files. It reloads the
// files when they change, without a restart. If the new files are invalid, the previous certificate stays in use. The
// package also reports when the certificate expires. If a certificate authority is configured, a listener requires
// clients to present a certificate of that authority. A client always requires the server's certificate to be signed by
// its authority.
//
// The methods of CertificateSource, and the configurations that it returns, are safe for concurrent use.
package tlsconfig
