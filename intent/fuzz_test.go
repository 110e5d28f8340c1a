package intent

import (
	"encoding/json"
	"reflect"
	"testing"

	"crocuslug/configuration"
)

// TestDecodeOne refuses what is not one object.
func TestDecodeOne(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "{}}", "{}]", "{} {}", `{"Sett": {}}`, "7"} {
		if _, err := Decode([]byte(body)); err == nil {
			t.Errorf("%q: got it read, want it refused", body)
		}
	}
}

// FuzzDecode asks that an intent that was read can be written and read again,
// and that what it makes of nothing passes its own checks.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Note": "n", "Set": {"Workspaces": [{"Name": "w", "KeyHashes": ["00"]}]}, "Remove": {"Upstreams": ["u"]}}`))
	f.Add([]byte(`{"Whole": true, "Set": {"Services": [{"Name": "s", "Kind": "Plain", "Timeout": "1s"}]}}`))
	f.Add([]byte(`{}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		in, err := Decode(body)
		if err != nil {
			return
		}
		text, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(text); err != nil || !reflect.DeepEqual(again, in) {
			back, _ := json.Marshal(again)
			if string(back) != string(text) {
				t.Errorf("second reading: got %s, %v, want %s", back, err, text)
			}
		}
		if doc, problems := Apply(configuration.Document{}, in); len(problems) == 0 {
			if left := Check(doc); len(left) > 0 {
				t.Errorf("document of a sound intent: got %v, want no problem", left)
			}
		}
	})
}
