package claim

import (
	"net/http"
	"time"

	"github.com/google/uuid"
)

// timeOrderedVersion is the UUID version that starts with a timestamp.
const timeOrderedVersion = 7

// IssueTime returns the time at which a caller issued a key. It is the header
// value date, in the form of HTTP dates or RFC 3339, if that is not empty. Else
// it is the timestamp of a key that is a version 7 UUID, and the zero time for
// any other key. IssueTime returns an error if date is malformed.
func IssueTime(key, date string) (time.Time, error) {
	if date != "" {
		return parseDate(date)
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != timeOrderedVersion {
		return time.Time{}, nil
	}
	return time.Unix(u.Time().UnixTime()), nil
}

func parseDate(date string) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339Nano, date); err == nil {
		return t, nil
	}
	t, err := http.ParseTime(date)
	return t, errClass.Wrap(err)
}
