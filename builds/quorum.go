package builds

import "crocuslug/ident"

// Statement is what a holder says of a stream.
type Statement struct {
	Known bool        // the holder was told the build of the stream
	Build ident.Build // that build, or else the only one of the service before streams were told; "" if not known
	// Several says that the holder knows of several builds of the service. Earlier builds do not send it.
	Several bool `json:",omitempty"`
}

// Quorum returns how many of the holders of a stream must say that they were not told of it to show that
// none was, if told of them are told: any two such sets have a member in common.
func Quorum(holders, told int) int {
	told = min(told, holders-1) // the instance that tells may be one of them
	return min(holders, holders-told+1)
}

// Conclude returns the build of a stream from the statements of its holders. A quorum of them must state the
// same build if none was told of the stream. It returns false if they do not tell.
func Conclude(statements []Statement, quorum int) (ident.Build, bool) {
	var build ident.Build
	agreeing := 0
	for _, s := range statements {
		if s.Known {
			return s.Build, true
		}
	}
	for _, s := range statements {
		switch {
		case s.Build == "":
		case agreeing > 0 && s.Build != build:
			return "", false
		default:
			build = s.Build
			agreeing++
		}
	}
	return build, agreeing >= max(1, quorum)
}
