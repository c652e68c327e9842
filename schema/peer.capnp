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
  # Whether `sent` is told; without it the load is as told before.
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
  # Each side tells the other how it is; load sent to engines rides along.
  records @1 (from :UInt64) -> (entries :List(LogEntry), next :UInt64, snapshot :Data);
  # What was read back from the log at or after `from`, or a snapshot when that is gone.
  claim @2 (key :Text, bodyDigest :Data) -> (verdict :ClaimVerdict);
  # The home of a key asks its witness before it dispatches the call.
  fence @3 (key :Text, bodyDigest :Data) -> (status :CallStatus);
  # An instance that cannot reach the home asks the witness to close the key.
  finish @4 (key :Text, answer :Answer) -> ();
  # The home gives its witness the answer, so that it outlives the home.
  forward @5 (call :Call) -> (status :CallStatus);
  # An instance that is not a key's home hands the call to the home.
}
