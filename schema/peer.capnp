@0xb6de2c9a41f0837d;
# Messages between entry instances. See docs/design/membership.md.

struct Load {
  engine @0 :Text;
  atMs @1 :UInt64;
  promptTokens @2 :List(UInt64);
  outputTokens @3 :UInt64;
  waiting @4 :List(UInt64);
  running @5 :UInt64;
}

enum Condition {
  starting @0;
  ready @1;
  leaving @2;
}

struct Beat {
  instance @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  condition @3 :Condition;
  appliedOffset @4 :UInt64;
  epoch @5 :UInt64;
  callerAddress @6 :Text;
  sent @7 :List(Load);
  bundleVersion @8 :UInt64;
  promptRate @9 :Float64;
  outputRate @10 :Float64;
  tellsLoad @11 :Bool;
  # Whether `sent` is filled in; if not, the load of the previous heartbeat stays in effect.
}

enum ClaimVerdict {
  granted @0;
  fenced @1;
  expired @2;
  foreign @3;
}

enum CallState {
  unseen @0;
  running @1;
  unknown @2;
  done @3;
  conflict @4;
  expired @5;
  foreign @6;
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct CallStatus {
  state @0 :CallState;
  answer @1 :Answer;
}

struct Call {
  key @0 :Text;
  bodyDigest @1 :Data;
  service @2 :Text;
  path @3 :Text;
  body @4 :Data;
  deadlineMs @5 :UInt64;
  member @6 :Text;
}

struct LogEntry {
  offset @0 :UInt64;
  record @1 :Data;
}

interface Peer {
  exchange @0 (beat :Beat) -> (beat :Beat);
  # Exchanges heartbeats, which include the load that each side has sent to engines.
  records @1 (from :UInt64) -> (entries :List(LogEntry), next :UInt64, snapshot :Data);
  # Returns records that the peer has read from the log, starting at `from`, or a snapshot if it
  # no longer holds them.
  claim @2 (key :Text, bodyDigest :Data) -> (verdict :ClaimVerdict);
  # The home of a key asks the key's witness for permission before it dispatches the call.
  fence @3 (key :Text, bodyDigest :Data) -> (status :CallStatus);
  # An instance that cannot reach the home asks the witness for the state of the call. The witness
  # fences a key that it has not seen, so that the call is never dispatched.
  finish @4 (key :Text, answer :Answer) -> ();
  # The home copies the answer to the witness, so that it survives a crash of the home.
  forward @5 (call :Call) -> (status :CallStatus);
  # An instance that is not a key's home forwards the call to the home.
}
