package gateway_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store/gateway"
	"github.com/poppywall/poppywall/store/storetest"
)

// TestContract runs the contract over the etcd version 3 JSON protocol.
func TestContract(t *testing.T) {
	s := standin.NewStore(time.Now)
	server := httptest.NewServer(standin.Gateway(s))
	defer server.Close()
	storetest.Run(t, gateway.NewClient(server.URL, time.Second), s)
}
