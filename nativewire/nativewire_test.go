package nativewire

import (
	"encoding/json"
	"strings"
	"testing"

	"crocuslug/directory"
	"crocuslug/store"
)

const soundUpstream = `{"ID":"a","Service":"s","Address":"127.0.0.1:80","Domain":"d","Slots":64,"Build":"v1","Born":1}`

// TestOddUpstreams guards against upstreams that are used although no connection to them can exist.
func TestOddUpstreams(t *testing.T) {
	tests := []struct {
		old, new string
		ok       bool
	}{
		{"", "", true},
		{`"Slots":64`, `"Slots":0`, true},
		{`"Born":1`, `"Born":-1`, true},
		{`:80"`, `:99999"`, false},
		{`:80"`, `:-1"`, false},
		{`:80"`, `:0"`, false},
		{`:80"`, `:http"`, false},
		{`127.0.0.1:80`, `127.0.0.1`, false},
		{`127.0.0.1`, ``, false},
		{`127.0.0.1`, `host`, false},
		{`127.0.0.1`, `0.0.0.0`, false},
		{`"Slots":64`, `"Slots":-5`, false},
		{`"Slots":64`, `"Slots":9000000000000000000`, false},
		{`"Slots":64`, `"Slots":1e999`, false},
		{`"Service":"s",`, ``, false},
		{`"d"`, `"` + strings.Repeat("d", 1<<16) + `"`, false},
		{`"d"`, strings.Repeat("[", 1<<16), false},
	}
	ports := Ports("")
	for _, tc := range tests {
		u, err := ports.DecodeUpstream(store.Entry{Key: UpstreamsPrefix + "a", Value: []byte(strings.Replace(soundUpstream, tc.old, tc.new, 1))})
		if (err == nil) != tc.ok {
			t.Errorf("%.40s -> %.40s: got %+v, %v, want it accepted: %v", tc.old, tc.new, u, err, tc.ok)
		}
	}
}

// FuzzDecodeUpstream checks that an entry that was accepted is accepted again after encoding.
func FuzzDecodeUpstream(f *testing.F) {
	f.Add("a", []byte(soundUpstream))
	f.Add("a", []byte(strings.Replace(soundUpstream, "80", "99999", 1)))
	decode := Ports("").DecodeUpstream
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		u, err := decode(store.Entry{Key: UpstreamsPrefix + id, Value: value})
		if err != nil {
			return
		}
		var again directory.Upstream
		b, err := json.Marshal(u)
		if err == nil {
			again, err = decode(store.Entry{Key: UpstreamsPrefix + id, Value: b})
		}
		u.Revision = again.Revision
		if err != nil || again != u {
			t.Errorf("got %+v, %v, want %+v", again, err, u)
		}
	})
}
