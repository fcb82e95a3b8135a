// Package gateway proves over real sockets what gateways promise, against
// stand-ins of the platform's store and upstreams.
package gateway

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}
