package messenger

import (
	"bytes"
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// sampleCall returns a call without a body.
func sampleCall() *Call {
	return &Call{
		ID: CallID{1}, Class: "lookup", Partner: "magnolia", Service: "ledger-view", Method: http.MethodGet,
		Target: "/shares/7", Host: "ledger", RemainingMS: 2000, Idempotent: true, Sequence: 7, SentUS: 99,
		Headers: []Header{{Name: "Accept", Value: "*/*"}, {Name: "Traceparent", Value: "00-1-2-01"}},
	}
}

// sampleAnswer returns an answer with a body of 512 bytes.
func sampleAnswer() *Answer {
	body := bytes.Repeat([]byte("x"), 512)
	return &Answer{
		ID: CallID{1}, Outcome: OutcomeAnswered, Status: 200, Body: body, BodyDigest: Digest(body), HasLoad: true,
		Headers: []Header{{Name: "Content-Type", Value: "text/plain"}, {Name: "Content-Length", Value: "512"}},
	}
}

// Each message must decode to what was encoded.
func TestMessageRoundTrip(t *testing.T) {
	messages := []Message{
		sampleCall(), sampleAnswer(), &Cancel{ID: CallID{1}}, &Opening{InstanceID: "a", Incarnation: 1, Link: 2},
		&Reattach{ID: CallID{1}, Link: 2, Incarnation: 3}, &Pending{ID: CallID{1}}, &Probe{Acks: []CallID{{1}}},
		&ProbeReply{Draining: true}, &KeyQuery{ID: CallID{1}, Key: KeyID{2}, Request: RequestDigest{3}, Asker: "a"},
		&KeyHandover{ID: CallID{1}, Keys: []KeyRecord{{Key: KeyID{1}, Answer: sampleAnswer()}}, Sender: "a", Done: true},
	}
	for _, want := range messages {
		b, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("kind %d: got %+v, %v, want %+v", want.Kind(), got, err, want)
		}
	}
}

// TestBytesThatAreNotUTF8AreCarried guards against a link that is closed, with all its calls,
// because of a header value with bytes that HTTP allows.
func TestBytesThatAreNotUTF8AreCarried(t *testing.T) {
	const value = "caf\xe9 \xff\x80"
	call, answer := sampleCall(), sampleAnswer()
	call.Headers = append(call.Headers, Header{Name: "X-Name", Value: value})
	call.Target = "/shares/\xe9"
	answer.Headers = append(answer.Headers, Header{Name: "X-Name", Value: value})
	for _, want := range []Message{call, answer} {
		b, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("kind %d: got %+v, %v, want %+v", want.Kind(), got, err, want)
		}
	}
}

// Decode must return a *MalformedError for bytes that are no message, and what
// it accepts must survive another round trip.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{sampleCall(), sampleAnswer(), &Opening{InstanceID: "a"}, &KeyQuery{}, &Probe{Acks: []CallID{{1}}}} {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		var malformed *MalformedError
		if err != nil && !errors.As(err, &malformed) {
			t.Fatalf("got %v, want a *MalformedError", err)
		}
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("encoding the decoded message: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("decoding the encoded message: %v", err)
		}
	})
}

// FromHTTP must never forward the Connection field, and neither function may
// panic.
func FuzzFromHTTP(f *testing.F) {
	f.Add("Connection", "close, X-Secret", "X-Secret", "1")
	f.Add("Content-Digest", "sha-256=:AA==:", "Accept", "*/*")
	f.Fuzz(func(t *testing.T, name1, value1, name2, value2 string) {
		h := make(http.Header)
		h.Add(name1, value1)
		h.Add(name2, value2)
		MatchesContentDigest(h, []byte(value2))
		for _, field := range FromHTTP(h) {
			if strings.EqualFold(field.Name, "Connection") && field.Name == http.CanonicalHeaderKey(field.Name) {
				t.Errorf("field %q was forwarded", field.Name)
			}
		}
	})
}

// The fields that Connection lists, and the hop-by-hop fields of HTTP itself,
// must not reach the target.
func TestFromHTTPDropsHopByHopFields(t *testing.T) {
	h := http.Header{"Connection": {"keep-alive, x-secret"}, "X-Secret": {"1"}, "Te": {"trailers"}, "Accept": {"*/*"}}
	got := FromHTTP(h)
	if want := []Header{{Name: "Accept", Value: "*/*"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func BenchmarkEncode(b *testing.B) {
	largeAnswer := sampleAnswer()
	largeAnswer.Body = make([]byte, 1<<20)
	for name, m := range map[string]Message{"call": sampleCall(), "answer": sampleAnswer(), "large-answer": largeAnswer} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for name, m := range map[string]Message{"call": sampleCall(), "answer": sampleAnswer()} {
		encoded, err := Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
