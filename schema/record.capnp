@0xd3a1f08c5b7e4a11;
# Records that instances append to the platform's log. See docs/design/log.md.

struct Origin {
  writer @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct BundlePublished {
  version @0 :UInt64;
  base @1 :UInt64;
  digest @2 :Text;
  text @3 :Text;
}

struct BundleRef {
  version @0 :UInt64;
  digest @1 :Text;
}

struct LeaseClaimed {
  group @0 :Text;
  supersedes @1 :UInt64;
  ttlMs @2 :UInt64;
}

struct LeaseRef {
  group @0 :Text;
  fence @1 :UInt64;
}

enum OrderKind {
  role @0;
  load @1;
  unload @2;
}

struct OrderPlaced {
  group @0 :Text;
  fence @1 :UInt64;
  engine @2 :Text;
  kind @3 :OrderKind;
  argument @4 :Text;
}

struct OrderSettled {
  engine @0 :Text;
  order @1 :UInt64;
  done @2 :Bool;
}

struct Record {
  origin @0 :Origin;
  wallMs @1 :UInt64;
  actor @2 :Text;
  body :union {
    bundlePublished @3 :BundlePublished;
    bundleSigned @4 :BundleRef;
    bundleRolled @5 :BundleRef;
    bundleWithdrawn @6 :BundleRef;
    engineDrained @7 :Text;
    engineUndrained @8 :Text;
    leaseClaimed @9 :LeaseClaimed;
    leaseRenewed @10 :LeaseRef;
    leaseReleased @11 :LeaseRef;
    orderPlaced @12 :OrderPlaced;
    orderSettled @13 :OrderSettled;
    snapshot @14 :Snapshot;
  }
}

struct Snapshot {
  nextOffset @0 :UInt64;
  writers @1 :List(Writer);
  bundles @2 :List(Bundle);
  inForceVersion @3 :UInt64;
  inForceOffset @4 :UInt64;
  drains @5 :List(Drain);
  leases @6 :List(Lease);
  orders @7 :List(Order);
  audit @8 :List(Audit);
  head @9 :UInt64;

  struct Writer {
    writer @0 :Text;
    incarnation @1 :UInt64;
    sequence @2 :UInt64;
    offset @3 :UInt64;
  }
  struct Bundle {
    published @0 :BundlePublished;
    offset @1 :UInt64;
    signedBy @2 :Text;
    withdrawn @3 :Bool;
  }
  struct Drain {
    engine @0 :Text;
    by @1 :Text;
    offset @2 :UInt64;
  }
  struct Lease {
    group @0 :Text;
    holder @1 :Text;
    incarnation @2 :UInt64;
    fence @3 :UInt64;
    renewed @4 :UInt64;
    ttlMs @5 :UInt64;
    released @6 :Bool;
    sequence @7 :UInt64;
  }
  struct Order {
    placed @0 :OrderPlaced;
    offset @1 :UInt64;
    settled @2 :Bool;
    done @3 :Bool;
  }
  struct Audit {
    offset @0 :UInt64;
    wallMs @1 :UInt64;
    actor @2 :Text;
    action @3 :Text;
    outcome @4 :Text;
  }
}
