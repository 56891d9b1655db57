// Command protogen generates the Go code of one .proto file, next to it, with the
// plugins of this module. It compiles the file itself, so that protoc need not be
// installed.
//
// # Usage
//
//	go run -C tools ./protogen ../internal/peer/relayrpc/relay.proto
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins are run by go tool.
var plugins = []string{"protoc-gen-go", "protoc-gen-go-drpc"}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: protogen FILE.proto")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

// generate writes the output of each plugin to the folder of the .proto file.
func generate(path string) error {
	dir, name := filepath.Split(path)
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	for _, p := range plugins {
		if err := run(p, request, dir); err != nil {
			return fmt.Errorf("%s: %w", p, err)
		}
	}
	return nil
}

// run runs one plugin and writes the files that it returns to dir.
func run(plugin string, request []byte, dir string) error {
	cmd := exec.Command("go", "tool", plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(out, response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
