// Package standin provides test doubles for the systems around the load balancer:
// the platform's key-value service, targets, a certificate authority and network
// links. They speak the published protocols and can inject faults.
package standin
