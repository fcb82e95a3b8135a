package entrystarter

import (
	mathrand "math/rand"
	"math/rand/v2"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/caller"
	"github.com/currantwood/currantwood/picker"
	"github.com/currantwood/currantwood/retrier"
)

func (e *Entry) newPicker() currantwood.Picker {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return picker.New(picker.DefaultOptions(currantwood.RegionID(e.settings.Region)), random)
}

func (e *Entry) newCallForwarder() *caller.Caller {
	return caller.New(caller.Options{
		Region:  currantwood.RegionID(e.settings.Region),
		Tracker: e.tracker,
		Retry:   retrier.Options{Share: currantwood.Share(e.settings.Entry.RetryShare)},
		Random:  mathrand.New(mathrand.NewSource(rand.Int64())),
	})
}
