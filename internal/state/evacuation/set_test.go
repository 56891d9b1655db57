package evacuation_test

import (
	"testing"
	"time"

	"egrethaven/internal/state/evacuation"
)

// TestRestoredStore checks which evacuations outlast a full read: those whose keys are there,
// and for a while those that only a restored store lacks.
func TestRestoredStore(t *testing.T) {
	now := time.Now()
	s := evacuation.New(evacuation.Config{})
	s.Add("a")
	s.Add("b")
	if s.Replace(now, []string{"a"}); !s.Has("a") || s.Has("b") {
		t.Errorf("after a full read: a %t, want true; b %t, want false", s.Has("a"), s.Has("b"))
	}
	s.Add("b")
	s.MarkRestored(now)
	s.Replace(now, []string{"c"})
	if !s.Has("a") || !s.Has("b") || !s.Has("c") {
		t.Fatal("a restored store without the key ended an evacuation at once")
	}
	next := s.Expire(now)
	s.Add("a")
	s.Remove("b")
	if s.Has("b") {
		t.Error("a deleted key did not end the evacuation")
	}
	// Another full read must not prolong the hold, nor end it.
	s.Add("d")
	s.Replace(now.Add(time.Second), []string{"a", "c"})
	if at := s.Expire(now.Add(time.Second)); next.IsZero() || !at.Equal(next) || !s.Has("d") {
		t.Errorf("the evacuation of d ends at %s, want %s", at, next)
	}
	if at := s.Expire(next); !at.IsZero() || !s.Has("a") || !s.Has("c") || s.Has("d") || s.Len() != 2 {
		t.Errorf("after the hold: a %t, c %t, d %t", s.Has("a"), s.Has("c"), s.Has("d"))
	}
}
