package claim

import (
	"net/http"
	"time"

	"github.com/google/uuid"
)

// timedVersion is the UUID version that begins with its time of issue.
const timedVersion = 7

// IssueTime returns when a caller issued a key: what the header value date
// says in the form of HTTP dates or RFC 3339, else the time in a key that is a
// version 7 UUID, else zero. It returns an error if date is malformed.
func IssueTime(key, date string) (time.Time, error) {
	if date != "" {
		return parseDate(date)
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != timedVersion {
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
