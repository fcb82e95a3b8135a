package vmclient_test

import (
	"context"
	"net/http/httptest"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/vmlist"
	"github.com/currantwood/currantwood/vmclient"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Client", func() {
	It("returns the VMs in the order of the list, returns an outdated list unchanged, and names the base URL in errors", func() {
		list := vmlist.New()
		server := httptest.NewServer(list)
		DeferCleanup(server.Close)
		client := vmclient.New(vmclient.Options{BaseURL: server.URL})
		entry := currantwood.VM{ID: "entry-1", Role: currantwood.RoleEntry.String(), Region: "Kingston", Zone: "Kingston-a", Address: "127.0.0.1:1"}
		side := currantwood.VM{ID: "side-1", Role: currantwood.RoleSide.String(), Region: "Montego", Upstream: "writer-1", Group: "summary-writers", Leaving: true}
		list.Put(side)
		list.Put(entry)
		Expect(client.VMs(context.Background())).To(Equal([]currantwood.VM{entry, side}))

		list.SetFaults(vmlist.Faults{LagMS: 60_000})
		list.Delete("side-1")
		Expect(client.VMs(context.Background())).To(Equal([]currantwood.VM{entry, side}))
		list.SetFaults(vmlist.Faults{})
		Expect(client.VMs(context.Background())).To(Equal([]currantwood.VM{entry}))

		list.SetFaults(vmlist.Faults{Down: true})
		_, err := client.VMs(context.Background())
		Expect(err).To(MatchError(ContainSubstring(server.URL)))
	})
})
