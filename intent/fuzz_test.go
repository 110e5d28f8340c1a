package intent

import (
	"encoding/json"
	"reflect"
	"testing"

	"crocuslug/configuration"
)

// TestDecodeOne requires that a body which is not exactly one object is refused.
func TestDecodeOne(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "{}}", "{}]", "{} {}", `{"Sett": {}}`, "7"} {
		if _, err := Decode([]byte(body)); err == nil {
			t.Errorf("%q: got no error, want one", body)
		}
	}
}

// FuzzDecode requires that an intent that can be decoded can also be encoded and
// decoded again, and that the document that it makes of an empty one passes Check.
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
		if decoded, err := Decode(text); err != nil || !reflect.DeepEqual(decoded, in) {
			encoded, _ := json.Marshal(decoded)
			if string(encoded) != string(text) {
				t.Errorf("decoding the encoded intent: got %s, %v, want %s", encoded, err, text)
			}
		}
		if doc, problems := Apply(configuration.Document{}, in); len(problems) == 0 {
			if found := Check(doc); len(found) > 0 {
				t.Errorf("document of an intent without problems: got %v, want no problem", found)
			}
		}
	})
}
