package e2e

import (
	"os"
	"testing"

	"egrethaven/internal/cli/command"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"egrethaven": func() { os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// scriptsAtOnce bounds the scripts that run side by side.
const scriptsAtOnce = 4

func TestScripts(t *testing.T) {
	turns := make(chan struct{}, scriptsAtOnce)
	testscript.Run(t, testscript.Params{
		Dir: "../../testdata/script",
		Setup: func(e *testscript.Env) error {
			turns <- struct{}{}
			w := newWorld(e.WorkDir)
			e.Values[worldKey{}] = w
			e.Defer(func() {
				w.close()
				<-turns
			})
			return nil
		},
		Cmds: commands,
	})
}

// worldKey is the key of a script's world.
type worldKey struct{}

// commands are those that scripts have beyond the standard ones.
var commands = map[string]func(*testscript.TestScript, bool, []string){}

func init() {
	for name, f := range map[string]func(*world, *call){
		"searchers": (*world).cmdSearchers, "node": (*world).cmdNode, "ready": (*world).cmdReady, "cli": (*world).cmdCLI,
		"ask": (*world).cmdAsk, "record": (*world).cmdRecord, "runs": (*world).cmdRuns,
		"searcher": (*world).cmdSearcher, "link": (*world).cmdLink, "platform": (*world).cmdPlatform,
		"publish": (*world).cmdPublish, "load": (*world).cmdLoad, "unload": (*world).cmdUnload, "answers": (*world).cmdAnswers,
		"stop": (*world).cmdStop, "kill-node": (*world).cmdKill, "pause-node": (*world).cmdPause, "resume-node": (*world).cmdResume,
		"define": (*world).cmdDefine, "crashes": (*world).cmdCrashes, "stop-during": (*world).cmdStopDuring,
		"event": (*world).cmdEvent, "quiet": (*world).cmdQuiet,
	} {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := ts.Value(worldKey{}).(*world)
			f(w, &call{TestScript: ts, neg: neg, args: args})
		}
	}
}
