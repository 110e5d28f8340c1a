package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/explain"
	"crocuslug/result"
)

func explainCommand(app *kingpin.Application) command {
	c := app.Command("explain", "Report what happened to one request, from the logs of the instances that handled it.")
	id := c.Flag("id", "Id of the request.").Required().String()
	files := c.Arg("file", "Logs; standard input if there is none.").ExistingFiles()
	return command{c, func() error { return explainRequest(*id, *files) }}
}

func explainRequest(id string, files []string) error {
	s := explain.New(id)
	if len(files) == 0 {
		if err := s.Read(os.Stdin, "standard input"); err != nil {
			return result.New(result.Usage, err.Error())
		}
	}
	for _, name := range files {
		if err := readLog(s, name); err != nil {
			return result.New(result.Usage, fmt.Sprintf("log %s: %v", name, err))
		}
	}
	return s.Write(os.Stdout)
}

func readLog(s *explain.Report, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return s.Read(f, name)
}
