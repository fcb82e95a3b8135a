package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
	"github.com/currantwood/currantwood/standin/vmlist"
)

func standinCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood standin", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "`ADDRESS` to listen on, host:port")
	model := flags.String("model", "standin", "model that an engine has loaded")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "currantwood standin [flags] log-service|vm-list|engine|service",
		ShortHelp:  "run a stand-in for an external system, for tests",
		LongHelp:   "Prints its address as the first line of standard output. POST /faults sets its faults.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("standin: expected one kind of stand-in")}
			}
			handler, err := newStandin(args[0], currantwood.ModelID(*model))
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return serveStandin(ctx, *listen, handler)
		},
	}
}

// newStandin returns the handler of a kind of stand-in. Only engines use model.
func newStandin(kind string, model currantwood.ModelID) (http.Handler, error) {
	switch kind {
	case "log-service":
		return logservice.New(), nil
	case "vm-list":
		return vmlist.New(), nil
	case "service":
		return service.New(), nil
	case "engine":
		options := engine.DefaultOptions()
		options.Model = model
		return engine.New(options), nil
	}
	return nil, errors.Errorf("standin: unknown kind %q", kind)
}

// standinHeaderTimeout bounds reading the header of a request.
const standinHeaderTimeout = 5 * time.Second

// serveStandin prints the listening address and serves until ctx is done.
func serveStandin(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
