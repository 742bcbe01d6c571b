package relay

import (
	"runtime"
	"strings"
	"testing"
)

// TestExpandingMessages guards against a message of elements without content, which takes far more memory than its size.
func TestExpandingMessages(t *testing.T) {
	const maxMemory = 32 << 20
	for name, element := range map[string]string{"empty": "{}", "null": "null"} {
		list := "[" + strings.Repeat(element+",", (maxMessage-100)/(len(element)+1)) + element + "]"
		for kind, message := range map[string]struct {
			text string
			into any
		}{
			"batch":  {`{"list":{"vms":` + list + `}}`, new(wireBatch)},
			"follow": {`{"vms":` + list + `}`, new(wireFollow)},
		} {
			data := []byte(message.text)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := codec{}.Unmarshal(data, message.into)
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Errorf("%s, %s: accepted", kind, name)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxMemory {
				t.Errorf("%s, %s: a message of %d MiB took %d MiB", kind, name, len(data)>>20, n>>20)
			}
		}
	}
}
