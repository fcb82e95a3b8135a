package gateway

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/memorykeeper"
)

// MaxResponseBytes bounds a response body that is read whole.
const MaxResponseBytes = 8 << 20

// BodyMemory returns how many bytes all request bodies that a gateway holds may have
// together on a VM with a memory size. A longer body is always refused.
func BodyMemory(memoryBytes int64) int64 {
	return memorykeeper.New(memoryBytes, currantwood.DefaultMaxBodyBytes, nil).Limit()
}
