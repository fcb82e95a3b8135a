package entrystarter

import (
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/linkkeeper"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/subsetter"
	"github.com/currantwood/currantwood/wire"
)

func (e *Entry) linkOptions(dialed bool) linker.Options {
	return linker.Options{
		Dialed:            dialed,
		Hello:             e.hello,
		HeartbeatInterval: e.settings.Links.Heartbeat.AsDuration(),
		SilenceTimeout:    e.settings.Links.Silence.AsDuration(),
		OnFrame:           e.distributor.Frame,
		OnClosed:          e.distributor.Down,
	}
}

// acceptLinks accepts links from other processes until the listener is closed.
func (e *Entry) acceptLinks() {
	for {
		conn, err := e.linkListener.Accept()
		if err != nil {
			return
		}
		go func() {
			link, err := linker.New(conn, e.linkOptions(false))
			if err != nil {
				e.logger.Warn("failed to open a link", zap.Error(err))
				return
			}
			e.distributor.Up(link)
		}()
	}
}

func (e *Entry) newLinkKeeper() *linkkeeper.Keeper {
	return linkkeeper.New(linkkeeper.Options{
		Self: currantwood.VM{
			ID:     currantwood.VMID(e.settings.VM),
			Role:   currantwood.RoleEntry.String(),
			Region: currantwood.RegionID(e.settings.Region),
			Zone:   currantwood.ZoneID(e.settings.Zone),
		},
		VMs:          e.vmList,
		PollInterval: e.settings.Platform.VMListInterval.AsDuration(),
		Subset: subsetter.Options{
			SidesPerGroup:  e.settings.Entry.SidesPerGroup,
			SidesElsewhere: e.settings.Entry.SidesElsewhere,
			WholeGroup:     e.settings.Entry.WholeGroup,
		},
		SetAddresses: func(addresses []string) { e.dialer.SetAddresses(addresses) },
		HasInFlight:  e.tracker.HasInFlight,
		OnLeaving:    e.tracker.RecordLeaving,
		Logger:       e.logger,
	})
}

func (e *Entry) dialFailed(address string, err error) {
	e.logger.Debug("dial failed", zap.String("peer", address), zap.Error(err))
}

func newHello(settings settingsreader.Settings) *wire.Hello {
	return &wire.Hello{
		Process:     settings.Process,
		Vm:          settings.VM,
		Role:        currantwood.RoleEntry.String(),
		Region:      settings.Region,
		Zone:        settings.Zone,
		Incarnation: rand.Uint64(),
	}
}
